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

/// Membership of a control instance in the fleet's gossip. Nodes learn from it the
/// addresses of each other and of the control instances; control instances learn of those
/// that joined later. All methods except the constructor and Start run on the executor.
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

  /// A control instance that is a current member.
  struct Peer {
    std::string name;
    Endpoint streams;  ///< Stream address.
  };

  /// `self` holds the name, data centre and stream address; `gossip` is bound by Start.
  ControlMembership(Member self, const Endpoint& gossip, std::vector<Endpoint> seeds,
                    const Dependencies& dependencies);

  /// Binds the gossip address and joins the fleet. Throws Error(kPortTaken).
  void Start();

  /// Announces to the fleet that this instance is about to leave.
  void AnnounceLeaving();

  /// Announces to the fleet that this instance has left.
  void Leave();
  void Stop();

  /// The control instances that are current members and do not leave, including this one.
  std::vector<Peer> control_instances() const;

  /// True when the members of its data centre declared the instance `name` dead, or it
  /// announced that it left.
  bool IsDeadOrLeft(const std::string& name) const;

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
