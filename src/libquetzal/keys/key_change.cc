#include "keys/key_change.h"

#include <utility>

namespace quetzal {
namespace {

ClaimOutcome OutcomeOf(const KeyRecord& record) {
  switch (record.phase()) {
    case KEY_SENT:
      return ClaimOutcome::kInProgress;
    case KEY_DONE:
      return ClaimOutcome::kDone;
    default:
      return ClaimOutcome::kGranted;
  }
}

class ClaimChange final : public KeyChange {
 public:
  explicit ClaimChange(const KeyClaim& claim) : claim_(claim) {}

  Decision Decide(const KeyRecord& current) const override {
    Decision decision;
    const bool absent = current.phase() == KEY_ABSENT;
    if (!absent && current.fingerprint() != claim_.fingerprint) {
      decision.outcome = ClaimOutcome::kReused;
      return decision;
    }
    // Some holders may have accepted an earlier round of this claim.
    const bool same_claim =
        current.phase() == KEY_SENT && current.attempt_id() == claim_.attempt_id;
    if (!absent && !same_claim && current.phase() != KEY_NOT_RUN) {
      decision.outcome = OutcomeOf(current);
      return decision;
    }
    decision.write = true;
    decision.record.set_fingerprint(claim_.fingerprint);
    decision.record.set_phase(KEY_SENT);
    decision.record.set_attempt_id(claim_.attempt_id);
    decision.record.set_admitting_instance(claim_.admitting_instance);
    decision.record.set_admitting_incarnation(claim_.admitting_incarnation);
    decision.record.set_admitting_address(claim_.admitting_address);
    return decision;
  }

 private:
  KeyClaim claim_;
};

class ResolveChange final : public KeyChange {
 public:
  ResolveChange(std::string attempt_id, AttemptOutcome outcome, const KeyAnswer& answer)
      : attempt_id_(std::move(attempt_id)), outcome_(outcome), answer_(answer) {}

  Decision Decide(const KeyRecord& current) const override {
    Decision decision;
    if (current.attempt_id() != attempt_id_) {
      decision.outcome = ClaimOutcome::kReused;
      return decision;
    }
    if (current.phase() != KEY_SENT) return decision;
    decision.write = true;
    decision.record = current;
    decision.record.set_phase(outcome_ == AttemptOutcome::kDone ? KEY_DONE : KEY_NOT_RUN);
    if (outcome_ == AttemptOutcome::kDone) *decision.record.mutable_answer() = answer_;
    return decision;
  }

 private:
  std::string attempt_id_;
  AttemptOutcome outcome_;
  KeyAnswer answer_;
};

class ReadChange final : public KeyChange {
 public:
  Decision Decide(const KeyRecord& current) const override {
    Decision decision;
    decision.outcome = OutcomeOf(current);
    return decision;
  }
};

}  // namespace

std::unique_ptr<KeyChange> MakeClaimChange(const KeyClaim& claim) {
  return std::make_unique<ClaimChange>(claim);
}

std::unique_ptr<KeyChange> MakeResolveChange(const std::string& attempt_id,
                                             AttemptOutcome outcome,
                                             const KeyAnswer& answer) {
  return std::make_unique<ResolveChange>(attempt_id, outcome, answer);
}

std::unique_ptr<KeyChange> MakeReadChange() { return std::make_unique<ReadChange>(); }

}  // namespace quetzal
