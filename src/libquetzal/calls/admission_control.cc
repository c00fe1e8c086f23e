#include "calls/admission_control.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace quetzal {
namespace {

constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);
constexpr double kSlowStartFloor = 0.1;
constexpr int kAverageWeight = 8;

/// Larger is shed earlier: low priority first, idempotent before the others, and at equal
/// rank the one with the most time left, since its caller can best come back.
auto ShedRank(const AdmissionRequest& request) {
  return std::make_tuple(request.priority, request.idempotent, request.deadline);
}

bool ShedBefore(const AdmissionRequest& a, const AdmissionRequest& b) {
  return ShedRank(a) > ShedRank(b);
}

}  // namespace

AdmissionControl::Verdicts AdmissionControl::SetLimits(const AdmissionLimits& limits,
                                                       SteadyTime now) {
  if (limits.state == SERVER_UP && limits_.state != SERVER_UP) up_since_ = now;
  limits_ = limits;
  const ResultCode refusal = RefusalByState();
  if (refusal != ResultCode::kOk) return RefuseQueue(refusal, now);
  Verdicts verdicts;
  AdmitWaiting(now, &verdicts);
  return verdicts;
}

AdmissionControl::Verdicts AdmissionControl::Offer(const AdmissionRequest& request,
                                                   SteadyTime now) {
  const ResultCode refusal = RefusalByState();
  if (refusal != ResultCode::kOk) return {Refuse(request.id, refusal, now)};
  if (queue_.empty() && outstanding_ < EffectiveSlots(now)) {
    ++outstanding_;
    return {{request.id, ResultCode::kOk, {}}};
  }
  if (!CanFinish(request, EstimateWait(queue_.size(), now), now)) {
    return {Refuse(request.id, ResultCode::kShed, now)};
  }
  Verdicts verdicts;
  if (queue_.size() >= QueueLimit()) {
    if (queue_.empty() || !ShedBefore(queue_.front(), request)) {
      return {Refuse(request.id, ResultCode::kServerFull, now)};
    }
    verdicts.push_back(Refuse(queue_.front().id, ResultCode::kShed, now));
    queue_.erase(queue_.begin());
  }
  Enqueue(request);
  AdmitWaiting(now, &verdicts);
  return verdicts;
}

AdmissionControl::Verdicts AdmissionControl::Finish(Duration service_time,
                                                    SteadyTime now) {
  if (outstanding_ > 0) --outstanding_;
  if (service_time > Duration::zero()) {
    service_time_ = service_time_ == Duration::zero()
                        ? service_time
                        : service_time_ + (service_time - service_time_) / kAverageWeight;
  }
  Verdicts verdicts;
  AdmitWaiting(now, &verdicts);
  return verdicts;
}

bool AdmissionControl::Cancel(std::uint64_t id) {
  auto it = std::find_if(queue_.begin(), queue_.end(),
                         [id](const AdmissionRequest& r) { return r.id == id; });
  if (it == queue_.end()) return false;
  queue_.erase(it);
  return true;
}

void AdmissionControl::Stop() { stopped_ = true; }

LoadReport AdmissionControl::load(SteadyTime now) const {
  LoadReport report;
  report.outstanding = outstanding_;
  report.queued = static_cast<std::uint32_t>(queue_.size());
  report.slots = RefusalByState() == ResultCode::kOk ? EffectiveSlots(now) : 0;
  report.service_time = service_time_;
  return report;
}

std::uint32_t AdmissionControl::EffectiveSlots(SteadyTime now) const {
  std::uint32_t slots = limits_.slots;
  if (limits_.connections > 0) slots = std::min(slots, limits_.connections);
  const Duration age = now - up_since_;
  if (limits_.slow_start <= Duration::zero() || age >= limits_.slow_start) return slots;
  const double share =
      std::max(kSlowStartFloor, static_cast<double>(age.count()) /
                                    static_cast<double>(limits_.slow_start.count()));
  return std::max<std::uint32_t>(
      1, static_cast<std::uint32_t>(static_cast<double>(slots) * share));
}

std::size_t AdmissionControl::QueueLimit() const {
  return limits_.queue > 0 ? limits_.queue : limits_.slots;
}

ResultCode AdmissionControl::RefusalByState() const {
  if (stopped_) return ResultCode::kNodeStopping;
  if (limits_.state == SERVER_LEAVING) return ResultCode::kServerLeaving;
  if (limits_.state != SERVER_UP || limits_.slots == 0) {
    return ResultCode::kNoBackendServer;
  }
  return ResultCode::kOk;
}

Duration AdmissionControl::EstimateWait(std::size_t ahead, SteadyTime now) const {
  const std::uint32_t slots = std::max<std::uint32_t>(1, EffectiveSlots(now));
  return service_time_ * static_cast<Duration::rep>(ahead + 1) / slots;
}

bool AdmissionControl::CanFinish(const AdmissionRequest& request, Duration wait,
                                 SteadyTime now) const {
  return request.deadline > now && request.deadline - now >= wait + service_time_;
}

Duration AdmissionControl::RetryAfter(SteadyTime now) const {
  return std::clamp(EstimateWait(queue_.size(), now), kMinRetryAfter, kMaxRetryAfter);
}

AdmissionVerdict AdmissionControl::Refuse(std::uint64_t id, ResultCode code,
                                          SteadyTime now) const {
  return {id, code, RetryAfter(now)};
}

void AdmissionControl::Enqueue(const AdmissionRequest& request) {
  // Among equals the earliest deadline is served first and shed last.
  auto it = std::upper_bound(queue_.begin(), queue_.end(), request, ShedBefore);
  queue_.insert(it, request);
}

void AdmissionControl::AdmitWaiting(SteadyTime now, Verdicts* verdicts) {
  while (!queue_.empty() && outstanding_ < EffectiveSlots(now)) {
    const AdmissionRequest next = queue_.back();
    queue_.pop_back();
    if (!CanFinish(next, Duration::zero(), now)) {
      verdicts->push_back(Refuse(next.id, ResultCode::kShed, now));
      continue;
    }
    ++outstanding_;
    verdicts->push_back({next.id, ResultCode::kOk, {}});
  }
}

AdmissionControl::Verdicts AdmissionControl::RefuseQueue(ResultCode code,
                                                         SteadyTime now) {
  Verdicts verdicts;
  for (const AdmissionRequest& request : queue_) {
    verdicts.push_back(Refuse(request.id, code, now));
  }
  queue_.clear();
  return verdicts;
}

}  // namespace quetzal
