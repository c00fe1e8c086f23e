#include "calls/load_table.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>
#include <utility>

namespace quetzal {
namespace {

constexpr std::size_t kMaxCandidates = 32;

/// Stated limits that are kept for instances that are no targets at the time.
constexpr std::size_t kMaxRateLimits = 64;
constexpr int kFailuresToEject = 3;
constexpr Duration kBaseEjection = std::chrono::seconds(1);
constexpr Duration kMaxEjection = std::chrono::seconds(30);
constexpr Duration kMaxReportAge = std::chrono::seconds(10);
constexpr double kSlowStartFloor = 0.1;

/// Weight of one attempt in the success rate of a server.
constexpr double kSuccessWeight = 0.1;
constexpr double kMinSuccessFactor = 0.05;

/// An instance with outstanding attempts counts as stalled when it has sent nothing for
/// this time plus some service times.
constexpr Duration kStallTimeout = std::chrono::milliseconds(300);
constexpr int kStallServiceTimes = 4;

/// One request per period probes an unresponsive instance or data centre. The period is
/// longer than an attempt waits for the admitting node to acknowledge it.
constexpr Duration kProbePeriod = std::chrono::milliseconds(500);

/// A data centre counts as cut off when this many of its instances become unresponsive in
/// a row: more than are stopped or frozen at once in normal operation.
constexpr int kUnresponsiveToCutOff = 3;

/// Assumed utilization of a server whose last report is old.
constexpr double kAssumedUtilization = 0.7;
constexpr Duration kMinDecayTime = std::chrono::milliseconds(50);

Duration EjectionTime(int ejections) {
  const int shift = std::min(ejections - 1, 5);
  return std::min(kMaxEjection, kBaseEjection * (1 << shift));
}

/// Estimates how much of the load `others`, reported `age` ago, is left. The load decays
/// with the service time, but not below the assumed utilization, since an old report is
/// less reliable.
double DecayedLoad(double others, double capacity, Duration service_time, Duration age) {
  const Duration decay_time = std::max(kMinDecayTime, service_time);
  const double kept = std::exp(-static_cast<double>(age.count()) /
                               static_cast<double>(decay_time.count()));
  const double assumed = std::min(others, kAssumedUtilization * capacity);
  return assumed + (others - assumed) * kept;
}

bool Contains(const std::vector<std::string>& list, const std::string& name) {
  return std::find(list.begin(), list.end(), name) != list.end();
}

}  // namespace

const BackendTarget* LoadTable::Choose(const Candidates& targets,
                                       const ChoiceOptions& options) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const SteadyTime now = clock_->Now();
  const Candidates usable = UsableLocked(targets, options, now);
  if (usable.empty()) return nullptr;
  const Candidates candidates = NearestWithCapacityLocked(usable, options, now);
  std::vector<TargetLoad> loads;
  loads.reserve(candidates.size());
  for (const BackendTarget* target : candidates) {
    loads.push_back(LoadLocked(*target, options.slow_start, now));
  }
  TargetSelector* selector =
      SelectorLocked(candidates.front()->service, options.load_policy);
  const BackendTarget* chosen = candidates[selector->Select(loads, random_)];
  CountAttemptLocked(*chosen, now);
  return chosen;
}

void LoadTable::Begin(const BackendTarget& target) {
  const std::lock_guard<std::mutex> lock(mutex_);
  CountAttemptLocked(target, clock_->Now());
}

void LoadTable::CountAttemptLocked(const BackendTarget& target, SteadyTime now) {
  Entry& entry = EntryLocked(target, now);
  if (entry.outstanding == 0) entry.waiting_since = now;
  ++entry.outstanding;
  if (entry.unresponsive) entry.next_probe = now + kProbePeriod;
  DataCentreReachability& reachability = data_centre_reachability_[entry.data_centre];
  if (reachability.unresponsive_instances >= kUnresponsiveToCutOff)
    reachability.next_probe = now + kProbePeriod;
}

void LoadTable::Report(const BackendTarget& target, const LoadReport& report) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const SteadyTime now = clock_->Now();
  Entry& entry = EntryLocked(target, now);
  if (entry.incarnation != target.incarnation) return;
  entry.report = report;
  entry.reported = true;
  entry.outstanding_at_report = entry.outstanding;
  entry.reported_at = now;
  entry.waiting_since = now;
  MarkResponsiveLocked(&entry);
}

void LoadTable::End(const BackendTarget& target, AttemptEnd end) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const SteadyTime now = clock_->Now();
  auto it = entries_.find(target.instance);
  if (it == entries_.end() || it->second.incarnation != target.incarnation) return;
  Entry& entry = it->second;
  if (entry.outstanding > 0) --entry.outstanding;
  if (end == AttemptEnd::kAbandoned) return;
  if (end == AttemptEnd::kUnresponsive) return MarkUnresponsiveLocked(&entry, now);
  const bool healthy = end == AttemptEnd::kAnswered || end == AttemptEnd::kRefusedByNode;
  entry.success_rate += ((healthy ? 1.0 : 0.0) - entry.success_rate) * kSuccessWeight;
  if (healthy) entry.waiting_since = now;
  if (end == AttemptEnd::kRefusedByServer) return;
  if (end != AttemptEnd::kFailed) {
    entry.failures = 0;
    if (end == AttemptEnd::kAnswered) entry.ejections = 0;
    return;
  }
  ++entry.failures;
  // After an ejection, one more failure is enough to eject the instance again.
  if (entry.failures < kFailuresToEject && entry.ejections == 0) return;
  if (now < entry.ejected_until) return;
  ++entry.ejections;
  entry.failures = 0;
  entry.ejected_until = now + EjectionTime(entry.ejections);
  entry.slow_start_from = entry.ejected_until;
}

void LoadTable::RecordRateLimit(const BackendTarget& target,
                                std::optional<double> per_second) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (per_second) {
    rate_limits_[target.instance] = *per_second;
  } else {
    rate_limits_.erase(target.instance);
  }
}

std::optional<double> LoadTable::rate_limit(const std::string& instance) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = rate_limits_.find(instance);
  return it == rate_limits_.end() ? std::nullopt : std::optional(it->second);
}

void LoadTable::Prune(const RoutingSnapshot& snapshot) {
  std::unordered_set<std::string_view> live;
  for (const BackendTarget& target : snapshot.targets) live.insert(target.instance);
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto it = entries_.begin(); it != entries_.end();) {
    it = live.count(it->first) > 0 || it->second.outstanding > 0 ? std::next(it)
                                                                 : entries_.erase(it);
  }
  // A limit outlives the restart of its node, during which the instance is no target.
  if (rate_limits_.size() <= kMaxRateLimits) return;
  for (auto it = rate_limits_.begin(); it != rate_limits_.end();) {
    it = live.count(it->first) > 0 ? std::next(it) : rate_limits_.erase(it);
  }
}

std::uint32_t LoadTable::outstanding(const std::string& instance) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  auto it = entries_.find(instance);
  return it == entries_.end() ? 0 : it->second.outstanding;
}

bool LoadTable::ejected(const std::string& instance) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  auto it = entries_.find(instance);
  return it != entries_.end() && clock_->Now() < it->second.ejected_until;
}

LoadTable::Entry& LoadTable::EntryLocked(const BackendTarget& target, SteadyTime now) {
  Entry& entry = entries_[target.instance];
  if (entry.incarnation < target.incarnation) {
    entry = Entry();
    entry.incarnation = target.incarnation;
    entry.slow_start_from = now;
    entry.data_centre = target.data_centre;
  }
  return entry;
}

bool LoadTable::IsReachableLocked(const Entry& entry, SteadyTime now) const {
  const auto it = data_centre_reachability_.find(entry.data_centre);
  const bool cut_off = it != data_centre_reachability_.end() &&
                       it->second.unresponsive_instances >= kUnresponsiveToCutOff;
  if (cut_off && now < it->second.next_probe) return false;
  return !entry.unresponsive || now >= entry.next_probe;
}

void LoadTable::MarkUnresponsiveLocked(Entry* entry, SteadyTime now) {
  if (entry->unresponsive) return;
  entry->unresponsive = true;
  entry->next_probe = now + kProbePeriod;
  DataCentreReachability& reachability = data_centre_reachability_[entry->data_centre];
  if (++reachability.unresponsive_instances == kUnresponsiveToCutOff)
    reachability.next_probe = now + kProbePeriod;
}

/// When one instance of a cut-off data centre responds, the others may be reachable too:
/// all of them are probed at once.
void LoadTable::MarkResponsiveLocked(Entry* entry) {
  DataCentreReachability& reachability = data_centre_reachability_[entry->data_centre];
  if (reachability.unresponsive_instances >= kUnresponsiveToCutOff) {
    for (auto& [name, other] : entries_) {
      if (other.data_centre == entry->data_centre) other.next_probe = SteadyTime();
    }
  }
  reachability.unresponsive_instances = 0;
  entry->unresponsive = false;
}

LoadTable::Candidates LoadTable::UsableLocked(const Candidates& targets,
                                              const ChoiceOptions& options,
                                              SteadyTime now) {
  Candidates usable;
  // For a service with very many backend servers, only a window with a random start is
  // considered. Servers of the local data centre come first.
  const bool windowed = targets.size() > kMaxCandidates;
  const std::size_t start = windowed ? random_->Below(targets.size()) : 0;
  for (const bool local : {true, false}) {
    for (std::size_t n = 0; n < targets.size() && usable.size() < kMaxCandidates; ++n) {
      const BackendTarget* target = targets[(start + n) % targets.size()];
      if ((target->data_centre == options.data_centre) != local) continue;
      if (target->state != SERVER_UP || Contains(options.tried, target->instance))
        continue;
      usable.push_back(target);
    }
  }
  return DropEjectedLocked(usable, now);
}

LoadTable::Candidates LoadTable::DropEjectedLocked(const Candidates& usable,
                                                   SteadyTime now) {
  Candidates reachable;
  Candidates kept;
  for (const BackendTarget* target : usable) {
    const Entry& entry = EntryLocked(*target, now);
    if (!IsReachableLocked(entry, now)) continue;
    reachable.push_back(target);
    if (now >= entry.ejected_until && !IsStalled(entry, now)) kept.push_back(target);
  }
  // When more than half would be excluded, the signal is not credible and is ignored.
  return kept.size() * 2 < reachable.size() ? reachable : kept;
}

/// Detects a frozen or cut-off instance long before its connection breaks.
bool LoadTable::IsStalled(const Entry& entry, SteadyTime now) {
  const Duration service = entry.reported ? entry.report.service_time : Duration::zero();
  return entry.outstanding > 0 &&
         now - entry.waiting_since > kStallTimeout + kStallServiceTimes * service;
}

TargetLoad LoadTable::LoadLocked(const BackendTarget& target, Duration slow_start,
                                 SteadyTime now) {
  const Entry& entry = EntryLocked(target, now);
  TargetLoad load;
  load.outstanding = entry.outstanding;
  load.capacity = target.slots > 0 ? target.slots : 1;
  if (entry.reported && now - entry.reported_at < kMaxReportAge) {
    // The load of other nodes is as old as the report; this node's own is up to date.
    const double total = entry.report.outstanding + entry.report.queued;
    const double others = std::max(0.0, total - entry.outstanding_at_report);
    load.capacity = std::max<double>(0.1, entry.report.slots);
    load.outstanding += DecayedLoad(others, load.capacity, entry.report.service_time,
                                    now - entry.reported_at);
    load.service_ms =
        std::chrono::duration<double, std::milli>(entry.report.service_time).count();
  }
  // Failed requests are retried elsewhere, so a failing server has less usable capacity.
  load.capacity *= std::max(kMinSuccessFactor, entry.success_rate * entry.success_rate);
  const Duration age = now - entry.slow_start_from;
  if (slow_start > Duration::zero() && age < slow_start) {
    const double share =
        static_cast<double>(age.count()) / static_cast<double>(slow_start.count());
    load.capacity *= std::max(kSlowStartFloor, share);
  }
  return load;
}

LoadTable::Candidates LoadTable::NearestWithCapacityLocked(const Candidates& usable,
                                                           const ChoiceOptions& options,
                                                           SteadyTime now) {
  Candidates local;
  Candidates local_with_capacity;
  Candidates remote_with_capacity;
  for (const BackendTarget* target : usable) {
    const bool is_local = target->data_centre == options.data_centre;
    if (is_local) local.push_back(target);
    if (Utilization(LoadLocked(*target, options.slow_start, now)) > 1.0) continue;
    (is_local ? local_with_capacity : remote_with_capacity).push_back(target);
  }
  if (!local_with_capacity.empty()) return local;
  if (!remote_with_capacity.empty()) return remote_with_capacity;
  return usable;
}

TargetSelector* LoadTable::SelectorLocked(const std::string& service,
                                          const std::string& policy) {
  auto& selector = selectors_[policy + '/' + service];
  if (!selector) {
    const auto& registry = TargetSelectorRegistry::Instance();
    const auto names = registry.Names();
    const bool known = std::find(names.begin(), names.end(), policy) != names.end();
    selector = registry.Create(known ? policy : kDefaultLoadPolicy);
  }
  return selector.get();
}

}  // namespace quetzal
