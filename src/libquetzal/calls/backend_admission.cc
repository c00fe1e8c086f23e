#include "calls/backend_admission.h"

namespace quetzal {

template <class Operation>
void BackendAdmission::Apply(Operation operation) {
  PendingCallbacks callbacks;
  bool schedule = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const SteadyTime now = clock_->Now();
    callbacks = TakeCallbacksLocked(operation(now));
    schedule = !admission_scheduled_ && control_.NextAdmission(now).has_value();
    admission_scheduled_ = admission_scheduled_ || schedule;
  }
  Notify(callbacks);
  if (!schedule) return;
  executor_->Post([weak = weak_from_this()] {
    if (auto admission = weak.lock()) admission->StartTimer();
  });
}

void BackendAdmission::SetServer(const AdmissionLimits& limits) {
  Apply([&](SteadyTime now) { return control_.SetLimits(limits, now); });
}

void BackendAdmission::SetRateLimit(std::optional<double> per_second) {
  Apply([&](SteadyTime now) { return control_.SetRateLimit(per_second, now); });
}

std::uint64_t BackendAdmission::Offer(AdmissionRequest request,
                                      DecisionCallback on_decision) {
  std::uint64_t id = 0;
  Apply([&](SteadyTime now) {
    id = request.id = ++last_id_;
    undecided_.emplace(id, std::move(on_decision));
    return control_.Offer(std::move(request), now);
  });
  return id;
}

void BackendAdmission::Finish(std::uint64_t id, const std::string& work,
                              Duration service_time) {
  Apply([&](SteadyTime now) { return control_.Finish(id, work, service_time, now); });
}

void BackendAdmission::StartTimer() {
  std::optional<Duration> wait;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    wait = control_.NextAdmission(clock_->Now());
    // Without a free slot, the next request that ends admits one and schedules again.
    admission_scheduled_ = wait.has_value();
  }
  if (!wait) return;
  timer_ = executor_->After(*wait, [weak = weak_from_this()] {
    if (auto admission = weak.lock()) admission->AdmitDue();
  });
}

void BackendAdmission::AdmitDue() {
  Apply([this](SteadyTime now) {
    admission_scheduled_ = false;
    return control_.AdmitDue(now);
  });
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
