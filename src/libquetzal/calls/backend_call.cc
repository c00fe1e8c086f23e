#include "calls/backend_call.h"

#include <algorithm>
#include <utility>

#include "calls/ignoring_handler.h"

namespace quetzal {
namespace {

/// No credit is returned to one side while the stream to the other buffers this much.
constexpr std::size_t kHighMarkBytes = std::size_t{64} * 1024;

/// How long after its deadline the answer to a keyed request is still awaited, so that
/// its outcome becomes known.
constexpr Duration kOutcomeGrace = std::chrono::seconds(30);

/// How long a slot is reserved for a request that the coordinating node has not yet
/// confirmed: enough for some retransmissions on a lossy link.
constexpr Duration kConfirmTimeout = std::chrono::milliseconds(600);

/// A node that is connected applies a change of a rollout within this time.
constexpr Duration kOutdatedRetryAfter = std::chrono::milliseconds(500);

/// Most nodes know of a crash, or of an acquittal, within this time.
constexpr Duration kTrialRetryAfter = std::chrono::milliseconds(500);

}  // namespace

class BackendCall::BackendHandler final : public StreamHandler {
 public:
  explicit BackendHandler(std::shared_ptr<BackendCall> call) : call_(std::move(call)) {}

  void OnHeaders(StreamHeaders headers) override {
    call_->queue_.Run([call = call_, headers = std::move(headers)]() mutable {
      call->OnAnswerHeaders(headers);
    });
  }
  void OnData(std::string_view bytes) override {
    call_->queue_.Run([call = call_, bytes = std::string(bytes)]() mutable {
      call->OnAnswerData(std::move(bytes));
    });
  }
  void OnEnd() override {
    call_->queue_.Run([call = call_] { call->OnAnswerEnd(); });
  }
  void OnReset(ResultCode code) override {
    call_->queue_.Run([call = call_, code] { call->OnAnswerCut(code); });
  }
  void OnWritable() override {
    call_->queue_.Run([call = call_] { call->ReturnPeerCredit(); });
  }

 private:
  const std::shared_ptr<BackendCall> call_;
};

std::shared_ptr<StreamHandler> BackendCall::Accept(
    const std::shared_ptr<CallContext>& context, const StreamHeaders& headers,
    std::shared_ptr<Stream> peer) {
  auto head = DecodeCall(headers);
  if (!head || !context->drain.Enter()) {
    const auto code = head ? ResultCode::kNodeStopping : ResultCode::kMessageMalformed;
    peer->SendHeaders(EncodeRefusal({code, true, {}}, {}), true);
    return std::make_shared<IgnoringHandler>(std::move(peer));
  }
  auto call = std::make_shared<BackendCall>(context, std::move(*head),
                                            EndToEndFields(headers), std::move(peer));
  call->queue_.Run([call] { call->Start(); });
  return call;
}

BackendCall::BackendCall(std::shared_ptr<CallContext> context, CallHead head,
                         StreamHeaders fields, std::shared_ptr<Stream> peer)
    : context_(std::move(context)),
      head_(std::move(head)),
      fields_(std::move(fields)),
      request_id_(context_->dialect().ReadCaller(fields_).request_id),
      deadline_(context_->Now() + head_.remaining),
      peer_(std::move(peer)) {}

void BackendCall::OnHeaders(StreamHeaders /*headers*/) {}

void BackendCall::OnData(std::string_view bytes) {
  queue_.Run([call = shared_from_this(), bytes = std::string(bytes)]() mutable {
    call->OnBodyData(std::move(bytes));
  });
}

void BackendCall::OnEnd() {
  queue_.Run([call = shared_from_this()] { call->OnBodyEnd(); });
}

void BackendCall::OnReset(ResultCode /*code*/) {
  queue_.Run([call = shared_from_this()] { call->OnPeerDisconnected(); });
}

void BackendCall::OnWritable() {
  queue_.Run([call = shared_from_this()] { call->ReturnBackendCredit(); });
}

void BackendCall::Start() {
  const Refusal refusal = Check();
  if (refusal.code != ResultCode::kOk) {
    return Refuse(refusal.code, refusal.not_run, refusal.retry_after);
  }
  if (head_.rate_limit) context_->SetRateLimit(head_.rate_limit, /*in_answer=*/false);
  phase_ = Phase::kQueued;
  AdmissionRequest request;
  request.idempotent = head_.idempotent;
  request.priority = head_.priority;
  request.deadline = deadline_;
  if (head_.objective) request.objective = context_->Now() + *head_.objective;
  request.max_wait = head_.max_wait;
  request.work = head_.route;
  request.nested = head_.nested;
  request.team = head_.team;
  if (!head_.team.empty()) {
    const auto matcher = context_->matcher();
    if (matcher) request.team_weight = matcher->TeamWeight(head_.team);
  }
  admission_id_ = context_->admission->Offer(
      request, [call = shared_from_this()](const AdmissionDecision& decision) {
        call->queue_.Run([call, decision] { call->OnDecision(decision); });
      });
  // An immediate decision is ahead of this task in the queue.
  queue_.Run([call = shared_from_this()] { call->SendQueuedStatus(); });
}

void BackendCall::SendQueuedStatus() {
  if (phase_ == Phase::kQueued && head_.expects_continue) {
    SendInterim(kStatusProcessing);
  }
}

Refusal BackendCall::Check() {
  if (!context_->matcher()) return {ResultCode::kNodeStarting, true, {}};
  if (context_->backend_server().service != head_.service) {
    return {ResultCode::kNoBackendServer, true, {}};
  }
  if (HasOutdatedSender()) {
    return {ResultCode::kConfigurationOutdated, true, kOutdatedRetryAfter};
  }
  if (!keyed()) return {};
  // The key's record names one incarnation: another one would not know the outcome of the
  // attempt later.
  if (head_.incarnation != context_->options.incarnation) {
    return {ResultCode::kStaleIncarnation, true, {}};
  }
  if (context_->attempts.Begin(head_.attempt_id)) {
    attempt_open_ = true;
    return {};
  }
  const AttemptView seen = context_->attempts.Inquire(head_.attempt_id, false);
  if (seen.state == AttemptState::kNotRun) {
    return {ResultCode::kStaleIncarnation, true, {}};
  }
  return {ResultCode::kOutcomeUnknown, false, {}};
}

/// True when the local server has the version of a rollout that the coordinating node may
/// not know, or whose end it may not know.
bool BackendCall::HasOutdatedSender() const {
  const auto matcher = context_->matcher();
  if (!matcher) return false;
  const RoutingSnapshot& snapshot = matcher->snapshot();
  const Rollout* rollout = FindRollout(*snapshot.configuration, head_.service);
  return rollout != nullptr &&
         RefusesCall(*rollout, context_->backend_server().version,
                     head_.configuration_index, snapshot.version.index());
}

void BackendCall::OnDecision(const AdmissionDecision& decision) {
  const bool admitted = decision.code == ResultCode::kOk;
  holds_slot_ = admitted;
  if (phase_ != Phase::kQueued) return ReleaseSlot(false);
  if (admitted) return head_.expects_continue ? RequestConfirmation() : SendRequest();
  ++context_->shed;
  Refuse(decision.code, true, decision.retry_after);
}

/// Asks the coordinating node to confirm. Until it does, both sides know that the request
/// has not run, even when either of them or the link between them fails.
void BackendCall::RequestConfirmation() {
  phase_ = Phase::kGranted;
  SendInterim(kStatusContinue);
  timer_ = context_->deps.executor->After(kConfirmTimeout, [weak = weak_from_this()] {
    auto call = weak.lock();
    if (call) call->queue_.Run([call] { call->OnConfirmationTimeout(); });
  });
}

void BackendCall::OnConfirmationTimeout() {
  if (phase_ == Phase::kGranted) Refuse(ResultCode::kTimeout, true, {});
}

void BackendCall::SendInterim(const char* status) {
  StreamHeaders headers = {{":status", status}};
  AddLoad(context_->admission->load(), &headers);
  peer_->SendHeaders(std::move(headers), false);
}

void BackendCall::SendRequest() {
  // The coordinating node may not have heard of the last crash when it sent the request.
  const CrashVerdict verdict = JudgeCrash();
  switch (verdict) {
    case CrashVerdict::kUndecided:
      phase_ = Phase::kGranted;
      return;
    case CrashVerdict::kCrashes:
      return Refuse(ResultCode::kRequestCrashesServers, true, kCrashRetention);
    case CrashVerdict::kSuspected:
    case CrashVerdict::kHarmless:
      break;
  }
  timer_.reset();
  // The rollout may have been rolled back while the request was queued.
  if (HasOutdatedSender()) {
    return Refuse(ResultCode::kConfigurationOutdated, true, kOutdatedRetryAfter);
  }
  sent_at_ = context_->Now();
  if (head_.expects_continue && sent_at_ >= deadline_) {
    return Refuse(ResultCode::kDeadlineExceeded, true, {});
  }
  if (!context_->EndsInTime(context_->admission->load().service_time)) {
    return Refuse(ResultCode::kNodeStopping, true, {});
  }
  const LocalBackendServer server = context_->backend_server();
  if (verdict == CrashVerdict::kSuspected && !BeginTrial(server)) {
    return Refuse(ResultCode::kRequestOnTrial, true, kTrialRetryAfter);
  }
  ++context_->admitted;
  phase_ = Phase::kSent;
  if (keyed()) {
    context_->deps.events->Emit({"call.admitted",
                                 {{"key", std::string(HeaderValue(fields_, kKeyHeader))},
                                  {"attempt", head_.attempt_id}}});
    const Duration left = std::max(Duration::zero(), deadline_ - sent_at_);
    timer_ =
        context_->deps.executor->After(left + kOutcomeGrace, [weak = weak_from_this()] {
          auto call = weak.lock();
          if (call) call->queue_.Run([call] { call->OnOutcomeTimeout(); });
        });
  }
  const bool complete = body_ended_ && body_.empty();
  server_id_ = server.id;
  software_ = HashOfSoftware(server.service, server.version);
  backend_ = context_->deps.backends->Open(
      server.address, head_.path, BackendHeaders(), complete,
      std::make_shared<BackendHandler>(shared_from_this()));
  for (std::size_t n = 0; n < body_.size(); ++n) {
    backend_->SendData(std::move(body_[n]), body_ended_ && n + 1 == body_.size());
  }
  body_.clear();
  ReturnPeerCredit();
}

StreamHeaders BackendCall::BackendHeaders() const {
  StreamHeaders headers;
  headers.reserve(fields_.size() + 8);
  headers.emplace_back(":method", head_.method);
  // When a reused connection fails, it is unknown whether the server read the request.
  if (keyed()) headers.emplace_back(kConnectionField, "fresh");
  const CallDialect& dialect = context_->dialect();
  if (!dialect.echo_field().empty() && !request_id_.empty()) {
    headers.emplace_back(kEchoField, dialect.echo_field() + "=" + request_id_);
  }
  headers.emplace_back("host", head_.host);
  headers.insert(headers.end(), fields_.begin(), fields_.end());
  // A coordinating node that has not applied the teams yet forwards these fields.
  const auto matcher = context_->matcher();
  if (matcher && matcher->teams().has_teams()) dialect.RemoveTeamFields(&headers);
  ServerMetadata metadata;
  metadata.remaining = deadline_ - sent_at_;
  metadata.server_id = server_id_;
  metadata.caller_service = head_.caller_service;
  metadata.team = head_.team;
  metadata.hops = head_.hops;
  metadata.via = head_.via;
  dialect.WriteServer(metadata, &headers);
  return headers;
}

void BackendCall::OnBodyData(std::string bytes) {
  if (phase_ == Phase::kEnded) return;
  peer_credit_ += bytes.size();
  identified_body_.append(bytes, 0, kFingerprintBodyBytes - identified_body_.size());
  if (!backend_) {
    body_.push_back(std::move(bytes));
    if (phase_ == Phase::kGranted) SendRequest();
    return;
  }
  backend_->SendData(std::move(bytes), false);
  ReturnPeerCredit();
}

void BackendCall::OnBodyEnd() {
  if (phase_ == Phase::kEnded) return;
  body_ended_ = true;
  if (phase_ == Phase::kGranted) return SendRequest();
  if (backend_) backend_->SendData({}, true);
}

void BackendCall::ReturnPeerCredit() {
  if (peer_credit_ == 0 || phase_ == Phase::kEnded || peer_disconnected_ || !backend_)
    return;
  if (backend_->buffered_bytes() >= kHighMarkBytes) return;
  peer_->Consume(std::exchange(peer_credit_, 0));
}

void BackendCall::OnPeerDisconnected() {
  if (phase_ == Phase::kEnded) return;
  peer_disconnected_ = true;
  if (phase_ == Phase::kQueued) {
    EndAttempt(AttemptState::kNotRun);
    context_->admission->Cancel(admission_id_);
    return EndCall();
  }
  if (phase_ == Phase::kGranted) {
    EndAttempt(AttemptState::kNotRun);
    ReleaseSlot(false);
    return EndCall();
  }
  // A keyed request that was sent completely runs anyway: its outcome is recorded.
  if (keyed() && body_ended_) return ReturnBackendCredit();
  if (backend_) backend_->Reset();
  EndAttempt(AttemptState::kUnknown);
  ReleaseSlot(false);
  EndCall();
}

void BackendCall::OnAnswerHeaders(const StreamHeaders& headers) {
  if (phase_ != Phase::kSent) return;
  if (HandleNonAnswer(context_->dialect().ReadAnswer(headers))) return;
  phase_ = Phase::kAnswering;
  const std::string status(HeaderValue(headers, ":status"));
  if (!AnswerHasNoBody(head_.method, status)) {
    answer_length_ = ParseNumber(HeaderValue(headers, "content-length"), UINT64_MAX);
  }
  answer_is_success_ = !IsServerError(status);
  StreamHeaders answer = EndToEndFields(headers);
  if (keyed()) {
    kept_.set_status(static_cast<std::uint32_t>(ParseNumber(status, 999).value_or(0)));
    for (const auto& [name, value] : answer) {
      auto* field = kept_.add_fields();
      field->set_name(name);
      field->set_value(value);
    }
  }
  answer.insert(answer.begin(), {":status", status});
  AddLoad(context_->admission->load(), &answer);
  if (!peer_disconnected_) peer_->SendHeaders(std::move(answer), false);
}

bool BackendCall::HandleNonAnswer(const AnswerMetadata& metadata) {
  const bool foreign = metadata.unverified || (!metadata.request_id.empty() &&
                                               metadata.request_id != request_id_);
  if (!foreign && !metadata.stale) ApplyServerNotices(metadata);
  if (!metadata.not_run && !foreign) return false;
  reached_server_ = true;
  EndAttempt(metadata.not_run ? AttemptState::kNotRun : AttemptState::kUnknown);
  ReleaseSlot(false);
  // Closes the connection: its remaining bytes answer no known request.
  if (foreign) backend_->Reset();
  if (foreign) {
    Refuse(ResultCode::kAnswerCut, false, {});
  } else if (metadata.stale) {
    Refuse(ResultCode::kStaleIncarnation, true, {});
  } else {
    Refuse(ResultCode::kServerFull, true, context_->admission->RetryAfter());
  }
  return true;
}

void BackendCall::ApplyServerNotices(const AnswerMetadata& metadata) {
  const LocalBackendServer server = context_->backend_server();
  if (server.id != server_id_) return;
  const auto& on_leaving = context_->deps.on_backend_leaving;
  // All answers of a leaving server say so; one notice is enough.
  if (metadata.leaving && on_leaving && server.state == SERVER_UP) on_leaving(server_id_);
  // A refusal may come without the limit that answers state.
  const bool stated = metadata.rate_limit.has_value();
  if (stated || !metadata.not_run)
    context_->SetRateLimit(metadata.rate_limit, /*in_answer=*/true);
}

void BackendCall::OnAnswerData(std::string bytes) {
  if (phase_ != Phase::kAnswering) return;
  answer_received_ += bytes.size();
  backend_credit_ += bytes.size();
  if (keyed()) KeepAnswer(bytes);
  if (!peer_disconnected_) peer_->SendData(std::move(bytes), false);
  ReturnBackendCredit();
}

void BackendCall::KeepAnswer(const std::string& bytes) {
  if (kept_.dropped()) return;
  if (kept_.body().size() + bytes.size() <= context_->options.answer_bytes) {
    kept_.mutable_body()->append(bytes);
    return;
  }
  kept_.set_dropped(true);
  kept_.clear_body();
}

void BackendCall::ReturnBackendCredit() {
  if (backend_credit_ == 0 || phase_ != Phase::kAnswering) return;
  if (!peer_disconnected_ && peer_->buffered_bytes() >= kHighMarkBytes) return;
  backend_->Consume(std::exchange(backend_credit_, 0));
}

void BackendCall::OnAnswerEnd() {
  if (phase_ != Phase::kAnswering) return;
  if (answer_length_ && *answer_length_ != answer_received_) {
    return OnAnswerCut(ResultCode::kAnswerCut);
  }
  context_->finished_requests.Add(Identity());
  EndTrial(true);
  EndAttempt(AttemptState::kDone);
  ReleaseSlot(answer_is_success_);
  if (!peer_disconnected_) peer_->SendData({}, true);
  if (!body_ended_) backend_->Reset();
  EndCall();
}

void BackendCall::OnAnswerCut(ResultCode code) {
  if (phase_ != Phase::kSent && phase_ != Phase::kAnswering) return;
  const bool answering = phase_ == Phase::kAnswering;
  const bool not_sent = code == ResultCode::kConnectFailed;
  if (!not_sent && code != ResultCode::kTimeout) {
    ReportCut();
    context_->CheckBackendServer();
  }
  EndAttempt(not_sent ? AttemptState::kNotRun : AttemptState::kUnknown);
  ReleaseSlot(false);
  reached_server_ = !not_sent;
  if (not_sent) {
    if (context_->deps.on_backend_unreachable) context_->deps.on_backend_unreachable();
    return Refuse(ResultCode::kConnectFailed, true, {});
  }
  if (!answering) {
    return Refuse(head_.idempotent ? ResultCode::kAnswerCut : ResultCode::kOutcomeUnknown,
                  false, {});
  }
  // The headers were sent already, so only a reset can report the failure.
  if (!peer_disconnected_) peer_->Reset();
  EndCall();
}

void BackendCall::OnOutcomeTimeout() {
  if (phase_ == Phase::kEnded) return;
  if (backend_) backend_->Reset();
  OnAnswerCut(ResultCode::kTimeout);
}

void BackendCall::Refuse(ResultCode code, bool not_run, Duration retry_after) {
  EndAttempt(not_run ? AttemptState::kNotRun : AttemptState::kUnknown);
  ReleaseSlot(false);
  if (!peer_disconnected_) {
    peer_->SendHeaders(EncodeRefusal({code, not_run, retry_after, reached_server_},
                                     context_->admission->load()),
                       true);
  }
  EndCall();
}

void BackendCall::EndAttempt(AttemptState state) {
  if (!attempt_open_) return;
  attempt_open_ = false;
  KeyAnswer answer;
  if (state == AttemptState::kDone) answer = std::move(kept_);
  context_->attempts.End(head_.attempt_id, state, std::move(answer));
}

void BackendCall::ReleaseSlot(bool answered) {
  if (!holds_slot_) return;
  holds_slot_ = false;
  context_->admission->Finish(admission_id_, head_.route,
                              answered ? context_->Now() - sent_at_ : Duration::zero());
}

void BackendCall::EndCall() {
  phase_ = Phase::kEnded;
  EndTrial(false);
  timer_.reset();
  body_.clear();
  peer_.reset();
  backend_.reset();
  context_->drain.Leave();
}

}  // namespace quetzal
