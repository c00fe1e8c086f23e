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

std::optional<MembershipChange> GroupRepair::Next(
    const std::vector<GroupMember>& group,
    const std::vector<ControlMembership::Peer>& controls, const IsGone& is_gone,
    SteadyTime now) {
  Note(group, now);
  MembershipChange change;
  // An instance that is gone makes room first: with it, a majority needs more of the
  // rest.
  for (const GroupMember& member : group) {
    if (group.size() <= settings_.smallest || !IsLost(member.name, now)) continue;
    if (!is_gone(member.name) || !MayTry(member.name, now)) continue;
    change.kind = MembershipChangeKind::kRemove;
    change.name = member.name;
    return change;
  }
  if (group.size() >= settings_.largest) return std::nullopt;
  for (const ControlMembership::Peer& peer : controls) {
    if (Find(group, peer.name) != nullptr || !MayTry(peer.name, now)) continue;
    change.kind = MembershipChangeKind::kAdd;
    change.name = peer.name;
    change.endpoint = peer.streams;
    return change;
  }
  return std::nullopt;
}

void GroupRepair::Note(const std::vector<GroupMember>& group, SteadyTime now) {
  for (const GroupMember& member : group) {
    joined_at_.try_emplace(member.name, now);
    if (member.answers) {
      silent_since_.erase(member.name);
    } else {
      silent_since_.try_emplace(member.name, now);
    }
  }
}

bool GroupRepair::HasSuccessor(SteadyTime silent_since) const {
  return std::any_of(joined_at_.begin(), joined_at_.end(),
                     [&](const auto& joined) { return joined.second > silent_since; });
}

bool GroupRepair::IsLost(const std::string& name, SteadyTime now) const {
  const auto silent = silent_since_.find(name);
  if (silent == silent_since_.end()) return false;
  const Duration limit =
      HasSuccessor(silent->second) ? settings_.silence : settings_.long_silence;
  return now - silent->second >= limit;
}

void GroupRepair::Refused(const MembershipChange& change, SteadyTime now) {
  not_before_[change.name] = now + settings_.retry;
}

bool GroupRepair::MayTry(const std::string& name, SteadyTime now) const {
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
  std::optional<MembershipChange> change = repair_.Next(
      dependencies_.agreement->group(), membership.controls(),
      [&membership](const std::string& name) { return membership.IsGone(name); },
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
            repair_.Refused(change, dependencies_.clock->Now());
          }
        });
      });
}

}  // namespace quetzal
