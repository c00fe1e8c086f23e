#include "calls/call_path.h"

#include <utility>

#include "calls/attempt_inquiry.h"
#include "calls/backend_call.h"
#include "calls/call_context.h"
#include "calls/caller_call.h"

namespace quetzal {

class CallPath::Impl {
 public:
  Impl(const CallDependencies& dependencies, const CallOptions& options)
      : context(std::make_shared<CallContext>(dependencies, options)) {}

  std::shared_ptr<CallContext> context;
};

CallPath::CallPath(const CallDependencies& dependencies, const CallOptions& options)
    : impl_(std::make_shared<Impl>(dependencies, options)) {
  impl_->context->set_admitting_side(peer_acceptor());
  ServeAttemptQueries(impl_->context);
}

CallPath::~CallPath() {
  impl_->context->local_streams.CloseAll();
  // Refuses what is still queued: queued calls and the context refer to each other.
  impl_->context->admission->SetServer(AdmissionLimits());
}

StreamAcceptor CallPath::caller_acceptor() {
  return [context = impl_->context](const std::string& path, const StreamHeaders& headers,
                                    const std::shared_ptr<Stream>& stream) {
    return CallerCall::Accept(context, path, headers, stream);
  };
}

StreamAcceptor CallPath::peer_acceptor() {
  return [weak = std::weak_ptr<CallContext>(impl_->context)](
             const std::string& path, const StreamHeaders& headers,
             const std::shared_ptr<Stream>& stream) -> std::shared_ptr<StreamHandler> {
    auto context = weak.lock();
    if (!context || path != kCallStreamPath) return nullptr;
    return BackendCall::Accept(context, headers, stream);
  };
}

void CallPath::SetBackendServer(const LocalBackendServer& server) {
  impl_->context->SetBackendServer(server);
}

void CallPath::Drain(std::function<void()> done) {
  CallContext& context = *impl_->context;
  Executor* executor = context.deps.executor;
  context.admission->Stop();
  context.drain.Drain([executor, done = std::move(done)] { executor->Post(done); });
}

void CallPath::PrepareStop(SteadyTime limit) { impl_->context->SetStopLimit(limit); }

void CallPath::EndCalls() {
  for (const auto& call : impl_->context->live_calls.All()) call->OnStopLimit();
}

CallCounts CallPath::counts() const {
  const CallContext& context = *impl_->context;
  CallCounts counts;
  counts.accepted = context.accepted;
  counts.answered = context.answered;
  counts.refused = context.refused;
  counts.retried = context.retried;
  counts.admitted = context.admitted;
  counts.shed = context.shed;
  counts.blocked = context.blocked;
  counts.credential_unknown = context.credential_unknown;
  counts.credential_unproved = context.credential_unproved;
  counts.quota_exceeded = context.quota_exceeded;
  counts.in_flight = context.drain.active_calls();
  counts.queued = context.admission->load().queued;
  counts.rate_limit = context.rate_limit();
  return counts;
}

std::vector<VersionCounts> CallPath::version_counts() const {
  // Drops the counts of rollouts that have ended, also when no requests arrive.
  impl_->context->matcher();
  return impl_->context->version_counters.Read();
}

}  // namespace quetzal
