// The part of CallerCall that tries backend servers one after another.
#include <algorithm>
#include <utility>

#include "calls/caller_call.h"
#include "calls/local_stream.h"

namespace quetzal {
namespace {

constexpr int kMaxAttempts = 4;

/// Instances that are asked for a free slot before the request waits at one of them.
constexpr std::size_t kSlotQuestions = 4;

/// Instances at which the request may wait after each other.
constexpr int kMaxAttemptsWithQuestions = 8;
constexpr Duration kRetryAfter = std::chrono::seconds(1);

/// Time in which an instance that is well says that it has a request: a round trip, one
/// retransmission and some waiting for its processor. Callers in a hurry wait for a part
/// of the time that they have left.
constexpr Duration kReceiptLimit = std::chrono::milliseconds(300);
constexpr Duration kMinReceiptLimit = std::chrono::milliseconds(80);
constexpr int kReceiptPartOfRemaining = 4;

/// A timer that fires later than this shows that this process was kept from its work, and
/// tells nothing about others.
constexpr Duration kLateTimer = std::chrono::milliseconds(50);

/// Redirects that say nothing about load; they are not paid from the retry budget.
bool IsRedirect(ResultCode code) {
  return code == ResultCode::kServerLeaving || code == ResultCode::kNodeStopping ||
         code == ResultCode::kNodeStarting || code == ResultCode::kNoBackendServer ||
         code == ResultCode::kStaleIncarnation;
}

}  // namespace

class CallerCall::AttemptHandler final : public StreamHandler {
 public:
  AttemptHandler(std::shared_ptr<CallerCall> call, int number)
      : call_(std::move(call)), number_(number) {}

  void OnHeaders(StreamHeaders headers) override {
    Run([headers = std::move(headers)](CallerCall* call) {
      call->AnswerHeaders(headers);
    });
  }
  void OnData(std::string_view bytes) override {
    Run([bytes = std::string(bytes)](CallerCall* call) { call->AnswerData(bytes); });
  }
  void OnEnd() override {
    Run([](CallerCall* call) { call->AnswerEnd(); });
  }
  void OnReset(ResultCode code) override {
    Run([code](CallerCall* call) { call->AttemptLost(code); });
  }
  void OnWritable() override {
    Run([](CallerCall* call) { call->body_.ReturnCredit(call->BodySink()); });
  }

 private:
  /// Whatever comes late, from an attempt that was given up, reaches nobody.
  template <class Function>
  void Run(Function function) {
    call_->queue_.Run([call = call_, number = number_, function = std::move(function)] {
      if (call->target_ && call->attempts_ == number) function(call.get());
    });
  }

  const std::shared_ptr<CallerCall> call_;
  const int number_;
};

void CallerCall::NextAttempt() {
  if (deadline_passed_ || caller_gone_) return StopWaiting();
  target_ = NextTarget();
  if (!target_) {
    const bool told_why = last_refusal_.code != ResultCode::kOk;
    return Refuse(told_why ? last_refusal_
                           : Refusal{ResultCode::kNoBackendServer, true, kRetryAfter});
  }
  if (attempts_ > 0) ++context_->retried;
  ++attempts_;
  tried_.push_back(target_->instance);
  if (!guard_) return OpenAttempt();
  phase_ = Phase::kClaim;
  guard_->Claim(*target_);
}

/// A request holds its own route, not the configuration: changes in quick succession
/// would keep one large configuration in memory for each of them.
void CallerCall::TakeRoute(const RouteMatcher& matcher, const Route& route) {
  route_ = std::make_unique<const Route>(route);
  version_ = matcher.snapshot().version.index();
}

/// The newest snapshot, since the last choice may have met a server that left; null while
/// this node may not serve.
std::shared_ptr<const RouteMatcher> CallerCall::RefreshRoute() {
  auto latest = context_->matcher();
  if (!latest || latest->snapshot().version.index() == version_) return latest;
  const Route* route = latest->Match(host_, path_, method_);
  if (route != nullptr && route->idempotent() == route_->idempotent() &&
      route->keyless() == route_->keyless()) {
    TakeRoute(*latest, *route);
  }
  return latest;
}

bool CallerCall::HasUntriedInstance() {
  const auto matcher = RefreshRoute();
  if (!matcher) return false;
  const auto& targets = matcher->Targets(service_);
  return std::any_of(targets.begin(), targets.end(), [this](const BackendTarget* target) {
    return target->state == SERVER_UP &&
           std::find(tried_.begin(), tried_.end(), target->instance) == tried_.end();
  });
}

/// Asks a few instances for a free slot; when there is none, the request waits where the
/// wait is the shortest.
std::optional<BackendTarget> CallerCall::NextTarget() {
  if (!asks_for_slot_) return full_.empty() ? ChooseTarget() : ShortestWait();
  if (full_.size() < kSlotQuestions) {
    if (auto target = ChooseTarget()) return target;
  }
  asks_for_slot_ = false;
  return full_.empty() ? std::nullopt : ShortestWait();
}

/// Nothing when no instance that was asked can answer within the objective.
std::optional<BackendTarget> CallerCall::ShortestWait() {
  const auto matcher = RefreshRoute();
  const auto shortest =
      std::min_element(full_.begin(), full_.end(),
                       [](const auto& a, const auto& b) { return a.wait < b.wait; });
  const FullInstance full = *shortest;
  full_.erase(shortest);
  RememberRefusal({ResultCode::kServerFull, true, full.wait});
  if (!matcher || context_->Now() + full.wait > Objective()) return std::nullopt;
  for (const BackendTarget* target : matcher->Targets(service_)) {
    if (target->instance != full.instance || target->state != SERVER_UP) continue;
    context_->loads.Begin(*target);
    return *target;
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
  options.load_policy = configuration.policy().load_policy();
  options.tried = tried_;
  if (service != nullptr) {
    options.slow_start = std::chrono::milliseconds(service->slow_start_ms());
  }
  const BackendTarget* chosen =
      context_->loads.Choose(matcher->Targets(service_), options);
  return chosen == nullptr ? std::nullopt : std::optional(*chosen);
}

void CallerCall::OpenAttempt() {
  phase_ = Phase::kAttempt;
  // Keys have records that tell later what became of an attempt; other requests run only
  // once this node has confirmed that it still wants them to.
  confirmed_ = !route_->keyless();
  const StreamHeaders headers = EncodeCall(MakeHead(), fields_);
  const bool whole = confirmed_ && body_.ended() && body_.empty();
  auto handler = std::make_shared<AttemptHandler>(shared_from_this(), attempts_);
  attempt_ = target_->instance == context_->options.instance
                 ? context_->local_streams.Open(context_->admitting_side(),
                                                kCallStreamPath, headers, whole, handler)
                 : context_->deps.peers->Open(target_->stream_address, kCallStreamPath,
                                              headers, whole, handler);
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
  if (asks_for_slot_) head.max_wait = Duration::zero();
  head.priority = route_->priority();
  head.remaining = std::max(Duration::zero(), deadline_ - context_->Now());
  head.expects_continue = !confirmed_;
  head.hops = hops_;
  head.via = via_;
  if (guard_) {
    head.attempt_id = guard_->attempt_id();
    head.incarnation = target_->incarnation;
  }
  return head;
}

void CallerCall::EndAttempt(AttemptEnd end) {
  if (!target_) return;
  context_->loads.End(*target_, end);
  target_.reset();
  attempt_.reset();
  receipt_timer_.reset();
}

bool CallerCall::MayRetry(bool is_paid) {
  const int most = route_->objective_ms() > 0 ? kMaxAttemptsWithQuestions : kMaxAttempts;
  if (!body_.replayable() || attempts_ >= most || answer_.told()) return false;
  if (route_->attempts() > 0 && servers_reached_ >= route_->attempts()) return false;
  return !is_paid || (HasUntriedInstance() && context_->budgets.Spend(service_));
}

/// The first arrival at a backend server is free; where routes limit the servers of a
/// request, refusals of nodes are no arrivals.
bool CallerCall::IsPaid(const Refusal& refusal) const {
  if (route_->attempts() > 0) return servers_reached_ > 0;
  return !IsRedirect(refusal.code);
}

/// A refused retry does not undo an earlier attempt that may have run.
void CallerCall::RememberRefusal(const Refusal& refusal) {
  const bool may_have_run =
      last_refusal_.code != ResultCode::kOk && !last_refusal_.not_run;
  if (!may_have_run || !refusal.not_run) last_refusal_ = refusal;
}

void CallerCall::RetryOrRefuse(const Refusal& refusal) {
  RememberRefusal(refusal);
  if (refusal.reached_server) ++servers_reached_;
  const bool may_repeat = last_refusal_.not_run || route_->idempotent();
  if (may_repeat && MayRetry(IsPaid(refusal))) return NextAttempt();
  Refuse(last_refusal_);
}

void CallerCall::AnswerHeaders(const StreamHeaders& headers) {
  if (const auto load = DecodeLoad(headers)) context_->loads.Report(*target_, *load);
  if (IsInterimStatus(HeaderValue(headers, ":status"))) return InterimAnswer(headers);
  if (const auto refusal = DecodeRefusal(headers)) return AttemptRefused(*refusal);
  phase_ = Phase::kAnswer;
  answer_.Begin(headers, method_, guard_ != nullptr);
}

void CallerCall::InterimAnswer(const StreamHeaders& headers) {
  receipt_timer_.reset();
  if (!confirmed_ && HeaderValue(headers, ":status") == kStatusContinue) Confirm();
}

/// From here on the attempt may run.
void CallerCall::Confirm() {
  confirmed_ = true;
  body_.SendKept(attempt_.get());
  if (body_.ended() && body_.empty()) attempt_->SendData({}, true);
}

void CallerCall::AwaitReceipt() {
  const Duration limit =
      std::clamp((deadline_ - context_->Now()) / kReceiptPartOfRemaining,
                 kMinReceiptLimit, kReceiptLimit);
  receipt_due_ = context_->Now() + limit;
  receipt_timer_ =
      context_->deps.executor->After(limit, [weak = weak_from_this(), n = attempts_] {
        auto call = weak.lock();
        if (!call) return;
        call->queue_.Run([call, n] {
          if (call->receipt_timer_ && call->attempts_ == n) call->NoReceipt();
        });
      });
}

/// The instance is frozen, cut off or overloaded; without a confirmation it never runs
/// the request.
void CallerCall::NoReceipt() {
  if (context_->Now() - receipt_due_ > kLateTimer) return AwaitReceipt();
  attempt_->Reset();
  EndAttempt(AttemptEnd::kSilent);
  RetryOrRefuse({ResultCode::kTimeout, true, kReceiptLimit});
}

void CallerCall::AnswerData(std::string bytes) {
  if (phase_ == Phase::kAnswer) answer_.Append(std::move(bytes), attempt_.get());
}

void CallerCall::AnswerEnd() {
  if (phase_ != Phase::kAnswer) return;
  auto attempt = attempt_;
  if (!answer_.whole()) {
    attempt->Reset();
    return AttemptLost(ResultCode::kAnswerCut);
  }
  if (!body_.ended()) attempt->Reset();
  EndAttempt(answer_.server_error() ? AttemptEnd::kFailed : AttemptEnd::kAnswered);
  ++servers_reached_;
  if (!guard_ && route_->idempotent() && answer_.unavailable() && MayRetry(true)) {
    // Kept for the caller in case that no other instance answers.
    answer_.Park();
    return NextAttempt();
  }
  answer_.End();
  ++context_->answered;
  context_->refusals.Note(service_, false, context_->Now());
  if (!guard_) return Over();
  EmitOutcome(ResultCode::kOk);
  phase_ = Phase::kRecord;
  guard_->ResolveDone(answer_.kept(), [this] { Over(); });
}

void CallerCall::AttemptRefused(const Refusal& refusal) {
  if (!body_.ended()) attempt_->Reset();
  const bool failed = !refusal.not_run || refusal.code == ResultCode::kConnectFailed;
  EndAttempt(failed                   ? AttemptEnd::kFailed
             : refusal.reached_server ? AttemptEnd::kTurnedAway
                                      : AttemptEnd::kRefused);
  if (asks_for_slot_ && refusal.code == ResultCode::kServerFull &&
      !refusal.reached_server && body_.replayable()) {
    full_.push_back({tried_.back(), refusal.retry_after});
    return NextAttempt();
  }
  if (!guard_) return RetryOrRefuse(refusal);
  last_refusal_ = refusal;
  phase_ = Phase::kOutcome;
  if (refusal.not_run) return guard_->ResolveNotRun();
  guard_->FindOutcome();
}

void CallerCall::AttemptLost(ResultCode code) {
  EndAttempt(AttemptEnd::kFailed);
  const bool not_sent = code == ResultCode::kConnectFailed || !confirmed_;
  const Refusal refusal{not_sent ? ResultCode::kConnectFailed : ResultCode::kAnswerCut,
                        not_sent, kRetryAfter, !not_sent};
  if (guard_) {
    last_refusal_ = refusal;
    if (answer_.told()) answer_.Cut();
    answer_.Discard();
    phase_ = Phase::kOutcome;
    return not_sent ? guard_->ResolveNotRun() : guard_->FindOutcome();
  }
  if (answer_.told()) {
    answer_.Cut();
    return Over();
  }
  answer_.Discard();
  RetryOrRefuse(refusal);
}

void CallerCall::OnClaimed() {
  if (!deadline_passed_ && !caller_gone_) return OpenAttempt();
  // Nothing was sent, and nothing will be.
  EndAttempt(AttemptEnd::kAbandoned);
  phase_ = Phase::kOutcome;
  guard_->ResolveNotRun();
}

void CallerCall::OnFree() {
  EndAttempt(AttemptEnd::kAbandoned);
  if (last_refusal_.code != ResultCode::kOk) {
    // A lost attempt has been proven not to have run.
    if (!last_refusal_.not_run) {
      last_refusal_ = {ResultCode::kConnectFailed, true, kRetryAfter};
    }
    return RetryOrRefuse(last_refusal_);
  }
  // The attempt that did not run was another coordinator's.
  tried_.clear();
  if (attempts_ >= kMaxAttempts) {
    return Refuse({ResultCode::kKeyInProgress, false, kRetryAfter});
  }
  NextAttempt();
}

void CallerCall::OnReplay(const KeyAnswer& answer) {
  EndAttempt(AttemptEnd::kAbandoned);
  answer_.TellReplay(answer);
  EmitOutcome(ResultCode::kOk);
  Over();
}

void CallerCall::OnKeyRefused(const Refusal& refusal) {
  EndAttempt(AttemptEnd::kAbandoned);
  Refuse(refusal);
}

}  // namespace quetzal
