#ifndef QUETZAL_CALLS_KEY_GUARD_H_
#define QUETZAL_CALLS_KEY_GUARD_H_

#include <functional>
#include <memory>
#include <string>

#include "calls/attempt_inquiry.h"
#include "calls/call_context.h"
#include "calls/serial_queue.h"
#include "kernel/executor.h"
#include "keys/key_records.h"

namespace quetzal {

/// Callbacks of a KeyGuard to the call that it guards, run on the call's queue.
class KeyGuardEvents {
 public:
  virtual ~KeyGuardEvents() = default;

  /// The key's record names this attempt: no other one may be sent.
  virtual void OnClaimed() = 0;

  /// No attempt holds the key: the call may choose an instance and claim again.
  virtual void OnFree() = 0;

  /// The request ran before; `answer` is the answer of that run.
  virtual void OnReplay(const KeyAnswer& answer) = 0;

  /// Nothing may be sent; the refusal goes to the caller at once.
  virtual void OnKeyRefused(const Refusal& refusal) = 0;
};

/// Ensures that a non-idempotent request runs at most once: claims the key's record
/// before anything is sent, records outcomes, and determines the outcome of lost
/// attempts. Runs on the queue of its call.
class KeyGuard : public std::enable_shared_from_this<KeyGuard> {
 public:
  KeyGuard(std::shared_ptr<CallContext> context, SerialQueue* queue, std::string key);

  /// Called before the first claim. `events`, which owns the queue and this guard, is
  /// kept alive while a reply is awaited.
  void Start(std::weak_ptr<KeyGuardEvents> events, std::string fingerprint,
             SteadyTime deadline);

  /// Claims the key for an attempt at `target`.
  void Claim(const BackendTarget& target);

  /// Records that the claimed attempt did not run and never will, then calls OnFree.
  void ResolveNotRun();

  /// Records the answer of the claimed attempt. `done` is called when it is recorded or
  /// recording failed; the admitting node keeps the answer either way.
  void ResolveDone(const KeyAnswer& answer, std::function<void()> done);

  /// Determines the outcome of the claimed attempt after it was lost.
  void FindOutcome();

  /// No callback follows.
  void Stop();

  const std::string& attempt_id() const { return claim_.attempt_id; }

 private:
  void OnClaimResult(const ClaimResult& result);
  void Inquire();
  void OnInquiryReply(AttemptPhase phase, const KeyAnswer& answer);
  void ReadRecord();
  void OnRecordRead(const ClaimResult& result);
  void InquireAgain(bool fence, ResultCode give_up_code);
  void Refuse(ResultCode code, bool not_run, Duration retry_after);
  void Resolve(const std::string& attempt_id, AttemptOutcome outcome,
               const KeyAnswer& answer, std::function<void()> done);
  template <class Function>
  auto OnQueue(Function function);

  const std::shared_ptr<CallContext> context_;
  SerialQueue* const queue_;
  const std::string key_;
  std::string fingerprint_;
  SteadyTime deadline_;
  /// The call, to keep it alive while a reply is awaited; weak, since it owns the guard.
  std::weak_ptr<KeyGuardEvents> listener_;
  /// The same object; null before Start and after Stop, when late replies are dropped.
  KeyGuardEvents* events_ = nullptr;
  KeyClaim claim_;
  KeyRecord record_;    ///< Names the attempt to inquire about.
  bool fence_ = false;  ///< The next inquiry fences an attempt that was not seen.
  bool outcome_unknown_ = false;  ///< The admitting node will never know the outcome.
  SteadyTime give_up_at_;
  bool inquiring_ = false;  ///< An inquiry has begun; give_up_at_ is set.
  std::unique_ptr<Timer> timer_;
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_KEY_GUARD_H_
