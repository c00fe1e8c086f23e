#ifndef QUETZAL_CONTROL_ACK_FORWARDER_H_
#define QUETZAL_CONTROL_ACK_FORWARDER_H_

#include <map>
#include <memory>
#include <string>

#include "base/clock.h"
#include "control/convergence_tracker.h"
#include "control/peer_lookup.h"
#include "kernel/executor.h"
#include "net/rpc.h"

namespace quetzal {

/// RPC method that accepts an Acks message. Instances of the previous release serve only
/// "/control/acks", with a different message; under this name they refuse the request
/// instead of misreading it.
constexpr char kAcksMethod[] = "/control/node-acks";

/// Forwards acknowledgements to the leader in batches. Keeps only the last report of each
/// proxy. Used on the executor only.
class AckForwarder {
 public:
  AckForwarder(RpcClient* rpc_client, Executor* executor, const Clock* clock,
               PeerLookup peers);

  /// Name of the leader. Acknowledgements stay queued while it is empty or unknown.
  void set_leader(const std::string& leader) { leader_ = leader; }

  void Add(const ProxyAck& ack, SteadyTime last_report);
  void Stop();

 private:
  void Flush();

  RpcClient* rpc_client_;
  Executor* executor_;
  const Clock* clock_;
  PeerLookup peers_;
  std::string leader_;
  std::map<std::string, TrackedProxy> queued_;
  std::unique_ptr<Timer> timer_;
};

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_ACK_FORWARDER_H_
