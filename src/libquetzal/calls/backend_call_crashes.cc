// The part of BackendCall that deals with requests that may crash the backend server.
#include <utility>

#include "calls/backend_call.h"

namespace quetzal {

void BackendCall::ReportCut() {
  const bool identified = body_ended_ || identified_body_.size() >= kFingerprintBodyBytes;
  if (!identified || !context_->deps.on_request_cut) return;
  const RequestIdentity identity = Identity();
  context_->deps.on_request_cut({server_id_, identity.Fingerprint(), sent_at_,
                                 context_->finished_requests.Take(identity),
                                 trial_.has_value(), software_});
}

RequestIdentity BackendCall::Identity() const {
  RequestIdentity identity(head_.method, head_.route, head_.path, fields_, head_.team);
  identity.AppendBody(identified_body_);
  return identity;
}

CrashVerdict BackendCall::JudgeCrash() const {
  const auto matcher = context_->matcher();
  if (!matcher || !matcher->snapshot().HasSuspects()) return CrashVerdict::kHarmless;
  return matcher->snapshot().crashing->Judge(Identity(), body_ended_);
}

bool BackendCall::BeginTrial(const LocalBackendServer& server) {
  const auto matcher = context_->matcher();
  if (!matcher || !matcher->snapshot().HasSuspects()) return true;
  const auto* suspect = matcher->snapshot().crashing->Find(Identity().Fingerprint());
  const std::uint32_t software = HashOfSoftware(server.service, server.version);
  if (suspect == nullptr || !suspect->Crashed(software)) return true;
  const BackendTarget* target = TrialServer(*suspect, matcher->Targets(head_.service));
  if (target == nullptr || target->instance != context_->options.instance) return false;
  trial_ = context_->trials.Begin(*suspect, software);
  return trial_.has_value();
}

void BackendCall::EndTrial(bool finished) {
  if (!trial_) return;
  const auto acquittal = context_->trials.End(*std::exchange(trial_, {}), finished);
  if (acquittal && context_->deps.on_trial_passed) {
    context_->deps.on_trial_passed(*acquittal);
  }
}

}  // namespace quetzal
