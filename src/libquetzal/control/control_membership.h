#ifndef QUETZAL_CONTROL_CONTROL_MEMBERSHIP_H_
#define QUETZAL_CONTROL_CONTROL_MEMBERSHIP_H_

#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/event_log.h"
#include "base/random.h"
#include "kernel/executor.h"
#include "membership/membership.h"
#include "membership/membership_link.h"

namespace quetzal {

/// A control instance's part in the membership of the fleet: through it nodes find each
/// other and the control instances, and control instances find those that joined later.
/// Everything but the constructor and Start is called on the executor.
class ControlMembership {
 public:
  struct Dependencies {
    DatagramSocket* datagrams = nullptr;
    RpcClient* rpc_client = nullptr;
    RpcServer* rpc_server = nullptr;
    Executor* executor = nullptr;
    const Clock* clock = nullptr;
    Random* random = nullptr;  ///< Used on the executor only.
    EventLog* events = nullptr;
  };

  /// A control instance that takes part.
  struct Peer {
    std::string name;
    Endpoint streams;
  };

  /// `self` holds the name, data centre and stream address; `gossip` is bound by Start.
  ControlMembership(Member self, const Endpoint& gossip, std::vector<Endpoint> seeds,
                    const Dependencies& dependencies);

  /// Joins. Throws Error(kPortTaken).
  void Start();

  /// Tells everybody that this instance leaves.
  void Leave();
  void Stop();

  /// The control instances that take part, this one included.
  std::vector<Peer> controls() const;

  /// True when the members of its data centre took the instance `name` for dead, or it
  /// said that it left.
  bool IsGone(const std::string& name) const;

 private:
  void Tick();

  Dependencies dependencies_;
  Endpoint gossip_;
  Membership membership_;
  std::shared_ptr<MembershipLink> link_;
  std::unique_ptr<Timer> timer_;
};

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_CONTROL_MEMBERSHIP_H_
