#include "control/group_repair.h"

#include <algorithm>

#include "agreement/replica_set.h"

namespace quetzal {
namespace {

const GroupMember* Find(const std::vector<GroupMember>& group, const std::string& name) {
  const auto it = std::find_if(group.begin(), group.end(),
                               [&](const GroupMember& it) { return it.name == name; });
  return it == group.end() ? nullptr : &*it;
}

/// A group of even size tolerates no more losses than one with an instance less.
bool IsEven(std::size_t size) { return size % 2 == 0; }

bool AllVote(const std::vector<GroupMember>& group) {
  return std::all_of(group.begin(), group.end(),
                     [](const GroupMember& it) { return it.votes; });
}

}  // namespace

// An entry is acknowledged once a quorum has it. The smallest group keeps a majority of
// its folders after the losses; the largest does so with one more gone.
GroupRepairSettings GroupRepairSettings::ForLosses(std::size_t losses) {
  GroupRepairSettings settings;
  settings.largest =
      std::clamp<std::size_t>(2 * losses + 3, settings.largest, kMaxVoters);
  settings.smallest =
      std::clamp<std::size_t>(2 * losses + 1, settings.smallest, settings.largest - 1);
  return settings;
}

std::optional<MembershipChange> GroupRepairPlanner::Next(
    const std::vector<GroupMember>& group,
    const std::vector<ControlMembership::Peer>& control_instances,
    const IsDeadOrLeft& is_dead_or_left, SteadyTime now) {
  RecordAnswers(group, now);
  const ControlMembership::Peer* standby = nullptr;
  for (const ControlMembership::Peer& peer : control_instances) {
    if (Find(group, peer.name) != nullptr || IsStopping(peer.name)) continue;
    if (standby == nullptr && MayTry(peer.name, now)) standby = &peer;
  }
  const bool full = group.size() >= settings_.largest;
  // A silent instance may be back with its folder while another one ends for good, so the
  // group does not shrink while an instance can be added.
  const bool safer_without = standby == nullptr ? IsEven(group.size()) : full;
  const bool even_or_replaced = IsEven(group.size()) || standby != nullptr;
  MembershipChange change;
  for (const GroupMember& member : group) {
    if (group.size() <= settings_.smallest) break;
    const bool due = IsStopping(member.name)
                         ? even_or_replaced && (!member.answers || AllVote(group))
                         : IsLost(member.name, safer_without, is_dead_or_left, now);
    if (!due || !MayTry(member.name, now)) continue;
    change.kind = MembershipChangeKind::kRemoveLost;
    change.name = member.name;
    return change;
  }
  if (full || standby == nullptr) return std::nullopt;
  change.kind = MembershipChangeKind::kAdd;
  change.name = standby->name;
  change.endpoint = standby->streams;
  return change;
}

void GroupRepairPlanner::RecordAnswers(const std::vector<GroupMember>& group,
                                       SteadyTime now) {
  for (const GroupMember& member : group) {
    joined_at_.try_emplace(member.name, now);
    if (member.answers) {
      unresponsive_since_.erase(member.name);
    } else {
      unresponsive_since_.try_emplace(member.name, now);
    }
  }
  for (auto it = stopping_since_.begin(); it != stopping_since_.end();) {
    const bool ended = now - it->second >= settings_.stop_limit;
    it = ended ? stopping_since_.erase(it) : std::next(it);
  }
}

bool GroupRepairPlanner::HasStandby(
    const std::vector<GroupMember>& group,
    const std::vector<ControlMembership::Peer>& control_instances) const {
  return std::any_of(control_instances.begin(), control_instances.end(),
                     [&](const ControlMembership::Peer& peer) {
                       return Find(group, peer.name) == nullptr && !IsStopping(peer.name);
                     });
}

bool GroupRepairPlanner::HasSuccessor(SteadyTime unresponsive_since) const {
  return std::any_of(joined_at_.begin(), joined_at_.end(), [&](const auto& joined) {
    return joined.second > unresponsive_since;
  });
}

bool GroupRepairPlanner::IsLost(const std::string& name, bool safer_without,
                                const IsDeadOrLeft& is_dead_or_left,
                                SteadyTime now) const {
  const auto unresponsive = unresponsive_since_.find(name);
  if (unresponsive == unresponsive_since_.end()) return false;
  const Duration silent = now - unresponsive->second;
  // Whether the instance is dead or cut off, the others need one vote less without it.
  if (safer_without) return silent >= settings_.removal_delay;
  const Duration limit = HasSuccessor(unresponsive->second)
                             ? settings_.removal_delay
                             : settings_.unreplaced_removal_delay;
  return silent >= limit && is_dead_or_left(name);
}

bool GroupRepairPlanner::IsStopping(const std::string& name) const {
  return stopping_since_.count(name) > 0;
}

void GroupRepairPlanner::OnStopping(const std::string& name, SteadyTime now) {
  stopping_since_.try_emplace(name, now);
}

bool GroupRepairPlanner::MayBeRemoved(
    const std::vector<GroupMember>& group,
    const std::vector<ControlMembership::Peer>& control_instances,
    const std::string& name) const {
  if (Find(group, name) == nullptr) return false;
  const bool standby = HasStandby(group, control_instances);
  const bool large = group.size() > settings_.smallest || standby;
  return large && (IsEven(group.size()) || standby);
}

void GroupRepairPlanner::OnRefused(const MembershipChange& change, SteadyTime now) {
  not_before_[change.name] = now + settings_.retry_delay;
}

bool GroupRepairPlanner::MayTry(const std::string& name, SteadyTime now) const {
  const auto it = not_before_.find(name);
  return it == not_before_.end() || now >= it->second;
}

}  // namespace quetzal
