#ifndef QUETZAL_CONTROL_CONTROL_GROUP_PLAN_H_
#define QUETZAL_CONTROL_CONTROL_GROUP_PLAN_H_

#include <string>
#include <vector>

#include "agreement/agreement.h"
#include "control.pb.h"

namespace quetzal {

/// Steps and warnings of a change of the control instances, one sentence each.
struct ControlGroupPlan {
  std::vector<std::string> steps;
  std::vector<std::string> warnings;
};

/// The group as `agreement` reports it; only the leader knows which members answer.
ControlGroup GroupOf(const Agreement& agreement);

/// Null when no member has the name.
const ControlMember* FindMember(const ControlGroup& group, const std::string& name);

/// True when both have the same members with the same addresses and votes.
bool SameMembers(const ControlGroup& a, const ControlGroup& b);

/// Throws Error(kPlanRefused) when the change repeats a name or an address, makes the
/// group too large, or would leave it without a majority that answers.
ControlGroupPlan PlanControlGroup(const ControlGroup& group,
                                  const ControlInstanceChange& change);

/// How many instances vote, answer and may still fail, in one sentence.
std::string DescribeTolerance(const ControlGroup& group);

/// True once `change` is carried out in `group`.
bool IsReached(const ControlGroup& group, const ControlInstanceChange& change);

/// State of a confirmed change ("done", "pending" or "given_up") and a sentence about it.
struct GroupChangeReport {
  std::string state;
  std::string text;
};
GroupChangeReport ReportGroupChange(const IntentRecord& record,
                                    const ControlGroup& group);

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_CONTROL_GROUP_PLAN_H_
