#include "calls/backend_gate.h"

namespace quetzal {

void BackendGate::SetServer(const AdmissionLimits& limits) {
  Decisions decisions;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    decisions = TakeLocked(control_.SetLimits(limits, clock_->Now()));
  }
  Tell(decisions);
}

std::uint64_t BackendGate::Offer(AdmissionRequest request, Decided decided) {
  Decisions decisions;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    request.id = ++last_id_;
    waiting_.emplace(request.id, std::move(decided));
    decisions = TakeLocked(control_.Offer(request, clock_->Now()));
  }
  Tell(decisions);
  return request.id;
}

void BackendGate::Finish(const std::string& work, Duration service_time) {
  Decisions decisions;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    decisions = TakeLocked(control_.Finish(work, service_time, clock_->Now()));
  }
  Tell(decisions);
}

bool BackendGate::Cancel(std::uint64_t id) {
  Decided dropped;  // Destroyed after the lock is released.
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!control_.Cancel(id)) return false;
  auto it = waiting_.find(id);
  if (it == waiting_.end()) return false;
  dropped = std::move(it->second);
  waiting_.erase(it);
  return true;
}

void BackendGate::Stop() {
  const std::lock_guard<std::mutex> lock(mutex_);
  control_.Stop();
}

LoadReport BackendGate::load() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return control_.load(clock_->Now());
}

Duration BackendGate::RetryAfter() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return control_.RetryAfter(clock_->Now());
}

BackendGate::Decisions BackendGate::TakeLocked(
    const AdmissionControl::Verdicts& verdicts) {
  Decisions decisions;
  for (const AdmissionVerdict& verdict : verdicts) {
    auto it = waiting_.find(verdict.id);
    if (it == waiting_.end()) continue;
    decisions.emplace_back(std::move(it->second), verdict);
    waiting_.erase(it);
  }
  return decisions;
}

void BackendGate::Tell(const Decisions& decisions) {
  for (const auto& [decided, verdict] : decisions) decided(verdict);
}

}  // namespace quetzal
