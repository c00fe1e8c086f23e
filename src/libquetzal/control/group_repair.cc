#include "control/group_repair.h"

#include <algorithm>

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

std::optional<MembershipChange> GroupRepairPlanner::Next(
    const std::vector<GroupMember>& group,
    const std::vector<ControlMembership::Peer>& control_instances,
    const IsDeadOrLeft& is_dead_or_left, SteadyTime now) {
  RecordAnswers(group, now);
  // A standby takes the place of the removed one.
  const bool safer_without = IsEven(group.size()) || HasStandby(group, control_instances);
  MembershipChange change;
  // Removals come first: while a dead instance counts, a majority needs more of the
  // others.
  for (const GroupMember& member : group) {
    if (group.size() <= settings_.smallest) break;
    const bool due = IsStopping(member.name)
                         ? safer_without && (!member.answers || AllVote(group))
                         : IsLost(member.name, safer_without, is_dead_or_left, now);
    if (!due || !MayTry(member.name, now)) continue;
    change.kind = MembershipChangeKind::kRemoveLost;
    change.name = member.name;
    return change;
  }
  if (group.size() >= settings_.largest) return std::nullopt;
  for (const ControlMembership::Peer& peer : control_instances) {
    if (Find(group, peer.name) != nullptr || IsStopping(peer.name)) continue;
    if (!MayTry(peer.name, now)) continue;
    change.kind = MembershipChangeKind::kAdd;
    change.name = peer.name;
    change.endpoint = peer.streams;
    return change;
  }
  return std::nullopt;
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
