#include "control/control_group_plan.h"

#include <algorithm>
#include <utility>

#include "base/concat.h"
#include "base/result_code.h"
#include "control/peer_list.h"

namespace quetzal {
namespace {

struct Counts {
  std::size_t voting = 0;
  std::size_t answering = 0;

  std::size_t majority() const { return voting / 2 + 1; }
  std::size_t may_fail() const { return answering - std::min(answering, majority()); }
};

Counts CountsOf(const ControlGroup& group) {
  Counts counts;
  for (const ControlMember& member : group.members()) {
    if (!member.votes()) continue;
    ++counts.voting;
    if (member.answers()) ++counts.answering;
  }
  return counts;
}

[[noreturn]] void Refuse(const std::string& why) {
  throw Error(ResultCode::kPlanRefused, why);
}

ControlGroup WithMember(const ControlGroup& group, const ControlInstanceChange& change) {
  if (FindMember(group, change.name()) != nullptr) {
    Refuse(Concat("A control instance called ", change.name(),
                  " belongs to the group already."));
  }
  for (const ControlMember& member : group.members()) {
    if (member.address() != change.address()) continue;
    Refuse(Concat("The address ", change.address(), " belongs to ", member.name(), "."));
  }
  if (static_cast<std::size_t>(group.members_size()) >= kMaxControlInstances) {
    Refuse(Concat("At most ", kMaxControlInstances, " control instances are allowed."));
  }
  ControlGroup after = group;
  ControlMember* member = after.add_members();
  member->set_name(change.name());
  member->set_address(change.address());
  member->set_votes(true);
  member->set_answers(true);
  return after;
}

ControlGroup WithoutMember(const ControlGroup& group, const std::string& name) {
  if (FindMember(group, name) == nullptr) {
    Refuse(Concat("No control instance called ", name, " belongs to the group."));
  }
  ControlGroup after = group;
  auto* members = after.mutable_members();
  members->erase(
      std::remove_if(members->begin(), members->end(),
                     [&](const ControlMember& member) { return member.name() == name; }),
      members->end());
  const Counts counts = CountsOf(after);
  if (counts.voting == 0) Refuse("The last control instance cannot be removed.");
  if (counts.answering < counts.majority()) {
    Refuse(Concat("Without ", name, " no majority would be alive: ", counts.answering,
                  " of ", counts.voting, " control instances answer."));
  }
  return after;
}

}  // namespace

ControlGroup GroupOf(const Agreement& agreement) {
  ControlGroup group;
  for (const GroupMember& it : agreement.group()) {
    ControlMember* member = group.add_members();
    member->set_name(it.name);
    member->set_address(it.endpoint.ToString());
    member->set_votes(it.votes);
    member->set_answers(it.answers);
  }
  group.set_leader(agreement.leadership().leader);
  return group;
}

const ControlMember* FindMember(const ControlGroup& group, const std::string& name) {
  const auto it =
      std::find_if(group.members().begin(), group.members().end(),
                   [&](const ControlMember& member) { return member.name() == name; });
  return it == group.members().end() ? nullptr : &*it;
}

bool SameMembers(const ControlGroup& a, const ControlGroup& b) {
  if (a.members_size() != b.members_size()) return false;
  return std::all_of(a.members().begin(), a.members().end(),
                     [&](const ControlMember& member) {
                       const ControlMember* other = FindMember(b, member.name());
                       return other != nullptr && other->address() == member.address() &&
                              other->votes() == member.votes();
                     });
}

std::string DescribeTolerance(const ControlGroup& group) {
  const Counts counts = CountsOf(group);
  return Concat(counts.voting, " vote, ", counts.answering, " of them answer, ",
                counts.may_fail(), " more may fail");
}

ControlGroupPlan PlanControlGroup(const ControlGroup& group,
                                  const ControlInstanceChange& change) {
  if (group.members_size() == 0) Refuse("The leader does not state its group.");
  const ControlGroup after =
      change.remove() ? WithoutMember(group, change.name()) : WithMember(group, change);
  ControlGroupPlan plan;
  plan.steps.push_back(
      change.remove()
          ? Concat("Remove the control instance ", change.name(), ".")
          : Concat("Add the control instance ", change.name(), " at ", change.address(),
                   "; it is filled first and votes once it holds everything."));
  plan.steps.push_back(Concat("Before: ", DescribeTolerance(group),
                              ". After: ", DescribeTolerance(after), "."));
  if (change.remove() && group.leader() == change.name()) {
    plan.warnings.push_back(Concat(change.name(), " leads; another one takes over."));
  }
  for (const ControlMember& member : group.members()) {
    if (member.answers() || member.name() == change.name()) continue;
    plan.warnings.push_back(Concat(member.name(), " does not answer."));
  }
  return plan;
}

bool IsReached(const ControlGroup& group, const ControlInstanceChange& change) {
  const ControlMember* member = FindMember(group, change.name());
  return change.remove() ? member == nullptr : member != nullptr && member->votes();
}

GroupChangeReport ReportGroupChange(const IntentRecord& record,
                                    const ControlGroup& group) {
  const ControlInstanceChange& change = record.control_instance();
  const std::string& name = change.name();
  if (!record.control_instance_note().empty()) {
    return {"given_up", record.control_instance_note()};
  }
  if (record.control_instance_done()) {
    return {"done", change.remove()
                        ? Concat("Done: ", name, " was removed from the group.")
                        : Concat("Done: ", name, " has caught up and votes.")};
  }
  if (change.remove()) {
    return {"pending", Concat("Pending: ", name, " is being removed from the group.")};
  }
  return {"pending",
          FindMember(group, name) == nullptr
              ? Concat("Pending: ", name, " is being asked to join.")
              : Concat("Pending: ", name, " is catching up and does not vote yet.")};
}

}  // namespace quetzal
