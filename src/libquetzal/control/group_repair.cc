#include "control/group_repair.h"

#include <algorithm>

#include "base/result_code.h"

namespace quetzal {
namespace {

constexpr Duration kPeriod = std::chrono::milliseconds(500);

const GroupMember* Find(const std::vector<GroupMember>& group, const std::string& name) {
  const auto it = std::find_if(group.begin(), group.end(),
                               [&](const GroupMember& it) { return it.name == name; });
  return it == group.end() ? nullptr : &*it;
}

}  // namespace

std::optional<MembershipChange> GroupRepairPlanner::Next(
    const std::vector<GroupMember>& group,
    const std::vector<ControlMembership::Peer>& control_instances,
    const IsDeadOrLeft& is_dead_or_left, SteadyTime now) {
  RecordAnswers(group, now);
  const bool has_standby = std::any_of(
      control_instances.begin(), control_instances.end(),
      [&group](const auto& peer) { return Find(group, peer.name) == nullptr; });
  // A group of even size tolerates no more losses than one with an instance less, and a
  // standby takes the place of the removed one.
  const bool safer_without = group.size() % 2 == 0 || has_standby;
  MembershipChange change;
  // Removals come first: while a dead instance counts, a majority needs more of the
  // others.
  for (const GroupMember& member : group) {
    if (group.size() <= settings_.smallest) break;
    if (!IsLost(member.name, safer_without, now)) continue;
    if (!is_dead_or_left(member.name) || !MayTry(member.name, now)) continue;
    change.kind = MembershipChangeKind::kRemoveLost;
    change.name = member.name;
    return change;
  }
  if (group.size() >= settings_.largest) return std::nullopt;
  for (const ControlMembership::Peer& peer : control_instances) {
    if (Find(group, peer.name) != nullptr || !MayTry(peer.name, now)) continue;
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
}

bool GroupRepairPlanner::HasSuccessor(SteadyTime unresponsive_since) const {
  return std::any_of(joined_at_.begin(), joined_at_.end(), [&](const auto& joined) {
    return joined.second > unresponsive_since;
  });
}

bool GroupRepairPlanner::IsLost(const std::string& name, bool safer_without,
                                SteadyTime now) const {
  const auto unresponsive = unresponsive_since_.find(name);
  if (unresponsive == unresponsive_since_.end()) return false;
  const Duration limit = safer_without || HasSuccessor(unresponsive->second)
                             ? settings_.removal_delay
                             : settings_.unreplaced_removal_delay;
  return now - unresponsive->second >= limit;
}

void GroupRepairPlanner::OnRefused(const MembershipChange& change, SteadyTime now) {
  not_before_[change.name] = now + settings_.retry_delay;
}

bool GroupRepairPlanner::MayTry(const std::string& name, SteadyTime now) const {
  const auto it = not_before_.find(name);
  return it == not_before_.end() || now >= it->second;
}

void GroupRepairer::Start() {
  timer_ = dependencies_.executor->Every(kPeriod, [this] { Check(); });
}

void GroupRepairer::Check() {
  const LeadershipView view = dependencies_.agreement->leadership();
  if (busy_ || !view.leading) return;
  const ControlMembership& membership = *dependencies_.membership;
  std::optional<MembershipChange> change = planner_.Next(
      dependencies_.agreement->group(), membership.control_instances(),
      [&membership](const std::string& name) { return membership.IsDeadOrLeft(name); },
      dependencies_.clock->Now());
  if (!change) return;
  change->term = view.term;
  busy_ = true;
  dependencies_.agreement->ProposeMembership(
      *change,
      [this, change = *change](ResultCode code, LogPosition, const std::string& text) {
        dependencies_.executor->Post([this, change, code, text] {
          busy_ = false;
          const bool added = change.kind == MembershipChangeKind::kAdd;
          dependencies_.events->Emit({added ? "group.add" : "group.remove",
                                      {{"peer", change.name},
                                       {"code", std::string(InfoOf(code).name)},
                                       {"reason", text}}});
          if (code != ResultCode::kOk) {
            planner_.OnRefused(change, dependencies_.clock->Now());
          }
        });
      });
}

}  // namespace quetzal
