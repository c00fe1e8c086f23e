#include "control/control_group_reconciler.h"

#include "base/result_code.h"
#include "control/control_group_plan.h"

namespace quetzal {
namespace {

constexpr Duration kPeriod = std::chrono::milliseconds(100);

}  // namespace

void ControlGroupReconciler::Start() {
  timer_ = dependencies_.executor->Every(kPeriod, [this] { Check(); });
}

void ControlGroupReconciler::Check() {
  const LeadershipView view = dependencies_.agreement->leadership();
  if (busy_ || !view.leading || !dependencies_.machine->GroupChange()) return;
  busy_ = true;
  // An earlier leader may have committed an outcome that is not applied here yet.
  dependencies_.agreement->ReadBarrier([this, term = view.term](ResultCode code) {
    dependencies_.executor->Post([this, term, code] {
      busy_ = false;
      if (code == ResultCode::kOk) Advance(term);
    });
  });
}

void ControlGroupReconciler::Advance(std::uint64_t term) {
  const auto record = dependencies_.machine->GroupChange();
  const ControlGroup group = GroupOf(*dependencies_.agreement);
  // The group belongs to `term` only if this instance still leads in that term.
  const LeadershipView view = dependencies_.agreement->leadership();
  if (!record || !view.leading || view.term != term) return;
  const ControlInstanceChange& change = record->control_instance();
  if (IsReached(group, change)) return CommitOutcome(record->id(), term, true, "");
  if (!change.remove() && FindMember(group, change.name()) != nullptr) return;
  if (refusal_.id == record->id() && refusal_.term == term) {
    return CommitOutcome(record->id(), term, false, refusal_.reason);
  }
  ChangeGroup(*record, term);
}

void ControlGroupReconciler::ChangeGroup(const IntentRecord& record, std::uint64_t term) {
  MembershipChange change;
  change.name = record.control_instance().name();
  change.term = term;
  if (record.control_instance().remove()) {
    change.kind = MembershipChangeKind::kRemove;
  } else {
    change.endpoint = ParseEndpoint(record.control_instance().address());
  }
  busy_ = true;
  dependencies_.agreement->ProposeMembership(
      change, [this, id = record.id(), term](ResultCode code, LogPosition,
                                             const std::string& text) {
        dependencies_.executor->Post([this, id, term, code, text] {
          busy_ = false;
          // Only these codes prove that nothing was added to the log.
          if (code != ResultCode::kPlanRefused && code != ResultCode::kConnectFailed) {
            return;
          }
          refusal_ = {id, term, text};
        });
      });
}

void ControlGroupReconciler::CommitOutcome(const std::string& id, std::uint64_t term,
                                           bool done, const std::string& reason) {
  ControlEntry entry;
  const auto since_epoch = dependencies_.clock->WallNow().time_since_epoch();
  entry.set_wall_micros(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count()));
  ControlChangeOutcome* outcome = entry.mutable_outcome();
  outcome->set_id(id);
  outcome->set_term(term);
  outcome->set_done(done);
  outcome->set_reason(reason);
  busy_ = true;
  dependencies_.agreement->Propose(
      entry.SerializeAsString(),
      [this, id, done](ResultCode code, LogPosition, const std::string& bytes) {
        dependencies_.executor->Post([this, id, done, code, bytes] {
          busy_ = false;
          ControlResult result;
          result.ParseFromString(bytes);
          if (code != ResultCode::kOk || result.code() != 0) return;
          dependencies_.events->Emit({"control_instances.changed",
                                      {{"intent", id}, {"done", done ? "1" : "0"}}});
        });
      });
}

}  // namespace quetzal
