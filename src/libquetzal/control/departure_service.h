#ifndef QUETZAL_CONTROL_DEPARTURE_SERVICE_H_
#define QUETZAL_CONTROL_DEPARTURE_SERVICE_H_

#include <functional>
#include <vector>

#include "agreement/agreement.h"
#include "control/intent_machine.h"
#include "kernel/executor.h"
#include "membership.pb.h"
#include "net/rpc.h"

namespace quetzal {

/// Keeps in the log which backend servers have left, as their nodes have no disks, and
/// tells it to nodes that start again. Forwards requests that only the leader can serve.
/// Used on the executor only.
class DepartureService {
 public:
  /// Stream addresses of control instances to forward to, the best candidate first.
  using PeerSource = std::function<std::vector<Endpoint>()>;

  struct Dependencies {
    Agreement* agreement = nullptr;
    const IntentMachine* machine = nullptr;
    RpcClient* rpc_client = nullptr;
    RpcServer* rpc_server = nullptr;
    Executor* executor = nullptr;
    const Clock* clock = nullptr;
  };

  DepartureService(const Dependencies& dependencies, PeerSource peers)
      : dependencies_(dependencies), peers_(std::move(peers)) {}

  /// Serves nodes and other control instances.
  void Start();

 private:
  void Dispatch(const DepartureRequest& request, const RpcReply& reply);
  void Propose(const RecordDeparture& departure, const DepartureRequest& request,
               const RpcReply& reply);
  void Answer(ResultCode code, const DepartureRequest& request, const RpcReply& reply);
  void Forward(const DepartureRequest& request, const RpcReply& reply);

  const Dependencies dependencies_;
  const PeerSource peers_;
};

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_DEPARTURE_SERVICE_H_
