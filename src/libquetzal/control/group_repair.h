#ifndef QUETZAL_CONTROL_GROUP_REPAIR_H_
#define QUETZAL_CONTROL_GROUP_REPAIR_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "agreement/agreement.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "control/control_membership.h"
#include "kernel/executor.h"

namespace quetzal {

/// Limits of the automatic repair of the group of control instances.
struct GroupRepairSettings {
  /// Larger groups only make commits slower: five tolerate two failures.
  std::size_t largest = 5;

  /// Groups of this size or smaller lose no instance, since it may come back.
  std::size_t smallest = 3;

  /// Time without an answer after which an instance that its data centre declared dead is
  /// removed, if the group is safer without it. Longer than a restart.
  Duration removal_delay = std::chrono::seconds(6);

  /// The same if the group tolerates no more losses without it. Longer than a repair.
  Duration unreplaced_removal_delay = std::chrono::minutes(10);

  /// Delay before a refused change is tried again.
  Duration retry_delay = std::chrono::seconds(5);
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

  /// The change was refused: delays it, so that another one is tried first.
  void OnRefused(const MembershipChange& change, SteadyTime now);

 private:
  void RecordAnswers(const std::vector<GroupMember>& group, SteadyTime now);
  bool HasSuccessor(SteadyTime unresponsive_since) const;
  bool IsLost(const std::string& name, bool safer_without, SteadyTime now) const;
  bool MayTry(const std::string& name, SteadyTime now) const;

  const GroupRepairSettings settings_;
  std::map<std::string, SteadyTime> joined_at_;  ///< When they were first seen here.
  std::map<std::string, SteadyTime> unresponsive_since_;
  std::map<std::string, SteadyTime> not_before_;
};

/// Proposes the changes of a GroupRepairPlanner while this instance leads. Used on the
/// executor only.
class GroupRepairer {
 public:
  struct Dependencies {
    Agreement* agreement = nullptr;
    ControlMembership* membership = nullptr;
    Executor* executor = nullptr;
    const Clock* clock = nullptr;
    EventLog* events = nullptr;
  };

  GroupRepairer(const Dependencies& dependencies, const GroupRepairSettings& settings)
      : dependencies_(dependencies), planner_(settings) {}

  void Start();
  void Stop() { timer_.reset(); }

 private:
  void Check();

  Dependencies dependencies_;
  GroupRepairPlanner planner_;
  std::unique_ptr<Timer> timer_;
  bool busy_ = false;
};

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_GROUP_REPAIR_H_
