#ifndef QUETZAL_CONTROL_GROUP_REPAIRER_H_
#define QUETZAL_CONTROL_GROUP_REPAIRER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "agreement/agreement.h"
#include "base/event_log.h"
#include "control/group_repair.h"
#include "kernel/executor.h"
#include "net/rpc.h"

namespace quetzal {

/// Proposes the changes of a GroupRepairPlanner while this instance leads, and takes this
/// instance out of the group when it stops. Used on the executor only.
class GroupRepairer {
 public:
  struct Dependencies {
    Agreement* agreement = nullptr;
    RpcClient* rpc_client = nullptr;
    RpcServer* rpc_server = nullptr;
    Executor* executor = nullptr;
    const Clock* clock = nullptr;
    EventLog* events = nullptr;

    /// The control instances that take part in the fleet.
    std::function<std::vector<ControlMembership::Peer>()> control_instances;
    GroupRepairPlanner::IsDeadOrLeft is_dead_or_left;
  };

  GroupRepairer(std::string instance, Dependencies dependencies,
                const GroupRepairSettings& settings);

  void Start();

  /// Calls `done` once the group has committed that this instance is not a member, or
  /// keeps it since it tolerates as many losses with it. Gives up after two seconds.
  void Leave(std::function<void()> done);
  void Stop();

 private:
  void Check();
  void AnnounceStop();
  void FinishLeave(const char* outcome);
  void OnStopping(const std::string& name, const RpcReply& reply);
  bool InGroup(const std::string& name) const;
  bool MayBeRemoved(const std::string& name) const;

  const std::string instance_;
  Dependencies dependencies_;
  GroupRepairPlanner planner_;
  std::unique_ptr<Timer> timer_;
  std::unique_ptr<Timer> leave_timer_;
  std::function<void()> on_left_;  ///< Set while this instance leaves.
  SteadyTime leave_until_{};
  bool busy_ = false;
};

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_GROUP_REPAIRER_H_
