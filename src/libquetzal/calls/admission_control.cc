#include "calls/admission_control.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace quetzal {
namespace {

constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);
constexpr double kSlowStartFloor = 0.1;

/// Requests that a rate limit saves while fewer than its rate come, as the time in which
/// it grants them.
constexpr std::chrono::duration<double> kRateBurst{0.25};

/// Requests per second that a server gets whatever its limit: only an answer shows that
/// the limit has ended.
constexpr double kMinRate = 0.5;

/// A larger rank is shed earlier: new requests before nested calls, then low priority
/// first, then what exceeds its team's share, then long work, which holds up more others,
/// then idempotent requests before others, then the request with the latest objective (or
/// else deadline), since its caller can retry later.
auto ShedRank(const AdmissionRequest& request) {
  return std::make_tuple(!request.nested, request.priority, request.team_excess,
                         !request.short_work, request.idempotent,
                         request.objective.value_or(request.deadline));
}

Duration Scaled(Duration time, double factor) {
  return factor == 1 ? time : std::chrono::duration_cast<Duration>(factor * time);
}

bool ShedBefore(const AdmissionRequest& a, const AdmissionRequest& b) {
  return ShedRank(a) > ShedRank(b);
}

}  // namespace

AdmissionControl::Decisions AdmissionControl::SetLimits(const AdmissionLimits& limits,
                                                        SteadyTime now) {
  if (limits.state == SERVER_UP && limits_.state != SERVER_UP) up_since_ = now;
  limits_ = limits;
  const ResultCode refusal = RefusalByState();
  if (refusal != ResultCode::kOk) return RefuseQueue(refusal, now);
  return AdmitDue(now);
}

AdmissionControl::Decisions AdmissionControl::SetRateLimit(
    std::optional<double> per_second, SteadyTime now) {
  if (!per_second) {
    rate_limit_.reset();
    return AdmitDue(now);
  }
  const double rate = std::max(kMinRate, *per_second);
  const double burst = std::max(1.0, rate * kRateBurst.count());
  if (!rate_limit_) rate_limit_.emplace(rate, burst, 0, now);
  rate_limit_->SetRate(rate, burst, now);
  return AdmitDue(now);
}

AdmissionControl::Decisions AdmissionControl::AdmitDue(SteadyTime now) {
  Decisions decisions;
  AdmitQueued(now, &decisions);
  return decisions;
}

std::optional<Duration> AdmissionControl::NextAdmission(SteadyTime now) const {
  if (!rate_limit_ || queue_.empty() || !HasFreeSlot(now)) return std::nullopt;
  return rate_limit_->WaitFor(1, now);
}

AdmissionControl::Decisions AdmissionControl::Offer(AdmissionRequest request,
                                                    SteadyTime now) {
  const ResultCode refusal = RefusalByState();
  if (refusal != ResultCode::kOk) return {Refuse(request.id, refusal, now)};
  if (queue_.empty() && HasFreeSlot(now) && (!rate_limit_ || rate_limit_->Take(now))) {
    Admit(request, now);
    return {{request.id, ResultCode::kOk, {}}};
  }
  request.short_work = service_times_.IsShort(request.work);
  if (!request.team.empty()) RankByTeamWith(&request, now);
  const Duration wait = EstimateWaitFor(request, now);
  // The expected wait is zero until the first service time has been measured.
  if (request.max_wait && wait >= *request.max_wait) {
    return {{request.id, ResultCode::kServerFull, wait}};
  }
  const bool in_time = MeetsObjective(request, wait, now);
  if (!CanFinish(request, wait, now) || !(in_time || MayQueueLate(request, wait, now))) {
    return {{request.id, ResultCode::kShed, std::max(wait, kMinRetryAfter)}};
  }
  Decisions decisions;
  if (queue_.size() >= QueueLimit()) {
    const auto victim = FindVictim(request, now);
    if (victim == queue_.end()) {
      return {Refuse(request.id, ResultCode::kServerFull, now)};
    }
    decisions.push_back(Refuse(victim->id, ResultCode::kShed, now));
    queue_.erase(victim);
  }
  Enqueue(request);
  AdmitQueued(now, &decisions);
  return decisions;
}

AdmissionControl::Decisions AdmissionControl::Finish(std::uint64_t id,
                                                     const std::string& work,
                                                     Duration service_time,
                                                     SteadyTime now) {
  team_shares_.End(running_.Remove(id));
  return FreeSlot(work, service_time, now);
}

AdmissionControl::Decisions AdmissionControl::Finish(const std::string& work,
                                                     Duration service_time,
                                                     SteadyTime now) {
  team_shares_.End(running_.RemoveOldest());
  return FreeSlot(work, service_time, now);
}

AdmissionControl::Decisions AdmissionControl::FreeSlot(const std::string& work,
                                                       Duration service_time,
                                                       SteadyTime now) {
  if (outstanding_ > 0) --outstanding_;
  if (service_time > Duration::zero()) service_times_.Record(work, service_time);
  return AdmitDue(now);
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
  report.slots = RefusalByState() == ResultCode::kOk ? UsableSlots(now) : 0;
  report.service_time = MeanTime(now);
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

std::uint32_t AdmissionControl::UsableSlots(SteadyTime now) const {
  const std::uint32_t slots = EffectiveSlots(now);
  const Duration mean = service_times_.mean();
  if (!rate_limit_ || mean == Duration::zero()) return slots;
  const double in_use =
      rate_limit_->per_second() * std::chrono::duration<double>(mean).count();
  return in_use < slots ? std::max(1U, static_cast<std::uint32_t>(std::ceil(in_use)))
                        : slots;
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

Duration AdmissionControl::ExpectedTime(const std::string& work, SteadyTime now) const {
  return Scaled(service_times_.Expected(work), running_.Slowdown(now));
}

Duration AdmissionControl::MeanTime(SteadyTime now) const {
  return Scaled(service_times_.mean(), running_.Slowdown(now));
}

void AdmissionControl::Admit(const AdmissionRequest& request, SteadyTime now) {
  ++outstanding_;
  running_.Add(request.id, service_times_.Expected(request.work), now, request.team);
  team_shares_.Start(request.team, request.team_weight);
}

Duration AdmissionControl::EstimateWaitFor(const AdmissionRequest& request,
                                           SteadyTime now) const {
  Duration ahead{};
  std::size_t requests_ahead = 0;
  const bool late = IsLate(request, now);
  for (const AdmissionRequest& other : queue_) {
    const bool other_late = IsLate(other, now);
    if (late == other_late ? ShedBefore(other, request) : other_late) continue;
    ahead += ExpectedTime(other.work, now);
    ++requests_ahead;
  }
  return EstimateWait(ahead, requests_ahead, now);
}

/// A slot becomes free once per mean time of the running requests divided by the slots.
/// The work of the requests ahead is shared among the slots in the same way.
Duration AdmissionControl::EstimateWait(Duration work_ahead, std::size_t requests_ahead,
                                        SteadyTime now) const {
  const std::uint32_t slots = std::max<std::uint32_t>(1, EffectiveSlots(now));
  const Duration running = running_.mean_expected();
  const Duration next = running > Duration::zero()
                            ? Scaled(running, running_.Slowdown(now))
                            : MeanTime(now);
  const Duration for_slot = (work_ahead + next) / slots;
  if (!rate_limit_) return for_slot;
  return std::max(for_slot,
                  rate_limit_->WaitFor(static_cast<double>(requests_ahead) + 1, now));
}

bool AdmissionControl::CanFinish(const AdmissionRequest& request, Duration wait,
                                 SteadyTime now) const {
  return request.deadline > now &&
         request.deadline - now >= wait + ExpectedTime(request.work, now);
}

bool AdmissionControl::MeetsObjective(const AdmissionRequest& request, Duration wait,
                                      SteadyTime now) const {
  return !request.objective || request.nested ||
         *request.objective - now >= wait + ExpectedTime(request.work, now);
}

bool AdmissionControl::HasQueuedInTime(SteadyTime now) const {
  return std::any_of(queue_.begin(), queue_.end(),
                     [&](const AdmissionRequest& other) { return !IsLate(other, now); });
}

/// A server that states a rate takes fewer requests than it has slots for: all of them
/// are for requests in time.
bool AdmissionControl::MayQueueLate(const AdmissionRequest& request, Duration wait,
                                    SteadyTime now) const {
  return !rate_limit_ && CanFinish(request, wait, now) && !HasQueuedInTime(now);
}

Duration AdmissionControl::RetryAfter(SteadyTime now) const {
  Duration ahead{};
  for (const AdmissionRequest& other : queue_) ahead += ExpectedTime(other.work, now);
  return std::clamp(EstimateWait(ahead, queue_.size(), now), kMinRetryAfter,
                    kMaxRetryAfter);
}

AdmissionDecision AdmissionControl::Refuse(std::uint64_t id, ResultCode code,
                                           SteadyTime now) const {
  return {id, code, RetryAfter(now)};
}

void AdmissionControl::Enqueue(const AdmissionRequest& request) {
  // At equal priority and idempotence, the earliest objective (or else deadline) is
  // served first and shed last; requests of equal rank are served in turn.
  auto it = std::lower_bound(queue_.begin(), queue_.end(), request, ShedBefore);
  queue_.insert(it, request);
}

void AdmissionControl::RankByTeam(SteadyTime now) {
  const bool has_teams = std::any_of(queue_.begin(), queue_.end(),
                                     [](const auto& r) { return !r.team.empty(); });
  if (!has_teams) return;
  team_shares_.BeginRanking(EffectiveSlots(now));
  for (AdmissionRequest& request : queue_) {
    request.team_excess = 0;
    team_shares_.AddQueued(request.team, request.team_weight);
  }
  // First the order within each team, then the order of all.
  std::stable_sort(queue_.begin(), queue_.end(), ShedBefore);
  std::for_each(queue_.rbegin(), queue_.rend(), [this](AdmissionRequest& request) {
    request.team_excess = team_shares_.NextExcess(request.team);
  });
  team_shares_.EndRanking();
  std::stable_sort(queue_.begin(), queue_.end(), ShedBefore);
}

/// Finds the excess of a request that is not queued yet.
void AdmissionControl::RankByTeamWith(AdmissionRequest* request, SteadyTime now) {
  Enqueue(*request);
  RankByTeam(now);
  const auto it =
      std::find_if(queue_.begin(), queue_.end(),
                   [&](const AdmissionRequest& r) { return r.id == request->id; });
  request->team_excess = it->team_excess;
  queue_.erase(it);
}

/// Late requests give way to one in time, whatever their rank.
AdmissionControl::Queue::iterator AdmissionControl::FindVictim(
    const AdmissionRequest& request, SteadyTime now) {
  if (!IsLate(request, now)) {
    const auto late =
        std::find_if(queue_.begin(), queue_.end(),
                     [&](const AdmissionRequest& other) { return IsLate(other, now); });
    if (late != queue_.end()) return late;
  }
  const bool has_lower = !queue_.empty() && ShedBefore(queue_.front(), request);
  return has_lower ? queue_.begin() : queue_.end();
}

void AdmissionControl::AdmitQueued(SteadyTime now, Decisions* decisions) {
  while (!queue_.empty() && HasFreeSlot(now)) {
    if (rate_limit_ && rate_limit_->WaitFor(1, now) > Duration::zero()) return;
    RankByTeam(now);
    const auto next = TakeNext(now, decisions);
    if (!next) return;
    if (rate_limit_) rate_limit_->Take(now);
    Admit(*next, now);
    decisions->push_back({next->id, ResultCode::kOk, {}});
  }
}

std::optional<AdmissionRequest> AdmissionControl::TakeNext(SteadyTime now,
                                                           Decisions* decisions) {
  // An answer after its objective is of little use: while a queued request can still meet
  // its own, the late ones before it are refused, so that their callers can go elsewhere.
  const bool has_in_time = HasQueuedInTime(now);
  while (!queue_.empty()) {
    const AdmissionRequest& next = queue_.back();
    if (CanFinish(next, Duration::zero(), now) && !(has_in_time && IsLate(next, now))) {
      AdmissionRequest taken = next;
      queue_.pop_back();
      return taken;
    }
    ShedLast(now, decisions);
  }
  return std::nullopt;
}

void AdmissionControl::ShedLast(SteadyTime now, Decisions* decisions) {
  const std::uint64_t id = queue_.back().id;
  queue_.pop_back();
  decisions->push_back(Refuse(id, ResultCode::kShed, now));
}

AdmissionControl::Decisions AdmissionControl::RefuseQueue(ResultCode code,
                                                          SteadyTime now) {
  Decisions decisions;
  for (const AdmissionRequest& request : queue_) {
    decisions.push_back(Refuse(request.id, code, now));
  }
  queue_.clear();
  return decisions;
}

}  // namespace quetzal
