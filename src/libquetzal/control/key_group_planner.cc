#include "control/key_group_planner.h"

#include <algorithm>

#include "base/concat.h"
#include "configuration/key_residue.h"
#include "configuration/named_list.h"

namespace quetzal {
namespace {

bool SameHolder(const KeyHolder& a, const KeyHolder& b) {
  return a.instance() == b.instance() && a.incarnation() == b.incarnation();
}

template <class List>
bool ContainsHolder(const List& list, const KeyHolder& holder) {
  return std::any_of(list.begin(), list.end(),
                     [&](const KeyHolder& entry) { return SameHolder(entry, holder); });
}

bool HasGroups(const Configuration& configuration, const std::string& data_centre) {
  return std::any_of(
      configuration.key_groups().begin(), configuration.key_groups().end(),
      [&](const KeyGroup& group) { return group.data_centre() == data_centre; });
}

std::uint64_t MillisOf(WallTime wall) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(wall.time_since_epoch())
          .count());
}

bool AllCaughtUp(const KeyGroup& group, const std::set<CaughtUpHolder>& caught_up) {
  return std::all_of(
      group.members().begin(), group.members().end(), [&](const KeyHolder& holder) {
        return caught_up.count({group.data_centre(), group.number(), group.generation(),
                                holder.instance()}) > 0;
      });
}

std::string NameOf(const KeyGroup& group) {
  return Concat(group.data_centre(), "/", group.number());
}

/// Generation in which `holder` joined `group`; empty when neither of its lists has it.
std::optional<std::uint64_t> JoinedGeneration(const KeyGroup& group,
                                              const KeyHolder& holder) {
  for (const auto* list : {&group.members(), &group.previous()}) {
    for (const KeyHolder& entry : *list) {
      if (SameHolder(entry, holder)) return entry.joined_generation();
    }
  }
  return std::nullopt;
}

/// Gives the group a new list. A holder that was in neither list joins in the new
/// generation, so it copies the records before it votes.
void ReplaceMembers(KeyGroup* group, const std::vector<KeyHolder>& members) {
  const KeyGroup before = *group;
  group->set_generation(before.generation() + 1);
  group->clear_members();
  for (const KeyHolder& holder : members) {
    KeyHolder* added = group->add_members();
    *added = holder;
    added->set_joined_generation(
        JoinedGeneration(before, holder).value_or(group->generation()));
  }
}

/// Marks the group as formed in its current generation: its members have no records to
/// copy and vote at once.
void MarkFormed(KeyGroup* group) {
  group->set_formed_generation(group->generation());
  for (KeyHolder& holder : *group->mutable_members()) {
    holder.set_joined_generation(group->generation());
  }
}

void AddReason(const std::string& sentence, std::string* reason) {
  *reason += Concat(reason->empty() ? "" : " ", sentence);
}

}  // namespace

std::optional<SystemChange> KeyGroupPlanner::Plan(
    const Configuration& configuration, const ConvergenceTracker& tracker,
    const std::set<CaughtUpHolder>& caught_up, bool acknowledged, SteadyTime now,
    WallTime wall) const {
  SystemChange change;
  std::string reason;
  std::map<std::string, DataCentreView> views;
  const auto view_of = [&](const std::string& name) -> DataCentreView& {
    const auto it = views.find(name);
    if (it != views.end()) return it->second;
    return views[name] = MakeView(name, configuration, tracker, now);
  };

  std::vector<KeyGroup> groups;
  auto count = CountKeyGroups(configuration);
  for (KeyGroup group : configuration.key_groups()) {
    // Groups that were formed before groups could be split have no modulus; setting it
    // does not change which keys they hold.
    group.set_modulus(
        static_cast<std::uint32_t>(ResidueOf(group, count[group.data_centre()]).modulus));
    ReviseGroup(tracker, caught_up, acknowledged, now, wall,
                &view_of(group.data_centre()), &group, &reason);
    groups.push_back(std::move(group));
  }
  for (const std::string& name : configuration.data_centres()) {
    if (HasGroups(configuration, name)) continue;
    const std::vector<KeyGroup> formed = FormGroups(name, view_of(name));
    if (formed.empty()) continue;
    AddReason(Concat("Instances of ", name, " begin to keep request keys."), &reason);
    groups.insert(groups.end(), formed.begin(), formed.end());
  }
  if (reason.empty()) {
    for (auto& [name, view] : views) {
      GrowGroups(name, tracker, now, &view, &groups, &reason);
    }
  }
  if (reason.empty()) return std::nullopt;
  std::sort(groups.begin(), groups.end(), [](const KeyGroup& a, const KeyGroup& b) {
    return std::make_pair(a.data_centre(), a.number()) <
           std::make_pair(b.data_centre(), b.number());
  });
  for (const KeyGroup& group : groups) *change.add_key_groups() = group;
  change.set_reason(reason);
  return change;
}

KeyGroupPlanner::DataCentreView KeyGroupPlanner::MakeView(
    const std::string& data_centre, const Configuration& configuration,
    const ConvergenceTracker& tracker, SteadyTime now) const {
  DataCentreView view;
  for (const auto& [name, proxy] : tracker.proxies()) {
    const ProxyAck& ack = proxy.ack;
    if (ack.data_centre != data_centre || !tracker.IsLive(proxy)) continue;
    if (now - proxy.first_report < settings_.settle) view.settled = false;
    if (ack.state == MEMBER_LEAVING || ack.stream_address.empty()) continue;
    KeyHolder holder;
    holder.set_instance(name);
    holder.set_stream_address(ack.stream_address);
    holder.set_incarnation(ack.incarnation);
    view.candidates.push_back(std::move(holder));
  }
  for (const KeyGroup& group : configuration.key_groups()) {
    for (const KeyHolder& holder : group.members()) ++view.load[holder.instance()];
  }
  return view;
}

std::vector<KeyGroup> KeyGroupPlanner::FormGroups(const std::string& data_centre,
                                                  const DataCentreView& view) const {
  std::vector<KeyGroup> groups;
  const std::size_t nodes = view.candidates.size();
  if (nodes == 0 || !view.settled) return groups;
  const std::size_t count = TargetGroupCount(view);
  for (std::size_t number = 0; number < count; ++number) {
    KeyGroup group;
    group.set_data_centre(data_centre);
    group.set_number(static_cast<std::uint32_t>(number));
    group.set_modulus(static_cast<std::uint32_t>(count));
    group.set_generation(1);
    for (std::size_t i = 0; i < std::min(nodes, settings_.members); ++i) {
      *group.add_members() = view.candidates[(number * settings_.members + i) % nodes];
    }
    MarkFormed(&group);
    groups.push_back(std::move(group));
  }
  return groups;
}

std::size_t KeyGroupPlanner::TargetGroupCount(const DataCentreView& view) const {
  const std::size_t bound =
      std::min(view.candidates.size() / settings_.nodes_per_group, settings_.max_groups);
  // Groups are split in halves, so only a power of two gives even shares.
  std::size_t count = 1;
  while (2 * count <= bound) count *= 2;
  return count;
}

void KeyGroupPlanner::GrowGroups(const std::string& data_centre,
                                 const ConvergenceTracker& tracker, SteadyTime now,
                                 DataCentreView* view, std::vector<KeyGroup>* groups,
                                 std::string* reason) const {
  if (!view->settled || view->candidates.empty()) return;
  const bool changing =
      std::any_of(groups->begin(), groups->end(), [&](const KeyGroup& group) {
        return group.data_centre() == data_centre && group.previous_size() > 0;
      });
  if (changing) return;
  if (SplitGroups(data_centre, *view, groups)) {
    return AddReason(
        Concat("Groups of request keys of ", data_centre, " are split in halves."),
        reason);
  }
  if (Rebalance(data_centre, tracker, now, view, groups)) {
    AddReason(Concat("Groups of request keys of ", data_centre,
                     " move to instances that keep fewer."),
              reason);
  }
}

bool KeyGroupPlanner::SplitGroups(const std::string& data_centre,
                                  const DataCentreView& view,
                                  std::vector<KeyGroup>* groups) const {
  const std::size_t wanted = TargetGroupCount(view);
  std::vector<KeyGroup> others;
  for (KeyGroup& group : *groups) {
    if (group.data_centre() != data_centre || 2 * std::uint64_t{group.modulus()} > wanted)
      continue;
    others.push_back(SplitKeyGroup(&group));
  }
  groups->insert(groups->end(), others.begin(), others.end());
  return !others.empty();
}

bool KeyGroupPlanner::Rebalance(const std::string& data_centre,
                                const ConvergenceTracker& tracker, SteadyTime now,
                                DataCentreView* view,
                                std::vector<KeyGroup>* groups) const {
  bool moved = false;
  for (KeyGroup& group : *groups) {
    if (group.data_centre() != data_centre) continue;
    const HolderCounts holders = CountHolders(group.members(), tracker, now);
    if (holders.lost > 0 || holders.leaving > 0) continue;
    const std::vector<KeyHolder> members = RebalancedMembers(group, view);
    const bool has_new_holder =
        std::any_of(members.begin(), members.end(), [&](const KeyHolder& holder) {
          return !ContainsHolder(group.members(), holder);
        });
    if (!has_new_holder) continue;
    *group.mutable_previous() = group.members();
    ReplaceMembers(&group, members);
    moved = true;
  }
  return moved;
}

std::vector<KeyHolder> KeyGroupPlanner::RebalancedMembers(const KeyGroup& group,
                                                          DataCentreView* view) const {
  std::vector<KeyHolder> members(group.members().begin(), group.members().end());
  for (KeyHolder& member : members) {
    const auto fewest =
        std::min_element(view->candidates.begin(), view->candidates.end(),
                         [view](const KeyHolder& a, const KeyHolder& b) {
                           return view->load[a.instance()] < view->load[b.instance()];
                         });
    const bool already_member = std::any_of(
        members.begin(), members.end(),
        [&](const KeyHolder& holder) { return holder.instance() == fewest->instance(); });
    // A move between loads that differ by one only swaps them, and the next round would
    // undo it.
    const bool worthwhile =
        view->load[member.instance()] >= view->load[fewest->instance()] + 2;
    if (already_member || !worthwhile) continue;
    --view->load[member.instance()];
    ++view->load[fewest->instance()];
    member = *fewest;
  }
  return members;
}

KeyGroupPlanner::HolderState KeyGroupPlanner::StateOf(const KeyHolder& holder,
                                                      const ConvergenceTracker& tracker,
                                                      SteadyTime now) const {
  const auto it = tracker.proxies().find(holder.instance());
  // A holder that has not reported to this leader yet may still vote.
  if (it == tracker.proxies().end()) return HolderState::kVotes;
  const ProxyAck& ack = it->second.ack;
  if (ack.incarnation > holder.incarnation()) return HolderState::kRestarted;
  if (ack.state == MEMBER_LEFT) return HolderState::kLost;
  const bool unresponsive = now - it->second.last_report > settings_.replace_after;
  if (unresponsive) return HolderState::kLost;
  return ack.state == MEMBER_LEAVING ? HolderState::kLeaving : HolderState::kVotes;
}

std::vector<KeyHolder> KeyGroupPlanner::NextMembers(const KeyGroup& group,
                                                    const ConvergenceTracker& tracker,
                                                    SteadyTime now,
                                                    DataCentreView* view) const {
  std::vector<KeyHolder> members;
  for (const KeyHolder& holder : group.members()) {
    if (StateOf(holder, tracker, now) == HolderState::kVotes) members.push_back(holder);
  }
  std::vector<KeyHolder> candidates = view->candidates;
  std::stable_sort(candidates.begin(), candidates.end(),
                   [view](const KeyHolder& a, const KeyHolder& b) {
                     return view->load[a.instance()] < view->load[b.instance()];
                   });
  for (const KeyHolder& candidate : candidates) {
    if (members.size() >= settings_.members) break;
    const bool already_member =
        std::any_of(members.begin(), members.end(), [&](const KeyHolder& holder) {
          return holder.instance() == candidate.instance();
        });
    if (already_member) continue;
    members.push_back(candidate);
    ++view->load[candidate.instance()];
  }
  return members;
}

KeyGroupPlanner::HolderCounts KeyGroupPlanner::CountHolders(
    const HolderList& holders, const ConvergenceTracker& tracker, SteadyTime now) const {
  HolderCounts count;
  for (const KeyHolder& holder : holders) {
    const HolderState state = StateOf(holder, tracker, now);
    count.restarted += state == HolderState::kRestarted ? 1 : 0;
    const bool votes = state == HolderState::kVotes || state == HolderState::kLeaving;
    count.lost += votes ? 0 : 1;
    count.leaving += state == HolderState::kLeaving ? 1 : 0;
  }
  const auto all = static_cast<std::size_t>(holders.size());
  count.majority_restarted = all - count.restarted < all / 2 + 1;
  count.majority_votes = all - count.lost >= all / 2 + 1;
  return count;
}

void KeyGroupPlanner::ReviseGroup(const ConvergenceTracker& tracker,
                                  const std::set<CaughtUpHolder>& caught_up,
                                  bool acknowledged, SteadyTime now, WallTime wall,
                                  DataCentreView* view, KeyGroup* group,
                                  std::string* reason) const {
  // No node of the data centre responds; it may be cut off and continue on its own.
  if (view->candidates.empty()) return;
  const bool joint = group->previous_size() > 0;
  const HolderCounts members = CountHolders(group->members(), tracker, now);
  const HolderCounts voters =
      joint ? CountHolders(group->previous(), tracker, now) : members;
  const std::vector<KeyHolder> next = NextMembers(*group, tracker, now, view);

  // The previous holders are released only while all new ones still have every record.
  if (joint && members.lost == 0 && AllCaughtUp(*group, caught_up) &&
      (acknowledged || voters.majority_restarted)) {
    group->clear_previous();
    ReplaceMembers(group, {group->members().begin(), group->members().end()});
    AddReason(Concat("The new instances of group ", NameOf(*group),
                     " hold all request keys; those of before are let go."),
              reason);
    return;
  }
  if (voters.majority_restarted) {
    group->clear_previous();
    group->set_vouches_from_ms(MillisOf(wall));
    ReplaceMembers(group, next);
    MarkFormed(group);
    AddReason(Concat("Most instances of group ", NameOf(*group),
                     " restarted and lost its request keys; it begins anew."),
              reason);
    return;
  }
  // A leaving holder is removed even if no other instance can replace it.
  const auto size = static_cast<std::size_t>(group->members_size());
  const bool shrinks = members.leaving > 0 && !next.empty();
  const bool complete = shrinks || next.size() >= size;
  const bool has_new_holder = std::any_of(
      next.begin(), next.end(),
      [&](const KeyHolder& holder) { return !ContainsHolder(group->members(), holder); });
  if (!voters.majority_votes || !complete || !(has_new_holder || shrinks)) return;
  if (!joint) *group->mutable_previous() = group->members();
  ReplaceMembers(group, next);
  AddReason(Concat("Group ", NameOf(*group),
                   " gets other instances in place of lost or missing ones."),
            reason);
}

}  // namespace quetzal
