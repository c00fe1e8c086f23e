// The part of IntentMachine that applies rollouts of services.
#include <algorithm>
#include <utility>

#include "base/concat.h"
#include "base/result_code.h"
#include "configuration/configuration_check.h"
#include "configuration/plan.h"
#include "configuration/rollout_list.h"
#include "configuration/version.h"
#include "control/intent_machine.h"
#include "control/intent_record.h"

namespace quetzal {

ControlResult IntentMachine::StartRolloutOf(const Version& at,
                                            const ControlEntry& entry) {
  const StartRollout& order = entry.start_rollout();
  Rollout rollout;
  rollout.set_service(order.service());
  rollout.set_version(order.version());
  rollout.set_state(ROLLOUT_RUNNING);
  *rollout.mutable_started() = at;
  rollout.set_started_micros(entry.wall_micros());
  rollout.set_duration_ms(order.duration_ms());
  rollout.set_max_share_permille(order.max_share_permille());
  if (const Rollout* last = FindRollout(*configuration_, order.service())) {
    // An operator that got no answer resends the same order, possibly after its end.
    if (last->version() == order.version() &&
        last->duration_ms() == order.duration_ms()) {
      return MakeResult(ResultCode::kOk, "Accepted before.");
    }
    if (IsInProgress(last->state())) {
      return MakeResult(ResultCode::kRolloutInProgress,
                        Concat("Not run: the rollout of ", last->service(),
                               " to version ", last->version(), " is in progress."));
    }
  }
  Configuration next = *configuration_;
  PutRollout(rollout, &next);
  try {
    CheckConfiguration(next);
  } catch (const Error& error) {
    return MakeResult(error.code(), error.what());
  }
  SetRolloutLocked(at, entry.wall_micros(), rollout,
                   Concat("Start the rollout of ", rollout.service(), " to version ",
                          rollout.version(), "."));
  return MakeResult(ResultCode::kOk, "");
}

ControlResult IntentMachine::AdvanceRolloutOf(const Version& at,
                                              const ControlEntry& entry) {
  const AdvanceRollout& advance = entry.advance_rollout();
  const Rollout* last = FindRollout(*configuration_, advance.service());
  // A leader may have decided about a rollout that has ended or was replaced meanwhile.
  if (last == nullptr || !IsSameVersion(last->started(), advance.started()) ||
      !IsAllowedTransition(last->state(), advance.state())) {
    return MakeResult(ResultCode::kPlanOutdated,
                      Concat("Not run: the rollout of ", advance.service(),
                             " is not in a state that can change to ",
                             RolloutStateText(advance.state()), "."));
  }
  Rollout rollout = *last;
  rollout.set_state(advance.state());
  rollout.set_reason(advance.reason());
  SetRolloutLocked(
      at, entry.wall_micros(), rollout,
      Concat("The rollout of ", rollout.service(), " to version ", rollout.version(),
             " is ", RolloutStateText(rollout.state()), ": ", rollout.reason(), "."));
  return MakeResult(ResultCode::kOk, "");
}

// Sets the log position and time of a rollout that the plan starts. Returns false when
// the plan no longer has the steps that the operator saw: a rollout may have been started
// by an order, or have ended, since then.
bool IntentMachine::StampRolloutPlan(const Version& at, std::uint64_t micros,
                                     const IntentRecord& record, Plan* plan) {
  const std::vector<std::string> steps = plan->Describe();
  if (!std::equal(steps.begin(), steps.end(), record.steps().begin(),
                  record.steps().end())) {
    return false;
  }
  const Rollout* planned =
      FindRollout(plan->result, record.content().rollout().service());
  if (plan->changes.empty() || planned == nullptr ||
      planned->state() != ROLLOUT_RUNNING) {
    return true;
  }
  Rollout rollout = *planned;
  *rollout.mutable_started() = at;
  rollout.set_started_micros(micros);
  PutRollout(rollout, &plan->result);
  return true;
}

void IntentMachine::SetRolloutLocked(const Version& at, std::uint64_t micros,
                                     const Rollout& rollout, const std::string& step) {
  Configuration next = *configuration_;
  PutRollout(rollout, &next);
  SetConfigurationLocked(at, std::move(next));
  HistoryItem item;
  *item.mutable_version() = at;
  item.set_wall_micros(micros);
  item.set_reason(Concat("rollout of ", rollout.service()));
  item.add_steps(step);
  AddHistoryLocked(std::move(item));
}

}  // namespace quetzal
