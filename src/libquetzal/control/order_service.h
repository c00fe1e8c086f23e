#ifndef QUETZAL_CONTROL_ORDER_SERVICE_H_
#define QUETZAL_CONTROL_ORDER_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "agreement/agreement.h"
#include "base/event_log.h"
#include "configuration/configuration_limits.h"
#include "control/intent_machine.h"
#include "kernel/executor.h"
#include "net/rpc.h"

namespace quetzal {

/// A whole configuration that an operator submits; submitting it also confirms it.
struct ConfigurationOrder {
  std::uint64_t number = 0;  ///< Chosen by the operator; above the current one.
  std::uint64_t base = 0;    ///< Number of the order that it replaces; 0: none.
  std::string document;      ///< As the operator sent it.
  Configuration configuration;
};

/// An order that moves a service to servers of another version.
struct RolloutOrder {
  std::string service;
  std::string version;  ///< As the new servers announce it.
  std::chrono::milliseconds duration{0};
};

/// Accepts orders and returns the document of the current one, on every control instance.
/// Forwards requests that only the leader can serve. Replace, Read, StartRollout and
/// ReadRollout may be called from any thread; each callback runs exactly once, on the
/// executor.
class OrderService {
 public:
  /// kOk: the order is active, or was accepted before. kPlanOutdated,
  /// kConfigurationInvalid: refused permanently. Any other code: the outcome is unknown.
  using ReplaceDone = std::function<void(ResultCode code, const std::string& message)>;

  /// kOk: `document` is the newest one. Any other code: there is none, or the newest one
  /// cannot be determined now.
  using ReadDone = std::function<void(ResultCode code, const std::string& document)>;

  /// kOk: the rollout is in the log, or was accepted before. kRolloutInProgress,
  /// kConfigurationInvalid: refused. Any other code: the outcome is unknown.
  using StartRolloutDone = ReplaceDone;

  /// kOk: `rollout` is the last one of the service. kRolloutUnknown: there was none. Any
  /// other code: it cannot be determined now.
  using ReadRolloutDone = std::function<void(ResultCode code, const Rollout& rollout)>;

  /// Stream addresses of control instances to forward to, the best candidate first.
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

  /// `max_share_permille` limits the share of new servers in rollouts that start here.
  OrderService(const Dependencies& dependencies, PeerSource peers,
               std::uint32_t max_share_permille = kDefaultRolloutSharePermille);

  /// Serves orders and reads that other control instances forward.
  void Start();

  void Replace(const ConfigurationOrder& order, ReplaceDone done);
  void Read(ReadDone done);
  void StartRollout(const RolloutOrder& order, StartRolloutDone done);
  void ReadRollout(const std::string& service, ReadRolloutDone done);

 private:
  using Done = std::function<void(const OrderAnswer& answer)>;

  void Dispatch(const ForwardedOrder& order, const Done& done);
  void Propose(const ForwardedOrder& order, const Done& done);
  ReplaceConfiguration Pack(const ReplaceConfiguration& order) const;
  void ReadLocal(const ForwardedOrder& order, const Done& done);
  OrderAnswer AnswerRead(const ForwardedOrder& order) const;
  void Forward(const ForwardedOrder& order, const Done& done);
  void OnProposed(const ForwardedOrder& order, ResultCode code, const std::string& bytes,
                  const Done& done);

  Dependencies dependencies_;
  PeerSource peers_;
  const std::uint32_t max_share_permille_;
};

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_ORDER_SERVICE_H_
