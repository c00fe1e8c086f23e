#include "calls/backend_admission.h"

namespace quetzal {

void BackendAdmission::SetServer(const AdmissionLimits& limits) {
  PendingCallbacks callbacks;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    callbacks = TakeCallbacksLocked(control_.SetLimits(limits, clock_->Now()));
  }
  Notify(callbacks);
}

std::uint64_t BackendAdmission::Offer(AdmissionRequest request,
                                      DecisionCallback on_decision) {
  PendingCallbacks callbacks;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    request.id = ++last_id_;
    undecided_.emplace(request.id, std::move(on_decision));
    callbacks = TakeCallbacksLocked(control_.Offer(request, clock_->Now()));
  }
  Notify(callbacks);
  return request.id;
}

void BackendAdmission::Finish(const std::string& work, Duration service_time) {
  PendingCallbacks callbacks;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    callbacks = TakeCallbacksLocked(control_.Finish(work, service_time, clock_->Now()));
  }
  Notify(callbacks);
}

bool BackendAdmission::Cancel(std::uint64_t id) {
  DecisionCallback dropped;  // Destroyed after the lock is released.
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!control_.Cancel(id)) return false;
  auto it = undecided_.find(id);
  if (it == undecided_.end()) return false;
  dropped = std::move(it->second);
  undecided_.erase(it);
  return true;
}

void BackendAdmission::Stop() {
  const std::lock_guard<std::mutex> lock(mutex_);
  control_.Stop();
}

LoadReport BackendAdmission::load() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return control_.load(clock_->Now());
}

Duration BackendAdmission::RetryAfter() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return control_.RetryAfter(clock_->Now());
}

BackendAdmission::PendingCallbacks BackendAdmission::TakeCallbacksLocked(
    const AdmissionControl::Decisions& decisions) {
  PendingCallbacks callbacks;
  for (const AdmissionDecision& decision : decisions) {
    auto it = undecided_.find(decision.id);
    if (it == undecided_.end()) continue;
    callbacks.emplace_back(std::move(it->second), decision);
    undecided_.erase(it);
  }
  return callbacks;
}

void BackendAdmission::Notify(const PendingCallbacks& callbacks) {
  for (const auto& [on_decision, decision] : callbacks) on_decision(decision);
}

}  // namespace quetzal
