#ifndef QUETZAL_CONTROL_ORDER_SERVICE_H_
#define QUETZAL_CONTROL_ORDER_SERVICE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "agreement/agreement.h"
#include "base/event_log.h"
#include "control/intent_machine.h"
#include "kernel/executor.h"
#include "net/rpc.h"

namespace quetzal {

/// A whole configuration that its operator has confirmed by sending it.
struct ConfigurationOrder {
  std::uint64_t number = 0;  ///< Chosen by the operator, above that in force.
  std::uint64_t base = 0;    ///< Number of the one that it builds on; 0: none.
  std::string document;      ///< As the operator sent it.
  Configuration configuration;
};

/// Takes orders that replace the configuration and shows the one in force, on every
/// control instance; what only the group or its leader can do is sent on to it. Replace
/// and Read may be called from any thread; answers come on the executor, exactly once.
class OrderService {
 public:
  /// kOk: in force, or accepted before. kPlanOutdated, kConfigurationInvalid: refused for
  /// good. Any other code: the outcome is not known.
  using ReplaceDone = std::function<void(ResultCode code, const std::string& message)>;

  /// kOk: `document` is the newest one. Any other code: this cannot be known now, or
  /// there is none.
  using ReadDone = std::function<void(ResultCode code, const std::string& document)>;

  /// Stream addresses of control instances that may know more, the best first.
  using PeerSource = std::function<std::vector<Endpoint>()>;

  struct Dependencies {
    Agreement* agreement = nullptr;
    const IntentMachine* machine = nullptr;
    RpcClient* rpc_client = nullptr;
    RpcServer* rpc_server = nullptr;
    Executor* executor = nullptr;
    const Clock* clock = nullptr;
    EventLog* events = nullptr;
  };

  OrderService(const Dependencies& dependencies, PeerSource peers);

  /// Serves what other control instances send on.
  void Start();

  void Replace(const ConfigurationOrder& order, ReplaceDone done);
  void Read(ReadDone done);

 private:
  using Done = std::function<void(const OrderAnswer& answer)>;

  void Take(const ForwardedOrder& order, const Done& done);
  void Propose(const ForwardedOrder& order, const Done& done);
  void ReadHere(const ForwardedOrder& order, const Done& done);
  void SendOn(const ForwardedOrder& order, const Done& done);
  void OnProposed(const ForwardedOrder& order, ResultCode code, const std::string& bytes,
                  const Done& done);

  Dependencies dependencies_;
  PeerSource peers_;
};

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_ORDER_SERVICE_H_
