#ifndef QUETZAL_CONTROL_GROUP_REPAIR_H_
#define QUETZAL_CONTROL_GROUP_REPAIR_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "agreement/agreement.h"
#include "base/clock.h"
#include "control/control_membership.h"

namespace quetzal {

/// Limits of the automatic repair of the group of control instances.
struct GroupRepairSettings {
  /// Settings for a group that keeps its log when `losses` instances lose their folders
  /// at once, also while another one that was replaced is gone.
  static GroupRepairSettings ForLosses(std::size_t losses);

  /// Larger groups only make commits slower.
  std::size_t largest = 5;

  /// Groups of this size or smaller lose no instance, since it may come back.
  std::size_t smallest = 3;

  /// Time without an answer after which an instance is removed, if the group is safer
  /// without it. A removed instance may return with its folder.
  Duration removal_delay = std::chrono::seconds(2);

  /// The same if the group tolerates no more losses without it, for an instance that its
  /// data centre declared dead. Longer than a repair.
  Duration unreplaced_removal_delay = std::chrono::minutes(10);

  /// Delay before a refused change is tried again.
  Duration retry_delay = std::chrono::seconds(5);

  /// Longest time between the announcement that an instance stops and its end.
  Duration stop_limit = std::chrono::seconds(6);
};

/// Chooses changes of the group without an operator: adds new control instances, and
/// removes dead or departed ones once others have replaced them. Reads no clock.
class GroupRepairPlanner {
 public:
  explicit GroupRepairPlanner(const GroupRepairSettings& settings)
      : settings_(settings) {}

  /// True when the membership of the fleet has the instance as dead or left.
  using IsDeadOrLeft = std::function<bool(const std::string& name)>;

  /// Returns the next change that the leader of `group` is to propose, if there is one.
  std::optional<MembershipChange> Next(
      const std::vector<GroupMember>& group,
      const std::vector<ControlMembership::Peer>& control_instances,
      const IsDeadOrLeft& is_dead_or_left, SteadyTime now);

  /// The instance `name` stops: it is removed at once if the group is safer without it,
  /// and not added before it has ended.
  void OnStopping(const std::string& name, SteadyTime now);

  /// True while the group is safer without the member `name`, or will be once an instance
  /// that is being added votes.
  bool MayBeRemoved(const std::vector<GroupMember>& group,
                    const std::vector<ControlMembership::Peer>& control_instances,
                    const std::string& name) const;

  /// The change was refused: delays it, so that another one is tried first.
  void OnRefused(const MembershipChange& change, SteadyTime now);

 private:
  void RecordAnswers(const std::vector<GroupMember>& group, SteadyTime now);
  bool HasStandby(const std::vector<GroupMember>& group,
                  const std::vector<ControlMembership::Peer>& control_instances) const;
  bool HasSuccessor(SteadyTime unresponsive_since) const;
  bool IsLost(const std::string& name, bool safer_without,
              const IsDeadOrLeft& is_dead_or_left, SteadyTime now) const;
  bool IsStopping(const std::string& name) const;
  bool MayTry(const std::string& name, SteadyTime now) const;

  GroupRepairSettings settings_;
  std::map<std::string, SteadyTime> joined_at_;  ///< When they were first seen here.
  std::map<std::string, SteadyTime> unresponsive_since_;
  std::map<std::string, SteadyTime> stopping_since_;
  std::map<std::string, SteadyTime> not_before_;
};

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_GROUP_REPAIR_H_
