#ifndef QUETZAL_CALLS_CALLER_CALL_H_
#define QUETZAL_CALLS_CALLER_CALL_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "calls/answer_relay.h"
#include "calls/call_context.h"
#include "calls/call_dialect.h"
#include "calls/call_headers.h"
#include "calls/call_rollout.h"
#include "calls/key_guard.h"
#include "calls/request_body.h"
#include "calls/serial_queue.h"
#include "kernel/executor.h"
#include "net/stream.h"

namespace quetzal {

/// One request of a caller at the node that received it, the coordinating node: finds the
/// route, chooses an instance, forwards the request there, retries at others where this
/// cannot run it twice, and sends the caller exactly one outcome.
class CallerCall final : public StreamHandler,
                         public KeyGuardEvents,
                         public std::enable_shared_from_this<CallerCall> {
 public:
  static std::shared_ptr<StreamHandler> Accept(
      const std::shared_ptr<CallContext>& context, const std::string& path,
      const StreamHeaders& headers, const std::shared_ptr<Stream>& caller);

  CallerCall(std::shared_ptr<CallContext> context, std::string path,
             const StreamHeaders& headers, const std::shared_ptr<Stream>& caller);

  void OnHeaders(StreamHeaders headers) override;
  void OnData(std::string_view bytes) override;
  void OnEnd() override;
  void OnReset(ResultCode code) override;
  void OnWritable() override;

  /// The process ends: answers the caller unless that has begun.
  void OnStopLimit();

 private:
  class AttemptHandler;

  /// What the request waits for. At most one attempt is active at any time.
  enum class Phase { kBody, kClaim, kAttempt, kAnswer, kOutcome, kRecord, kEnded };

  // Before the first attempt.
  void Start();
  ResultCode FindRoute();
  /// Finds the team of the request and removes the caller's credential, which goes no
  /// further. `proved`: credentials were valid before `matcher` was made.
  ResultCode CheckCredential(const RouteMatcher& matcher, const Route* route,
                             bool proved);
  ResultCode CheckVia();
  ResultCode CheckKey();
  /// Null when the team's quota admits the request, otherwise the time until it may.
  std::optional<Duration> CheckQuota();
  void StartDeadline(Duration timeout);
  /// Starts the first attempt once it is known that the request may be sent.
  void StartWhenJudged();
  /// True while a stopping node waits for the rest of the body before it takes the
  /// request.
  bool AwaitsBody() const;
  /// The time that a server usually takes at most.
  Duration UsualTime() const;
  RequestIdentity Identity() const;
  CrashVerdict JudgeCrash();
  void RefuseCrashing();
  void ClaimWhenBodyIsComplete();
  std::string Fingerprint() const;

  // Attempts.
  void StartNextAttempt();
  void SetRoute(const RouteMatcher& matcher, const Route& route);
  std::shared_ptr<const RouteMatcher> RefreshRoute();
  /// The servers that the next attempt may use; valid until the next call.
  const RolloutRouter::Targets& Targets(const RouteMatcher& matcher);
  bool HasUntriedInstance();
  std::optional<BackendTarget> NextTarget();
  std::optional<BackendTarget> ChooseTarget();
  bool IsKnownUnservable();
  std::optional<BackendTarget> ChooseShortestWait();
  void OpenAttempt();
  CallHead MakeHead() const;
  void EndAttempt(AttemptEnd end, VersionOutcome outcome);
  bool MayRetry(bool uses_retry_budget);
  bool UsesRetryBudget(const Refusal& refusal) const;
  void RememberRefusal(const Refusal& refusal);
  void RetryOrRefuse(const Refusal& refusal);

  // The attempt's stream.
  void OnAnswerHeaders(const StreamHeaders& headers);
  void OnAnswerData(std::string bytes);
  void OnAnswerEnd();
  void OnAttemptRefused(const Refusal& refusal);
  void OnAttemptLost(ResultCode code);
  void OnInterimAnswer(const StreamHeaders& headers);
  void Confirm();
  void AwaitReceipt();
  void OnReceiptTimeout();
  /// Stream that the body is sent to; null until the attempt may run.
  Stream* BodySink() const { return confirmed_ ? attempt_.get() : nullptr; }
  /// True when neither this attempt nor an earlier one may have run.
  bool CannotHaveRun() const;

  // Events of the key guard.
  void OnClaimed() override;
  void OnFree() override;
  void OnReplay(const KeyAnswer& answer) override;
  void OnKeyRefused(const Refusal& refusal) override;

  // The caller's stream and the deadline.
  void OnBodyData(std::string bytes);
  void OnBodyEnd();
  void OnCallerDisconnected();
  void OnDeadline();
  /// Ends an attempt whose server does not have the whole request yet.
  void Abandon();

  void Refuse(const Refusal& refusal);
  void EndCall();
  /// Emits the outcome of a keyed request: call.delivered, or call.resolved when the
  /// caller no longer receives it.
  void EmitOutcome(ResultCode code) const;
  void EmitKeyed(const char* name, ResultCode code) const;
  /// Emits why a request with a caller's request id got no answer from a backend server.
  void EmitRefused(const Refusal& refusal) const;

  const std::shared_ptr<CallContext> context_;
  const std::string path_;
  const std::string method_;
  const std::string host_;
  std::string key_;
  StreamHeaders fields_;  ///< To forward.
  std::string via_;
  int hops_ = 0;
  const CallerMetadata metadata_;
  bool nested_ = false;  ///< See IsNestedCall.

  SerialQueue queue_;
  std::shared_ptr<Stream> caller_;
  RequestBody body_;
  AnswerRelay answer_;
  Phase phase_ = Phase::kBody;
  SteadyTime deadline_;
  std::unique_ptr<Timer> timer_;
  bool awaits_start_ = false;  ///< More of the body decides whether it may be sent.
  std::optional<RequestFingerprint> suspected_;  ///< Null unless it runs on trial.
  RolloutRouter::Targets trial_targets_;
  bool deadline_passed_ = false;
  bool caller_disconnected_ = false;

  std::unique_ptr<const Route> route_;
  std::uint64_t version_ = 0;  ///< Log index of the configuration of route_.
  std::string service_;
  std::string team_;                            ///< Empty: none.
  std::optional<std::uint32_t> team_priority_;  ///< Replaces that of the route.
  std::optional<BackendTarget> target_;         ///< Of the active attempt.
  std::shared_ptr<Stream> attempt_;
  bool confirmed_ = false;                ///< The admitting node may run the attempt.
  std::unique_ptr<Timer> receipt_timer_;  ///< For the admitting node's first response.
  SteadyTime receipt_due_;
  int attempts_ = 0;
  std::uint32_t servers_reached_ = 0;  ///< Backend servers that have seen the request.
  int lost_attempts_ = 0;              ///< That may have run, without an answer.
  std::vector<std::string> tried_;
  Refusal last_refusal_;

  /// An instance that had no free slot when it was probed for one.
  struct FullInstance {
    std::string instance;
    Duration wait{};  ///< Expected time until a slot is free.
  };
  bool requires_free_slot_ = false;  ///< Attempts are refused where they would queue.
  std::vector<FullInstance> full_;
  SteadyTime started_;
  Duration elapsed_before_{};  ///< Spent by the caller on earlier attempts.

  /// The route's latency objective: a later answer is of little use to the caller.
  SteadyTime Objective() const {
    return started_ - elapsed_before_ + std::chrono::milliseconds(route_->objective_ms());
  }
  std::uint32_t Priority() const { return team_priority_.value_or(route_->priority()); }

  /// Latest time at which it is still worth to wait for a slot. The run that a nested
  /// call belongs to is lost without it, so that its answer counts until the deadline.
  SteadyTime LatestUsefulAnswer() const { return nested_ ? deadline_ : Objective(); }
  CallRollout rollout_;
  std::shared_ptr<KeyGuard> guard_;  ///< Of a non-idempotent request.
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_CALLER_CALL_H_
