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

/// Bounds of the repair of the group of control instances.
struct GroupRepairSettings {
  /// Larger groups only make commits slower: five tolerate two failures.
  std::size_t largest = 5;

  /// A group of this size or less loses no instance that may come back.
  std::size_t smallest = 3;

  /// Silence after which an instance that its data centre took for dead is taken out once
  /// another has joined since; longer than a restart.
  Duration silence = std::chrono::seconds(6);

  /// The same where none has joined. An instance that was taken out cannot come back with
  /// its folder, so this is longer than a repair.
  Duration long_silence = std::chrono::minutes(10);

  /// Pause after a change that was refused.
  Duration retry = std::chrono::seconds(5);
};

/// Chooses changes of the group without an operator: takes new control instances in, and
/// takes out those that are gone once others stand in for them. Holds no clock.
class GroupRepair {
 public:
  explicit GroupRepair(const GroupRepairSettings& settings) : settings_(settings) {}

  /// What an instance is known to be, beside its place in the group.
  using IsGone = std::function<bool(const std::string& name)>;

  /// The next change, for the leader of `group`; nothing when there is nothing to do.
  std::optional<MembershipChange> Next(
      const std::vector<GroupMember>& group,
      const std::vector<ControlMembership::Peer>& controls, const IsGone& is_gone,
      SteadyTime now);

  /// The change was refused: another one is tried before it.
  void Refused(const MembershipChange& change, SteadyTime now);

 private:
  void Note(const std::vector<GroupMember>& group, SteadyTime now);
  bool HasSuccessor(SteadyTime silent_since) const;
  bool IsLost(const std::string& name, SteadyTime now) const;
  bool MayTry(const std::string& name, SteadyTime now) const;

  const GroupRepairSettings settings_;
  std::map<std::string, SteadyTime> joined_at_;  ///< When they were first seen here.
  std::map<std::string, SteadyTime> silent_since_;
  std::map<std::string, SteadyTime> not_before_;
};

/// Carries the repair out while this instance leads. Lives on the executor.
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
      : dependencies_(dependencies), repair_(settings) {}

  void Start();
  void Stop() { timer_.reset(); }

 private:
  void Check();

  Dependencies dependencies_;
  GroupRepair repair_;
  std::unique_ptr<Timer> timer_;
  bool busy_ = false;
};

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_GROUP_REPAIR_H_
