#include "calls/caller_call.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <xxhash.h>

#include "calls/caller_answer.h"
#include "calls/ignoring_handler.h"
#include "calls/local_stream.h"
#include "calls/nested_call.h"
#include "calls/via_header.h"
#include "quotas/team_quota.h"

namespace quetzal {
namespace {

constexpr std::size_t kMaxKeyBytes = 256;
/// Used as the caller's timeout when it states none; a shorter one of the route applies.
constexpr Duration kMaxTimeout = std::chrono::hours(24);
constexpr Duration kRetryAfter = std::chrono::seconds(1);
/// The source's next answer is likely within this time; see CredentialLease.
constexpr Duration kProofRetryAfter = std::chrono::milliseconds(500);

/// How long the call waits for the outcome of a keyed request after the caller got
/// kDeadlineExceeded.
constexpr Duration kOutcomeGrace = std::chrono::seconds(30);

/// A caller that gives up in the last tenth of the time had no answer in time.
constexpr int kLatePartDivisor = 10;

/// Servers usually take less than this part of a route's latency objective.
constexpr int kUsualPartDivisor = 2;

bool IsCapacityRefusal(ResultCode code) {
  return code == ResultCode::kServerFull || code == ResultCode::kShed;
}

void CountRefusal(ResultCode code, CallContext* context) {
  ++context->refused;
  if (code == ResultCode::kCredentialUnknown) ++context->credential_unknown;
  if (code == ResultCode::kCredentialUnproved) ++context->credential_unproved;
  if (code == ResultCode::kQuotaExceeded) ++context->quota_exceeded;
}

Duration RetryAfter(ResultCode code) {
  if (code == ResultCode::kNodeStarting) return kRetryAfter;
  return code == ResultCode::kCredentialUnproved ? kProofRetryAfter : Duration::zero();
}

}  // namespace

std::shared_ptr<StreamHandler> CallerCall::Accept(
    const std::shared_ptr<CallContext>& context, const std::string& path,
    const StreamHeaders& headers, const std::shared_ptr<Stream>& caller) {
  ++context->accepted;
  if (!context->drain.Enter()) {
    ++context->refused;
    RefusalAnswer answer = context->dialect().WriteRefusal(
        {ResultCode::kNodeStopping, true, kRetryAfter}, true);
    caller->SendHeaders(std::move(answer.headers), false);
    caller->SendData(std::move(answer.body), true);
    return std::make_shared<IgnoringHandler>(caller);
  }
  auto call = std::make_shared<CallerCall>(context, path, headers, caller);
  context->live_calls.Add(call);
  call->queue_.Run([call] { call->Start(); });
  return call;
}

CallerCall::CallerCall(std::shared_ptr<CallContext> context, std::string path,
                       const StreamHeaders& headers,
                       const std::shared_ptr<Stream>& caller)
    : context_(std::move(context)),
      path_(std::move(path)),
      method_(HeaderValue(headers, ":method")),
      host_(CallHost(headers)),
      key_(HeaderValue(headers, kKeyHeader)),
      fields_(EndToEndFields(headers)),
      via_(HeaderValue(headers, kViaHeader)),
      hops_(ParseHops(HeaderValue(headers, kHopsHeader))),
      metadata_(context_->dialect().ReadCaller(headers)),
      caller_(caller),
      body_(context_->options.replay_bytes, caller),
      answer_(context_->options.answer_bytes, caller, &context_->dialect()),
      rollout_(context_) {}

void CallerCall::OnHeaders(StreamHeaders /*headers*/) {}

void CallerCall::OnData(std::string_view bytes) {
  queue_.Run([call = shared_from_this(), bytes = std::string(bytes)]() mutable {
    call->OnBodyData(std::move(bytes));
  });
}

void CallerCall::OnEnd() {
  queue_.Run([call = shared_from_this()] { call->OnBodyEnd(); });
}

void CallerCall::OnReset(ResultCode /*code*/) {
  queue_.Run([call = shared_from_this()] { call->OnCallerDisconnected(); });
}

void CallerCall::OnWritable() {
  queue_.Run(
      [call = shared_from_this()] { call->answer_.ReturnCredit(call->attempt_.get()); });
}

void CallerCall::Start() {
  ResultCode code = FindRoute();
  if (code == ResultCode::kOk) code = CheckVia();
  if (code == ResultCode::kOk) code = CheckKey();
  if (code != ResultCode::kOk) {
    return Refuse({code, true, RetryAfter(code)});
  }
  if (const auto wait = CheckQuota()) {
    return Refuse({ResultCode::kQuotaExceeded, true, *wait});
  }
  const auto timeout = std::chrono::milliseconds(route_->timeout_ms());
  requires_free_slot_ = route_->objective_ms() > 0;
  // A backend server passes on what is left of the run above a nested call: a short time
  // does not mean that earlier attempts failed.
  if (metadata_.remaining && !nested_) {
    elapsed_before_ = context_->caller_timeouts.ElapsedBefore(
        route_->name(), *metadata_.remaining, context_->Now());
  }
  StartDeadline(std::min(
      metadata_.remaining.value_or(kMaxTimeout),
      route_->timeout_ms() == 0 ? context_->options.default_timeout : Duration(timeout)));
  if (guard_) return ClaimWhenBodyIsComplete();
  StartWhenJudged();
}

void CallerCall::StartWhenJudged() {
  const CrashVerdict verdict = JudgeCrash();
  awaits_start_ = verdict == CrashVerdict::kUndecided || AwaitsBody();
  if (verdict == CrashVerdict::kCrashes) return RefuseCrashing();
  if (awaits_start_) return;
  if (context_->stopping() && context_->drain.draining()) {
    return Refuse({ResultCode::kNodeStopping, true, kRetryAfter});
  }
  StartNextAttempt();
}

bool CallerCall::AwaitsBody() const {
  return context_->stopping() && !body_.ended() && body_.replayable();
}

Duration CallerCall::UsualTime() const {
  return std::chrono::milliseconds(route_->objective_ms()) / kUsualPartDivisor;
}

RequestIdentity CallerCall::Identity() const {
  RequestIdentity identity(method_, route_->name(), path_, fields_, team_);
  for (const std::string& piece : body_.kept()) identity.AppendBody(piece);
  return identity;
}

CrashVerdict CallerCall::JudgeCrash() {
  suspected_.reset();
  const auto matcher = context_->matcher();
  if (!matcher || !matcher->snapshot().HasSuspects()) return CrashVerdict::kHarmless;
  const RequestIdentity identity = Identity();
  const CrashVerdict verdict =
      matcher->snapshot().crashing->Judge(identity, body_.ended());
  if (verdict == CrashVerdict::kSuspected) suspected_ = identity.Fingerprint();
  return verdict;
}

const RolloutRouter::Targets& CallerCall::Targets(const RouteMatcher& matcher) {
  const RolloutRouter::Targets& targets = rollout_.Targets(matcher, service_);
  if (!suspected_ || !matcher.snapshot().HasSuspects()) return targets;
  const CrashingRequests::Entry* suspect = matcher.snapshot().crashing->Find(*suspected_);
  if (suspect == nullptr) return targets;
  const BackendTarget* trial_server = TrialServer(*suspect, matcher.Targets(service_));
  trial_targets_.clear();
  std::copy_if(targets.begin(), targets.end(), std::back_inserter(trial_targets_),
               [&](const BackendTarget* target) {
                 return target == trial_server || !suspect->Crashed(HashOfSoftware(
                                                      target->service, target->version));
               });
  return trial_targets_;
}

void CallerCall::RefuseCrashing() {
  ++context_->blocked;
  const bool may_have_run =
      last_refusal_.code != ResultCode::kOk && !last_refusal_.not_run;
  Refuse({ResultCode::kRequestCrashesServers, !may_have_run, kCrashRetention});
}

ResultCode CallerCall::FindRoute() {
  // Read before the snapshot, which is then at least as recent as what proved the
  // credentials, even when this thread is suspended in between.
  const bool proved = context_->deps.routing->credentials_proved();
  const auto matcher = context_->matcher();
  if (!matcher) return ResultCode::kNodeStarting;
  const Route* route = matcher->Match(host_, path_, method_);
  if (matcher->teams().has_teams()) {
    const ResultCode code = CheckCredential(*matcher, route, proved);
    if (code != ResultCode::kOk) return code;
  }
  if (route == nullptr) {
    version_ = matcher->snapshot().version.index();
    return ResultCode::kNoRoute;
  }
  SetRoute(*matcher, *route);
  nested_ = IsNestedCall(*route, matcher->teams().has_teams());
  service_ = matcher->PickService(*route_, context_->RandomUnit());
  if (service_.empty()) return ResultCode::kNoBackendServer;
  const Policy& policy = matcher->snapshot().configuration->policy();
  context_->budgets.Earn(service_, policy.retry_budget_percent());
  return ResultCode::kOk;
}

ResultCode CallerCall::CheckCredential(const RouteMatcher& matcher, const Route* route,
                                       bool proved) {
  using State = CallerCredential::State;
  const CallDialect& dialect = context_->dialect();
  const bool is_public = route != nullptr && route->is_public();
  CallerCredential credential;
  if (!is_public) credential = dialect.ReadCredential(fields_);
  dialect.RemoveTeamFields(&fields_);
  if (is_public) return ResultCode::kOk;
  version_ = matcher.snapshot().version.index();
  if (credential.state != State::kPresented) return ResultCode::kCredentialUnknown;
  // A configuration that is not proved may lack a credential that was added meanwhile.
  if (!proved) return ResultCode::kCredentialUnproved;
  const Team* team = matcher.teams().Find(credential.text);
  if (team == nullptr) return ResultCode::kCredentialUnknown;
  team_ = team->name();
  if (team->has_priority()) team_priority_ = team->priority();
  return ResultCode::kOk;
}

ResultCode CallerCall::CheckVia() {
  const std::string entry = MakeViaEntry(service_, method_, path_, key_);
  const ResultCode code =
      CheckForwardingLoop(via_, hops_, entry, !key_.empty(), context_->options.hop_limit);
  via_ = AppendViaEntry(via_, entry);
  ++hops_;
  return code;
}

ResultCode CallerCall::CheckKey() {
  if (route_->idempotent() || route_->keyless()) {
    key_.clear();
    return ResultCode::kOk;
  }
  if (key_.empty() || context_->deps.keys == nullptr) return ResultCode::kKeyRequired;
  if (key_.size() > kMaxKeyBytes) return ResultCode::kRequestMalformed;
  const std::size_t limit = context_->options.keyed_body_bytes;
  const auto length = ParseNumber(HeaderValue(fields_, "content-length"), UINT64_MAX);
  if (length.value_or(0) > limit) return ResultCode::kBodyTooLarge;
  body_.set_keep_limit(limit);
  guard_ = std::make_shared<KeyGuard>(context_, &queue_, key_);
  return ResultCode::kOk;
}

std::optional<Duration> CallerCall::CheckQuota() {
  if (team_.empty() || context_->deps.quotas == nullptr) return std::nullopt;
  return context_->deps.quotas->Admit(team_);
}

void CallerCall::StartDeadline(Duration timeout) {
  started_ = context_->Now();
  deadline_ = started_ + timeout;
  timer_ = context_->deps.executor->After(timeout, [weak = weak_from_this()] {
    auto call = weak.lock();
    if (call) call->queue_.Run([call] { call->OnDeadline(); });
  });
}

void CallerCall::ClaimWhenBodyIsComplete() {
  if (phase_ != Phase::kBody) return;
  if (!body_.replayable()) return Refuse({ResultCode::kBodyTooLarge, true, {}});
  if (!body_.ended()) return;
  if (JudgeCrash() == CrashVerdict::kCrashes) return RefuseCrashing();
  if (context_->stopping() && context_->drain.draining()) {
    return Refuse({ResultCode::kNodeStopping, true, kRetryAfter});
  }
  guard_->Start(weak_from_this(), Fingerprint(), deadline_);
  EmitKeyed("call.accepted", ResultCode::kOk);
  StartNextAttempt();
}

std::string CallerCall::Fingerprint() const {
  std::string text;
  // Two separators before the body match the fingerprints of earlier versions.
  text.append(method_).append(1, '\0').append(path_).append(2, '\0');
  for (const std::string& piece : body_.kept()) text.append(piece);
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash(&canonical, hash);
  return {std::begin(canonical.digest), std::end(canonical.digest)};
}

void CallerCall::OnBodyData(std::string bytes) {
  if (phase_ == Phase::kEnded || answer_.committed()) {
    if (caller_) caller_->Consume(bytes.size());
    return;
  }
  body_.Append(std::move(bytes), BodySink());
  if (guard_) ClaimWhenBodyIsComplete();
  if (awaits_start_) StartWhenJudged();
}

void CallerCall::OnBodyEnd() {
  caller_.reset();
  if (phase_ == Phase::kEnded) return;
  // A server that has the request may be at work already: only its answer, the deadline
  // or the end of a stop ends it.
  body_.End(BodySink());
  if (guard_) ClaimWhenBodyIsComplete();
  if (awaits_start_) StartWhenJudged();
}

void CallerCall::OnCallerDisconnected() {
  caller_.reset();
  if (phase_ == Phase::kEnded) return;
  caller_disconnected_ = true;
  answer_.OnCallerDisconnected();
  body_.Close();
  // A keyed request whose body is complete may have run: its outcome is still recorded.
  if (guard_ && body_.ended()) {
    answer_.ReturnCredit(attempt_.get());
    return;
  }
  Abandon();
}

void CallerCall::OnDeadline() {
  if (phase_ == Phase::kEnded) return;
  if (deadline_passed_) return Abandon();
  deadline_passed_ = true;
  const bool cannot_have_run = CannotHaveRun();
  if (guard_ && !caller_disconnected_) {
    EmitKeyed(answer_.committed() ? "call.cut" : "call.delivered",
              ResultCode::kDeadlineExceeded);
  }
  if (answer_.committed()) {
    answer_.Abort();
  } else {
    answer_.SendRefusal({ResultCode::kDeadlineExceeded, cannot_have_run, kRetryAfter},
                        context_->drain.draining());
    ++context_->refused;
    EmitRefused({ResultCode::kDeadlineExceeded, cannot_have_run});
  }
  if (!guard_ || cannot_have_run) return Abandon();
  timer_ = context_->deps.executor->After(kOutcomeGrace, [weak = weak_from_this()] {
    auto call = weak.lock();
    if (call) call->queue_.Run([call] { call->OnDeadline(); });
  });
}

void CallerCall::OnStopLimit() {
  queue_.Run([call = shared_from_this()] {
    if (call->phase_ == Phase::kEnded) return;
    if (call->answer_.committed()) {
      call->answer_.Abort();
    } else {
      const bool not_run = call->CannotHaveRun();
      const Refusal refusal{
          not_run ? ResultCode::kNodeStopping : ResultCode::kOutcomeUnknown, not_run,
          kRetryAfter};
      call->answer_.SendRefusal(refusal, true);
      ++call->context_->refused;
      call->EmitRefused(refusal);
    }
    call->Abandon();
  });
}

bool CallerCall::CannotHaveRun() const {
  if (phase_ == Phase::kBody) return true;
  const bool may_run = confirmed_ || guard_ || servers_reached_ > 0;
  if (phase_ != Phase::kAttempt || may_run) return false;
  return last_refusal_.code == ResultCode::kOk || last_refusal_.not_run;
}

void CallerCall::Abandon() {
  const bool sent = attempt_ && confirmed_;
  if (attempt_) attempt_->Reset();
  // A caller with the same deadline may give up before the timer of this node fires.
  const Duration timeout = deadline_ - started_;
  const bool late =
      deadline_passed_ || deadline_ - context_->Now() < timeout / kLatePartDivisor;
  EndAttempt(deadline_passed_ ? AttemptEnd::kFailed : AttemptEnd::kAbandoned,
             !sent  ? VersionOutcome::kNotRun
             : late ? VersionOutcome::kFailed
                    : VersionOutcome::kNoResult);
  EndCall();
}

void CallerCall::Refuse(const Refusal& refusal) {
  if (answer_.SendFallback()) {
    ++context_->answered;
    return EndCall();
  }
  if (!answer_.committed()) CountRefusal(refusal.code, context_.get());
  Refusal adjusted = refusal;
  if (IsCapacityRefusal(refusal.code)) {
    const SteadyTime now = context_->Now();
    context_->refusal_rates.Record(service_, true, now);
    adjusted.retry_after = context_->refusal_rates.RetryAfter(
        service_, refusal.retry_after, now, context_->RandomUnit());
  }
  answer_.SendRefusal(adjusted, context_->drain.draining());
  if (guard_) EmitOutcome(refusal.code);
  EmitRefused(adjusted);
  EndCall();
}

void CallerCall::EndCall() {
  phase_ = Phase::kEnded;
  timer_.reset();
  receipt_timer_.reset();
  body_.Close();
  if (guard_) guard_->Stop();
  guard_.reset();
  context_->live_calls.Remove(this);
  context_->drain.Leave();
}

void CallerCall::EmitRefused(const Refusal& refusal) const {
  if (metadata_.request_id.empty()) return;
  Event event;
  event.name = "call.refused";
  event.fields.emplace_back("request", metadata_.request_id);
  event.fields.emplace_back("code", InfoOf(refusal.code).name);
  event.fields.emplace_back("not_run", refusal.not_run ? "true" : "false");
  event.fields.emplace_back(
      "retry_after_ms",
      std::to_string(
          std::chrono::duration_cast<std::chrono::milliseconds>(refusal.retry_after)
              .count()));
  event.fields.emplace_back("route", route_ == nullptr ? "" : route_->name());
  event.fields.emplace_back("service", service_);
  event.fields.emplace_back("attempts", std::to_string(attempts_));
  event.fields.emplace_back("tried", tried_.empty() ? "" : tried_.back());
  event.fields.emplace_back("version", std::to_string(version_));
  if (refusal.code == ResultCode::kRequestCrashesServers ||
      refusal.code == ResultCode::kRequestOnTrial) {
    event.fields.emplace_back("request_hash", ToString(Identity().Fingerprint()));
  }
  context_->deps.events->Emit(event);
}

void CallerCall::EmitOutcome(ResultCode code) const {
  EmitKeyed(deadline_passed_ || caller_disconnected_ ? "call.resolved" : "call.delivered",
            code);
}

void CallerCall::EmitKeyed(const char* name, ResultCode code) const {
  Event event;
  event.name = name;
  event.fields.emplace_back("key", key_);
  event.fields.emplace_back("code", std::to_string(static_cast<int>(code)));
  if (target_) event.fields.emplace_back("peer", target_->instance);
  context_->deps.events->Emit(event);
}

}  // namespace quetzal
