#include "calls/key_guard.h"

#include <algorithm>
#include <utility>

namespace quetzal {
namespace {

constexpr Duration kRecordTimeout = std::chrono::milliseconds(1000);
constexpr Duration kInquiryTimeout = std::chrono::milliseconds(500);
constexpr Duration kInquiryInterval = std::chrono::milliseconds(20);
constexpr Duration kRetryAfter = std::chrono::seconds(1);

/// Retry delay when only the admitting node could have known the outcome, and does not.
constexpr Duration kUnknownOutcomeRetryAfter = std::chrono::seconds(30);

KeyRecord MakeRecord(const KeyClaim& claim) {
  KeyRecord record;
  record.set_fingerprint(claim.fingerprint);
  record.set_phase(KEY_SENT);
  record.set_attempt_id(claim.attempt_id);
  record.set_admitting_instance(claim.admitting_instance);
  record.set_admitting_incarnation(claim.admitting_incarnation);
  record.set_admitting_address(claim.admitting_address);
  return record;
}

}  // namespace

KeyGuard::KeyGuard(std::shared_ptr<CallContext> context, SerialQueue* queue,
                   std::string key)
    : context_(std::move(context)), queue_(queue), key_(std::move(key)) {}

void KeyGuard::Start(std::weak_ptr<KeyGuardEvents> events, std::string fingerprint,
                     SteadyTime deadline) {
  events_ = events.lock().get();
  listener_ = std::move(events);
  fingerprint_ = std::move(fingerprint);
  deadline_ = deadline;
}

/// Wraps a callback so that it runs on the call's queue while the call is alive.
template <class Function>
auto KeyGuard::OnQueue(Function function) {
  return [self = shared_from_this(), events = listener_.lock(),
          function = std::move(function)](auto&&... arguments) {
    if (!events) return;
    self->queue_->Run([self, events, function, arguments...] {
      if (self->events_) function(self.get(), arguments...);
    });
  };
}

void KeyGuard::Claim(const BackendTarget& target) {
  claim_ = KeyClaim();
  claim_.key = key_;
  claim_.fingerprint = fingerprint_;
  claim_.attempt_id = context_->MakeAttemptId();
  claim_.admitting_instance = target.instance;
  claim_.admitting_incarnation = target.incarnation;
  claim_.admitting_address = target.stream_address.ToString();
  context_->deps.keys->Claim(claim_, kRecordTimeout,
                             OnQueue([](KeyGuard* guard, const ClaimResult& result) {
                               guard->OnClaimResult(result);
                             }));
}

void KeyGuard::ResolveNotRun() {
  Resolve(claim_.attempt_id, AttemptOutcome::kNotRun, {},
          OnQueue([](KeyGuard* guard) { guard->events_->OnFree(); }));
}

void KeyGuard::ResolveDone(const KeyAnswer& answer, std::function<void()> done) {
  Resolve(claim_.attempt_id, AttemptOutcome::kDone, answer,
          OnQueue([done = std::move(done)](KeyGuard* /*guard*/) { done(); }));
}

void KeyGuard::FindOutcome() {
  record_ = MakeRecord(claim_);
  fence_ = true;
  Inquire();
}

void KeyGuard::Stop() {
  events_ = nullptr;
  timer_.reset();
}

void KeyGuard::OnClaimResult(const ClaimResult& result) {
  switch (result.outcome) {
    case ClaimOutcome::kGranted:
      return events_->OnClaimed();
    case ClaimOutcome::kDone:
      return events_->OnReplay(result.record.answer());
    case ClaimOutcome::kInProgress:
      // Its coordinating node may be about to send it: the first inquiry does not fence.
      fence_ = fence_ && record_.attempt_id() == result.record.attempt_id();
      record_ = result.record;
      return Inquire();
    case ClaimOutcome::kReused:
      return Refuse(ResultCode::kKeyReused, true, {});
    case ClaimOutcome::kTableFull:
      return Refuse(ResultCode::kKeyTableFull, true, kRetryAfter);
    case ClaimOutcome::kQuorumMissing:
      return Refuse(ResultCode::kKeyQuorumMissing, false, kRetryAfter);
    case ClaimOutcome::kUnknown:
      return Refuse(ResultCode::kOutcomeUnknown, false, kRetryAfter);
  }
}

void KeyGuard::Inquire() {
  if (!inquiring_) {
    inquiring_ = true;
    give_up_at_ = std::min(deadline_, context_->Now() + context_->options.key_wait);
  }
  InquireAttempt(*context_, &context_->attempts, record_, fence_, kInquiryTimeout,
                 OnQueue([](KeyGuard* guard, ResultCode code, const AttemptReply& reply) {
                   if (code != ResultCode::kOk) return guard->ReadRecord();
                   guard->OnInquiryReply(reply.phase(), reply.answer());
                 }));
}

void KeyGuard::OnInquiryReply(AttemptPhase phase, const KeyAnswer& answer) {
  switch (phase) {
    case ATTEMPT_DONE:
      return Resolve(
          record_.attempt_id(), AttemptOutcome::kDone, answer,
          OnQueue([answer](KeyGuard* guard) { guard->events_->OnReplay(answer); }));
    case ATTEMPT_NOT_RUN:
      return Resolve(record_.attempt_id(), AttemptOutcome::kNotRun, {},
                     OnQueue([](KeyGuard* guard) { guard->events_->OnFree(); }));
    case ATTEMPT_RUNNING:
      return InquireAgain(fence_, ResultCode::kKeyInProgress);
    case ATTEMPT_NEVER_SEEN:
      return InquireAgain(true, ResultCode::kKeyInProgress);
    default:
      outcome_unknown_ = true;
      return ReadRecord();
  }
}

void KeyGuard::ReadRecord() {
  // The attempt's coordinating node may have recorded the outcome meanwhile.
  context_->deps.keys->Read(key_, kRecordTimeout,
                            OnQueue([](KeyGuard* guard, const ClaimResult& result) {
                              guard->OnRecordRead(result);
                            }));
}

void KeyGuard::OnRecordRead(const ClaimResult& result) {
  switch (result.outcome) {
    case ClaimOutcome::kDone:
      return events_->OnReplay(result.record.answer());
    case ClaimOutcome::kGranted:  // Of a read: no attempt holds the key.
      return events_->OnFree();
    case ClaimOutcome::kInProgress:
      if (result.record.attempt_id() != record_.attempt_id()) {
        record_ = result.record;
        fence_ = false;
      } else if (outcome_unknown_) {
        return Refuse(ResultCode::kOutcomeUnknown, false, kUnknownOutcomeRetryAfter);
      }
      outcome_unknown_ = false;
      return InquireAgain(fence_, ResultCode::kOutcomeUnknown);
    default:
      return InquireAgain(fence_, ResultCode::kOutcomeUnknown);
  }
}

void KeyGuard::InquireAgain(bool fence, ResultCode give_up_code) {
  fence_ = fence;
  const Duration delay = Duration(static_cast<Duration::rep>(
      (1.0 + context_->RandomUnit()) * static_cast<double>(kInquiryInterval.count())));
  if (context_->Now() + delay >= give_up_at_) {
    return Refuse(give_up_code, false, kRetryAfter);
  }
  timer_ = context_->deps.executor->After(
      delay, OnQueue([](KeyGuard* guard) { guard->Inquire(); }));
}

void KeyGuard::Refuse(ResultCode code, bool not_run, Duration retry_after) {
  events_->OnKeyRefused({code, not_run, retry_after});
}

void KeyGuard::Resolve(const std::string& attempt_id, AttemptOutcome outcome,
                       const KeyAnswer& answer, std::function<void()> done) {
  context_->deps.keys->Resolve(key_, attempt_id, outcome, answer, kRecordTimeout,
                               [done = std::move(done)](ResultCode) { done(); });
}

}  // namespace quetzal
