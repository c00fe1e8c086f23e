#ifndef QUETZAL_CONTROL_KEY_GROUP_PLANNER_H_
#define QUETZAL_CONTROL_KEY_GROUP_PLANNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/clock.h"
#include "control.pb.h"
#include "control/convergence_tracker.h"

namespace quetzal {

/// Times and sizes of the key groups, whose holders keep the records of request keys.
struct KeyGroupSettings {
  std::size_t members = 3;
  std::size_t nodes_per_group = 3;  ///< A data centre of 6 nodes gets 2 groups.
  std::size_t max_groups = 32;      ///< Of one data centre; a power of two.

  /// Groups of a data centre are formed once no node joined for this time.
  Duration settle = std::chrono::seconds(3);

  /// A holder that sent no report for this time is replaced.
  Duration replace_after = std::chrono::seconds(10);
};

/// Identifies a holder that has copied all records of its group: data centre, number and
/// generation of the group, and the instance.
using CaughtUpHolder = std::tuple<std::string, std::uint32_t, std::uint64_t, std::string>;

/// Decides which instances hold the request keys of which group. As in joint consensus, a
/// list of holders is replaced in two steps: first both lists count, then the new one
/// alone. The number of groups grows with the data centre by splitting groups among their
/// own holders, and never falls.
class KeyGroupPlanner {
 public:
  explicit KeyGroupPlanner(KeyGroupSettings settings) : settings_(settings) {}

  /// Returns the next change, if one is due. `acknowledged` is true when every live proxy
  /// has applied the configuration.
  std::optional<SystemChange> Plan(const Configuration& configuration,
                                   const ConvergenceTracker& tracker,
                                   const std::set<CaughtUpHolder>& caught_up,
                                   bool acknowledged, SteadyTime now,
                                   WallTime wall) const;

 private:
  /// Nodes and groups of one data centre, as the leader sees them.
  struct DataCentreView {
    std::vector<KeyHolder> candidates;        ///< Live, not leaving, sorted by name.
    std::map<std::string, std::size_t> load;  ///< Number of groups of each instance.
    bool settled = true;
  };

  /// State of a listed holder; kRestarted: its memory is empty.
  enum class HolderState { kVotes, kLeaving, kLost, kRestarted };

  DataCentreView MakeView(const std::string& data_centre,
                          const Configuration& configuration,
                          const ConvergenceTracker& tracker, SteadyTime now) const;
  std::vector<KeyGroup> FormGroups(const std::string& data_centre,
                                   const DataCentreView& view) const;

  /// Number of groups that a data centre should have.
  std::size_t TargetGroupCount(const DataCentreView& view) const;

  /// Splits the groups of a data centre that has too few, otherwise balances the number
  /// of groups per instance. Does nothing while any of the groups changes its holders.
  void GrowGroups(const std::string& data_centre, const ConvergenceTracker& tracker,
                  SteadyTime now, DataCentreView* view, std::vector<KeyGroup>* groups,
                  std::string* reason) const;
  bool SplitGroups(const std::string& data_centre, const DataCentreView& view,
                   std::vector<KeyGroup>* groups) const;
  bool Rebalance(const std::string& data_centre, const ConvergenceTracker& tracker,
                 SteadyTime now, DataCentreView* view,
                 std::vector<KeyGroup>* groups) const;

  /// The members of `group`, with instances of many groups replaced by instances of few.
  std::vector<KeyHolder> RebalancedMembers(const KeyGroup& group,
                                           DataCentreView* view) const;

  using HolderList = google::protobuf::RepeatedPtrField<KeyHolder>;

  /// Counts of the holders of a list by state.
  struct HolderCounts {
    std::size_t restarted = 0;  ///< Restarted with empty memory.
    std::size_t lost = 0;       ///< Restarted, unresponsive or left.
    std::size_t leaving = 0;    ///< Still vote, but are about to stop.
    bool majority_restarted = false;
    bool majority_votes = false;
  };

  HolderCounts CountHolders(const HolderList& holders, const ConvergenceTracker& tracker,
                            SteadyTime now) const;

  /// Changes the group when a change is due, and adds the reason to `reason`.
  void ReviseGroup(const ConvergenceTracker& tracker,
                   const std::set<CaughtUpHolder>& caught_up, bool acknowledged,
                   SteadyTime now, WallTime wall, DataCentreView* view, KeyGroup* group,
                   std::string* reason) const;
  HolderState StateOf(const KeyHolder& holder, const ConvergenceTracker& tracker,
                      SteadyTime now) const;
  std::vector<KeyHolder> NextMembers(const KeyGroup& group,
                                     const ConvergenceTracker& tracker, SteadyTime now,
                                     DataCentreView* view) const;

  KeyGroupSettings settings_;
};

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_KEY_GROUP_PLANNER_H_
