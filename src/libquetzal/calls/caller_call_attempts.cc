// The part of CallerCall that tries backend servers one after another.
#include <algorithm>
#include <utility>

#include "calls/caller_call.h"
#include "calls/local_stream.h"

namespace quetzal {
namespace {

constexpr int kMaxAttempts = 4;

/// Limit of all attempts when instances are probed for a free slot.
constexpr int kMaxAttemptsWithProbes = 8;
constexpr Duration kRetryAfter = std::chrono::seconds(1);

/// Attempts of one call that may end without an answer. Each may cost a server, before
/// the other nodes can know of the crash.
constexpr int kMaxLostAttempts = 2;

/// Time in which a healthy instance acknowledges a request: a round trip, one
/// retransmission and some scheduling delay. Requests with little time left wait for a
/// part of it only.
constexpr Duration kMaxReceiptTimeout = std::chrono::milliseconds(300);
constexpr Duration kMinReceiptTimeout = std::chrono::milliseconds(80);
constexpr int kReceiptTimeoutDivisor = 4;

/// A timer that fires later than this shows that this process itself was stalled, and
/// says nothing about the other instance.
constexpr Duration kMaxTimerDelay = std::chrono::milliseconds(50);

/// Refusals that say nothing about load; retries after them do not use the retry budget.
bool IsUnrelatedToLoad(ResultCode code) {
  return code == ResultCode::kServerLeaving || code == ResultCode::kNodeStopping ||
         code == ResultCode::kNodeStarting || code == ResultCode::kNoBackendServer ||
         code == ResultCode::kStaleIncarnation ||
         code == ResultCode::kConfigurationOutdated;
}

}  // namespace

class CallerCall::AttemptHandler final : public StreamHandler {
 public:
  AttemptHandler(std::shared_ptr<CallerCall> call, int number)
      : call_(std::move(call)), number_(number) {}

  void OnHeaders(StreamHeaders headers) override {
    Run([headers = std::move(headers)](CallerCall* call) {
      call->OnAnswerHeaders(headers);
    });
  }
  void OnData(std::string_view bytes) override {
    Run([bytes = std::string(bytes)](CallerCall* call) { call->OnAnswerData(bytes); });
  }
  void OnEnd() override {
    Run([](CallerCall* call) { call->OnAnswerEnd(); });
  }
  void OnReset(ResultCode code) override {
    Run([code](CallerCall* call) { call->OnAttemptLost(code); });
  }
  void OnWritable() override {
    Run([](CallerCall* call) { call->body_.ReturnCredit(call->BodySink()); });
  }

 private:
  /// Drops late events of an attempt that was abandoned.
  template <class Function>
  void Run(Function function) {
    call_->queue_.Run([call = call_, number = number_, function = std::move(function)] {
      if (call->target_ && call->attempts_ == number) function(call.get());
    });
  }

  const std::shared_ptr<CallerCall> call_;
  const int number_;
};

void CallerCall::StartNextAttempt() {
  if (deadline_passed_ || caller_disconnected_) return Abandon();
  if (attempts_ > 0 && JudgeCrash() == CrashVerdict::kCrashes) return RefuseCrashing();
  const bool has_refusal = last_refusal_.code != ResultCode::kOk;
  if (!context_->EndsInTime(UsualTime())) {
    return Refuse(has_refusal ? last_refusal_
                              : Refusal{ResultCode::kNodeStopping, true, kRetryAfter});
  }
  target_ = NextTarget();
  if (!target_) {
    return Refuse(has_refusal ? last_refusal_
                              : Refusal{ResultCode::kNoBackendServer, true, kRetryAfter});
  }
  if (attempts_ > 0) ++context_->retried;
  ++attempts_;
  tried_.push_back(target_->instance);
  if (!guard_) return OpenAttempt();
  phase_ = Phase::kClaim;
  guard_->Claim(*target_);
}

/// Copies the route. Holding the configuration would keep many large configurations in
/// memory when changes follow each other quickly.
void CallerCall::SetRoute(const RouteMatcher& matcher, const Route& route) {
  route_ = std::make_unique<const Route>(route);
  version_ = matcher.snapshot().version.index();
}

/// Returns the latest snapshot, since the server chosen last may have left; null while
/// this node may not serve.
std::shared_ptr<const RouteMatcher> CallerCall::RefreshRoute() {
  auto latest = context_->matcher();
  if (!latest || latest->snapshot().version.index() == version_) return latest;
  // The request may have arrived before there were teams.
  if (latest->teams().has_teams()) context_->dialect().RemoveTeamFields(&fields_);
  const Route* route = latest->Match(host_, path_, method_);
  if (route != nullptr && route->idempotent() == route_->idempotent() &&
      route->keyless() == route_->keyless()) {
    SetRoute(*latest, *route);
  }
  return latest;
}

bool CallerCall::HasUntriedInstance() {
  const auto matcher = RefreshRoute();
  if (!matcher) return false;
  const auto is_untried = [this](const BackendTarget* target) {
    return target->state == SERVER_UP &&
           std::find(tried_.begin(), tried_.end(), target->instance) == tried_.end();
  };
  const auto has_untried = [&] {
    const auto& targets = Targets(*matcher);
    return std::any_of(targets.begin(), targets.end(), is_untried);
  };
  return has_untried() || (rollout_.UseOldVersion() && has_untried());
}

/// Probes a few instances for a free slot; when there is none, queues the request at the
/// instance with the shortest wait.
std::optional<BackendTarget> CallerCall::NextTarget() {
  if (!requires_free_slot_) return full_.empty() ? ChooseTarget() : ChooseShortestWait();
  const std::size_t probes = context_->slot_probes.Limit(service_, context_->Now());
  if (full_.size() < probes && !IsKnownUnservable()) {
    if (auto target = ChooseTarget()) return target;
  }
  requires_free_slot_ = false;
  return full_.empty() ? std::nullopt : ChooseShortestWait();
}

/// True when all servers stated waits to earlier requests that this one cannot bear. A
/// few requests ask all the same.
bool CallerCall::IsKnownUnservable() {
  const auto matcher = RefreshRoute();
  if (!matcher || nested_ || attempts_ > 0) return false;
  const SteadyTime now = context_->Now();
  const Duration bearable = std::max<Duration>(Duration::zero(), Objective() - now);
  std::vector<FullInstance> full;
  for (const BackendTarget* target : Targets(*matcher)) {
    if (target->state != SERVER_UP) continue;
    const Duration wait =
        context_->known_waits.Remaining(target->instance, Priority(), now);
    if (wait <= bearable) return false;
    full.push_back({target->instance, wait});
  }
  if (full.empty() || context_->known_waits.TakeProbe(service_, now)) return false;
  full_ = std::move(full);
  return true;
}

/// Null when no instance that is known to be full can answer in time.
std::optional<BackendTarget> CallerCall::ChooseShortestWait() {
  const auto matcher = RefreshRoute();
  const auto by_wait = [](const auto& a, const auto& b) { return a.wait < b.wait; };
  std::stable_sort(full_.begin(), full_.end(), by_wait);
  RememberRefusal({ResultCode::kServerFull, true, full_.front().wait});
  if (!matcher) return std::nullopt;
  const auto& targets = Targets(*matcher);
  // An instance may have left, or be of a version that the request may not use any more.
  for (std::size_t n = 0; n < full_.size(); ++n) {
    const FullInstance full = full_[n];
    if (context_->Now() + full.wait > LatestUsefulAnswer()) return std::nullopt;
    for (const BackendTarget* target : targets) {
      if (target->instance != full.instance || target->state != SERVER_UP) continue;
      full_.erase(full_.begin(), full_.begin() + static_cast<std::ptrdiff_t>(n) + 1);
      context_->loads.Begin(*target);
      // Its queue becomes longer than it stated.
      context_->known_waits.Forget(target->instance);
      rollout_.Begin(*matcher, *target, route_->name());
      return *target;
    }
  }
  return std::nullopt;
}

std::optional<BackendTarget> CallerCall::ChooseTarget() {
  const auto matcher = RefreshRoute();
  if (!matcher) return std::nullopt;
  const Configuration& configuration = *matcher->snapshot().configuration;
  const Service* service = matcher->FindService(service_);
  ChoiceOptions options;
  options.data_centre = context_->options.data_centre;
  const std::string& policy = configuration.policy().load_policy();
  options.load_policy = policy.empty() ? context_->options.load_policy : policy;
  options.tried = tried_;
  if (service != nullptr) {
    options.slow_start = std::chrono::milliseconds(service->slow_start_ms());
  }
  const auto choose = [&] { return context_->loads.Choose(Targets(*matcher), options); };
  const BackendTarget* chosen = choose();
  if (chosen == nullptr && rollout_.UseOldVersion()) chosen = choose();
  if (chosen == nullptr) return std::nullopt;
  rollout_.Begin(*matcher, *chosen, route_->name());
  return *chosen;
}

void CallerCall::OpenAttempt() {
  phase_ = Phase::kAttempt;
  // The record of a key shows the outcome of an attempt later. Requests of keyless routes
  // have no record and run only after this node's confirmation.
  confirmed_ = !route_->keyless();
  rollout_.MarkSent();
  const StreamHeaders headers = EncodeCall(MakeHead(), fields_);
  const bool complete = confirmed_ && body_.ended() && body_.empty();
  auto handler = std::make_shared<AttemptHandler>(shared_from_this(), attempts_);
  attempt_ =
      target_->instance == context_->options.instance
          ? context_->local_streams.Open(context_->admitting_side(), kCallStreamPath,
                                         headers, complete, handler)
          : context_->deps.peers->Open(target_->stream_address, kCallStreamPath, headers,
                                       complete, handler);
  if (confirmed_) return body_.SendKept(attempt_.get());
  if (target_->instance != context_->options.instance) AwaitReceipt();
}

CallHead CallerCall::MakeHead() const {
  CallHead head;
  head.method = method_;
  head.path = path_;
  head.host = host_;
  head.service = service_;
  head.idempotent = route_->idempotent();
  head.caller_service = context_->options.service;
  head.route = route_->name();
  if (route_->objective_ms() > 0) {
    head.objective = std::max(Duration::zero(), Objective() - context_->Now());
  }
  if (requires_free_slot_) head.max_wait = Duration::zero();
  head.rate_limit = context_->loads.rate_limit(target_->instance);
  head.priority = Priority();
  head.team = team_;
  head.nested = nested_;
  head.remaining = std::max(Duration::zero(), deadline_ - context_->Now());
  head.expects_continue = !confirmed_;
  head.hops = hops_;
  head.via = via_;
  head.configuration_index = rollout_.stated_index();
  if (guard_) {
    head.attempt_id = guard_->attempt_id();
    head.incarnation = target_->incarnation;
  }
  return head;
}

void CallerCall::EndAttempt(AttemptEnd end, VersionOutcome outcome) {
  if (!target_) return;
  rollout_.End(outcome);
  context_->loads.End(*target_, end);
  target_.reset();
  attempt_.reset();
  receipt_timer_.reset();
}

bool CallerCall::MayRetry(bool uses_retry_budget) {
  const int limit = route_->objective_ms() > 0 ? kMaxAttemptsWithProbes : kMaxAttempts;
  if (!body_.replayable() || attempts_ >= limit || answer_.committed()) return false;
  // A run on trial that is lost may have ended its server.
  if (lost_attempts_ >= (suspected_ ? 1 : kMaxLostAttempts)) return false;
  if (route_->attempts() > 0 && servers_reached_ >= route_->attempts()) return false;
  return !uses_retry_budget ||
         (HasUntriedInstance() && context_->budgets.Spend(service_));
}

/// The first attempt that reaches a backend server is free. On routes that limit the
/// attempts, a refusal by a node does not count as reaching a server.
bool CallerCall::UsesRetryBudget(const Refusal& refusal) const {
  if (route_->attempts() > 0) return servers_reached_ > 0;
  return !IsUnrelatedToLoad(refusal.code);
}

/// After an attempt that may have run, the refusal of a retry must not claim the
/// opposite.
void CallerCall::RememberRefusal(const Refusal& refusal) {
  const bool may_have_run =
      last_refusal_.code != ResultCode::kOk && !last_refusal_.not_run;
  if (!may_have_run || !refusal.not_run) last_refusal_ = refusal;
}

void CallerCall::RetryOrRefuse(const Refusal& refusal) {
  if (refusal.code == ResultCode::kRequestCrashesServers) return RefuseCrashing();
  RememberRefusal(refusal);
  if (refusal.code == ResultCode::kRequestOnTrial) return Refuse(last_refusal_);
  if (refusal.reached_server) ++servers_reached_;
  if (refusal.reached_server && !refusal.not_run) ++lost_attempts_;
  const bool may_repeat = last_refusal_.not_run || route_->idempotent();
  if (may_repeat && MayRetry(UsesRetryBudget(refusal))) return StartNextAttempt();
  Refuse(last_refusal_);
}

void CallerCall::OnAnswerHeaders(const StreamHeaders& headers) {
  if (const auto load = DecodeLoad(headers)) {
    context_->loads.Report(*target_, *load);
    if (load->outstanding < load->slots) {
      context_->known_waits.Forget(target_->instance);
    }
  }
  if (IsInterimStatus(HeaderValue(headers, ":status"))) return OnInterimAnswer(headers);
  if (const auto refusal = DecodeRefusal(headers)) return OnAttemptRefused(*refusal);
  context_->loads.RecordRateLimit(*target_,
                                  context_->dialect().ReadAnswer(headers).rate_limit);
  if (requires_free_slot_) {
    context_->slot_probes.Record(service_, true, context_->Now());
  }
  phase_ = Phase::kAnswer;
  answer_.Begin(headers, method_, guard_ != nullptr);
}

void CallerCall::OnInterimAnswer(const StreamHeaders& headers) {
  receipt_timer_.reset();
  if (!confirmed_ && HeaderValue(headers, ":status") == kStatusContinue) Confirm();
}

/// From here on the attempt may run.
void CallerCall::Confirm() {
  if (!context_->EndsInTime(UsualTime())) {
    attempt_->Reset();
    EndAttempt(AttemptEnd::kAbandoned, VersionOutcome::kNotRun);
    RememberRefusal({ResultCode::kNodeStopping, true, kRetryAfter});
    return Refuse(last_refusal_);
  }
  confirmed_ = true;
  body_.SendKept(attempt_.get());
  if (body_.ended() && body_.empty()) attempt_->SendData({}, true);
}

void CallerCall::AwaitReceipt() {
  const Duration timeout =
      std::clamp((deadline_ - context_->Now()) / kReceiptTimeoutDivisor,
                 kMinReceiptTimeout, kMaxReceiptTimeout);
  receipt_due_ = context_->Now() + timeout;
  receipt_timer_ =
      context_->deps.executor->After(timeout, [weak = weak_from_this(), n = attempts_] {
        auto call = weak.lock();
        if (!call) return;
        call->queue_.Run([call, n] {
          if (call->receipt_timer_ && call->attempts_ == n) call->OnReceiptTimeout();
        });
      });
}

/// The instance is frozen, cut off or overloaded; without a confirmation it never runs
/// the request.
void CallerCall::OnReceiptTimeout() {
  if (context_->Now() - receipt_due_ > kMaxTimerDelay) return AwaitReceipt();
  attempt_->Reset();
  EndAttempt(AttemptEnd::kUnresponsive, VersionOutcome::kNotRun);
  RetryOrRefuse({ResultCode::kTimeout, true, kMaxReceiptTimeout});
}

void CallerCall::OnAnswerData(std::string bytes) {
  if (phase_ == Phase::kAnswer) answer_.Append(std::move(bytes), attempt_.get());
}

void CallerCall::OnAnswerEnd() {
  if (phase_ != Phase::kAnswer) return;
  auto attempt = attempt_;
  if (!answer_.complete()) {
    attempt->Reset();
    return OnAttemptLost(ResultCode::kAnswerCut);
  }
  if (!body_.ended()) attempt->Reset();
  if (answer_.server_error()) {
    EndAttempt(AttemptEnd::kFailed, VersionOutcome::kFailed);
  } else {
    EndAttempt(AttemptEnd::kAnswered, VersionOutcome::kAnswered);
  }
  ++servers_reached_;
  if (!guard_ && route_->idempotent() && answer_.unavailable() && MayRetry(true)) {
    // Sent to the caller if no other instance answers.
    answer_.KeepAsFallback();
    return StartNextAttempt();
  }
  answer_.End();
  ++context_->answered;
  context_->refusal_rates.Record(service_, false, context_->Now());
  if (!guard_) return EndCall();
  EmitOutcome(ResultCode::kOk);
  phase_ = Phase::kRecord;
  guard_->ResolveDone(answer_.kept(), [this] { EndCall(); });
}

void CallerCall::OnAttemptRefused(const Refusal& refusal) {
  if (!body_.ended()) attempt_->Reset();
  const bool failed = !refusal.not_run || refusal.code == ResultCode::kConnectFailed;
  if (refusal.code == ResultCode::kConfigurationOutdated) {
    rollout_.RecordRefusal(*target_);
  }
  EndAttempt(failed                   ? AttemptEnd::kFailed
             : refusal.reached_server ? AttemptEnd::kRefusedByServer
                                      : AttemptEnd::kRefusedByNode,
             !refusal.not_run         ? VersionOutcome::kFailed
             : refusal.reached_server ? VersionOutcome::kNoResult
                                      : VersionOutcome::kNotRun);
  if (requires_free_slot_ && refusal.code == ResultCode::kServerFull &&
      !refusal.reached_server && body_.replayable()) {
    full_.push_back({tried_.back(), refusal.retry_after});
    context_->slot_probes.Record(service_, false, context_->Now());
    // Nested calls wait before fewer requests than others.
    if (!nested_) {
      context_->known_waits.Record(tried_.back(), Priority(), refusal.retry_after,
                                   context_->Now());
    }
    return StartNextAttempt();
  }
  if (!guard_) return RetryOrRefuse(refusal);
  last_refusal_ = refusal;
  phase_ = Phase::kOutcome;
  if (refusal.not_run) return guard_->ResolveNotRun();
  guard_->FindOutcome();
}

void CallerCall::OnAttemptLost(ResultCode code) {
  // Without a confirmation the admitting node never runs the request.
  const bool cannot_have_run = code == ResultCode::kConnectFailed || !confirmed_;
  EndAttempt(AttemptEnd::kFailed,
             cannot_have_run ? VersionOutcome::kNotRun : VersionOutcome::kFailed);
  const Refusal refusal{
      cannot_have_run ? ResultCode::kConnectFailed : ResultCode::kAnswerCut,
      cannot_have_run, kRetryAfter, !cannot_have_run};
  if (guard_) {
    last_refusal_ = refusal;
    if (answer_.committed()) answer_.Abort();
    answer_.Discard();
    phase_ = Phase::kOutcome;
    return cannot_have_run ? guard_->ResolveNotRun() : guard_->FindOutcome();
  }
  if (answer_.committed()) {
    answer_.Abort();
    return EndCall();
  }
  answer_.Discard();
  RetryOrRefuse(refusal);
}

void CallerCall::OnClaimed() {
  if (!deadline_passed_ && !caller_disconnected_) return OpenAttempt();
  // Nothing was sent, and nothing will be.
  EndAttempt(AttemptEnd::kAbandoned, VersionOutcome::kNotRun);
  phase_ = Phase::kOutcome;
  guard_->ResolveNotRun();
}

void CallerCall::OnFree() {
  EndAttempt(AttemptEnd::kAbandoned, VersionOutcome::kNotRun);
  if (last_refusal_.code != ResultCode::kOk) {
    // The lost attempt is now known not to have run.
    if (!last_refusal_.not_run) {
      last_refusal_ = {ResultCode::kConnectFailed, true, kRetryAfter};
    }
    return RetryOrRefuse(last_refusal_);
  }
  // The attempt that did not run belonged to another coordinating node.
  tried_.clear();
  if (attempts_ >= kMaxAttempts) {
    return Refuse({ResultCode::kKeyInProgress, false, kRetryAfter});
  }
  StartNextAttempt();
}

void CallerCall::OnReplay(const KeyAnswer& answer) {
  EndAttempt(AttemptEnd::kAbandoned, VersionOutcome::kNotRun);
  answer_.SendReplay(answer);
  EmitOutcome(ResultCode::kOk);
  EndCall();
}

void CallerCall::OnKeyRefused(const Refusal& refusal) {
  EndAttempt(AttemptEnd::kAbandoned, VersionOutcome::kNotRun);
  Refuse(refusal);
}

}  // namespace quetzal
