#include "base/concat.h"
#include "control/control_group_plan.h"
#include "control/intent_machine.h"
#include "control/intent_record.h"

namespace quetzal {

IntentRecord* IntentMachine::GroupChangeLocked() {
  for (auto& [key, record] : records_) {
    if (IsUnderWay(record)) return &record;
  }
  return nullptr;
}

std::optional<IntentRecord> IntentMachine::GroupChange() const {
  std::lock_guard lock(mutex_);
  for (const auto& [key, record] : records_) {
    if (IsUnderWay(record)) return record;
  }
  return std::nullopt;
}

void IntentMachine::CheckNoGroupChangeLocked(const ControlInstanceChange& change) {
  const IntentRecord* other = GroupChangeLocked();
  if (other == nullptr) return;
  const ControlInstanceChange& under_way = other->control_instance();
  // An instance that never catches up must remain removable.
  if (change.remove() && !under_way.remove() && change.name() == under_way.name()) return;
  throw Error(ResultCode::kPlanRefused,
              Concat("The intent ", other->id(), " changes the control instances and is ",
                     "not done yet; one change is made at a time."));
}

void IntentMachine::PlanGroupChangeLocked(const DeclareIntent& declare,
                                          IntentRecord* record) {
  const ControlInstanceChange& change = declare.content().control_instance();
  CheckNoGroupChangeLocked(change);
  const ControlGroupPlan plan = PlanControlGroup(declare.group(), change);
  for (const std::string& step : plan.steps) record->add_steps(step);
  for (const std::string& warning : plan.warnings) record->add_warnings(warning);
  *record->mutable_control_instance() = change;
  *record->mutable_group() = declare.group();
}

ControlResult IntentMachine::ConfirmGroupChangeLocked(const ControlEntry& entry,
                                                      IntentRecord* record) {
  const std::uint64_t micros = entry.wall_micros();
  const ControlGroup& group = entry.confirm().group();
  if (!SameMembers(group, record->group())) {
    CloseIntent(
        INTENT_NOT_RUN, ResultCode::kPlanOutdated,
        "Not run: the control instances changed after the plan was made. Declare it "
        "again under a new id.",
        micros, record);
    return ResultFor(*record);
  }
  try {
    CheckNoGroupChangeLocked(record->control_instance());
    PlanControlGroup(group, record->control_instance());
  } catch (const Error& error) {
    CloseIntent(INTENT_NOT_RUN, ResultCode::kNotRun, Concat("Not run: ", error.what()),
                micros, record);
    return ResultFor(*record);
  }
  if (IntentRecord* other = GroupChangeLocked()) {
    other->set_control_instance_done(true);
    other->set_control_instance_note(Concat("Given up: the intent ", record->id(),
                                            " takes ", other->control_instance().name(),
                                            " out again."));
  }
  CloseIntent(INTENT_CONFIRMED, ResultCode::kOk, "", micros, record);
  return ResultFor(*record);
}

ControlResult IntentMachine::EndGroupChange(const Version& at,
                                            const ControlEntry& entry) {
  const ControlChangeOutcome& outcome = entry.outcome();
  IntentRecord* record = FindLocked(outcome.id());
  if (record == nullptr) return MissingResultLocked(outcome.id());
  // What a leader observed is valid only for entries that it proposed in the same term.
  if (!IsUnderWay(*record) || outcome.term() != at.term()) {
    return MakeResult(ResultCode::kPlanOutdated, "The change is not under way.");
  }
  if (outcome.done()) {
    record->set_control_instance_done(true);
    HistoryItem item;
    *item.mutable_version() = at;
    item.set_wall_micros(entry.wall_micros());
    item.set_intent(record->id());
    item.set_reason(record->description());
    *item.mutable_steps() = record->steps();
    item.set_group_only(true);
    AddHistoryLocked(std::move(item));
  } else {
    CloseIntent(INTENT_NOT_RUN, ResultCode::kNotRun,
                Concat("Not run: ", outcome.reason()), entry.wall_micros(), record);
  }
  ExpireClosedLocked();
  return MakeResult(ResultCode::kOk, "");
}

}  // namespace quetzal
