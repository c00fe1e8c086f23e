#include "calls/load_table.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>
#include <utility>

namespace quetzal {
namespace {

constexpr std::size_t kMaxCandidates = 32;
constexpr int kFailuresToEject = 3;
constexpr Duration kEjection = std::chrono::seconds(1);
constexpr Duration kMaxEjection = std::chrono::seconds(30);
constexpr Duration kReportAge = std::chrono::seconds(10);
constexpr double kSlowStartFloor = 0.1;

/// Part that one more attempt has in the average success of a server.
constexpr double kSuccessWeight = 0.1;
constexpr double kSuccessFloor = 0.05;

/// Silence of an instance with attempts outstanding after which others are chosen: this,
/// and some service times.
constexpr Duration kStallAfter = std::chrono::milliseconds(300);
constexpr int kStallServiceTimes = 4;

/// One request at a time finds out whether a silent instance, or a silent data centre, is
/// back: the time that a request waits for a receipt, and some more.
constexpr Duration kProbePeriod = std::chrono::milliseconds(500);

/// Instances of a data centre that fall silent one after another before the data centre
/// counts as cut off: more than are stopped or frozen at once in ordinary work.
constexpr int kSilentToCutOff = 3;

/// Part of a server's slots that is taken as used when nothing newer is known.
constexpr double kUsualUse = 0.7;
constexpr Duration kShortestPace = std::chrono::milliseconds(50);

Duration EjectionTime(int ejections) {
  const int shift = std::min(ejections - 1, 5);
  return std::min(kMaxEjection, kEjection * (1 << shift));
}

/// What is left of the work `others` after `age`, which ends at the pace of the server.
/// With time the report tells less, and the server counts as used like most.
double Aged(double others, double capacity, Duration service_time, Duration age) {
  const Duration pace = std::max(kShortestPace, service_time);
  const double kept =
      std::exp(-static_cast<double>(age.count()) / static_cast<double>(pace.count()));
  const double usual = std::min(others, kUsualUse * capacity);
  return usual + (others - usual) * kept;
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
  const Candidates candidates = NearestWithRoomLocked(usable, options, now);
  std::vector<TargetLoad> loads;
  loads.reserve(candidates.size());
  for (const BackendTarget* target : candidates) {
    loads.push_back(LoadLocked(*target, options.slow_start, now));
  }
  TargetSelector* selector =
      SelectorLocked(candidates.front()->service, options.load_policy);
  const BackendTarget* chosen = candidates[selector->Select(loads, random_)];
  CountLocked(*chosen, now);
  return chosen;
}

void LoadTable::Begin(const BackendTarget& target) {
  const std::lock_guard<std::mutex> lock(mutex_);
  CountLocked(target, clock_->Now());
}

void LoadTable::CountLocked(const BackendTarget& target, SteadyTime now) {
  Entry& entry = EntryLocked(target, now);
  if (entry.outstanding == 0) entry.waiting_since = now;
  ++entry.outstanding;
  if (entry.silent) entry.next_probe = now + kProbePeriod;
  Reach& reach = reach_[entry.data_centre];
  if (reach.silent >= kSilentToCutOff) reach.next_probe = now + kProbePeriod;
}

void LoadTable::Report(const BackendTarget& target, const LoadReport& report) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const SteadyTime now = clock_->Now();
  Entry& entry = EntryLocked(target, now);
  if (entry.incarnation != target.incarnation) return;
  entry.report = report;
  entry.reported = true;
  entry.own_at_report = entry.outstanding;
  entry.reported_at = now;
  entry.waiting_since = now;
  HearLocked(&entry);
}

void LoadTable::End(const BackendTarget& target, AttemptEnd end) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const SteadyTime now = clock_->Now();
  auto it = entries_.find(target.instance);
  if (it == entries_.end() || it->second.incarnation != target.incarnation) return;
  Entry& entry = it->second;
  if (entry.outstanding > 0) --entry.outstanding;
  if (end == AttemptEnd::kAbandoned) return;
  if (end == AttemptEnd::kSilent) return FallSilentLocked(&entry, now);
  const bool well = end == AttemptEnd::kAnswered || end == AttemptEnd::kRefused;
  entry.success += ((well ? 1.0 : 0.0) - entry.success) * kSuccessWeight;
  if (well) entry.waiting_since = now;
  if (end == AttemptEnd::kTurnedAway) return;
  if (end != AttemptEnd::kFailed) {
    entry.failures = 0;
    if (end == AttemptEnd::kAnswered) entry.ejections = 0;
    return;
  }
  ++entry.failures;
  // After an ejection one failure is enough for the next.
  if (entry.failures < kFailuresToEject && entry.ejections == 0) return;
  if (now < entry.ejected_until) return;
  ++entry.ejections;
  entry.failures = 0;
  entry.ejected_until = now + EjectionTime(entry.ejections);
  entry.warm_from = entry.ejected_until;
}

void LoadTable::Prune(const RoutingSnapshot& snapshot) {
  std::unordered_set<std::string_view> held;
  for (const BackendTarget& target : snapshot.targets) held.insert(target.instance);
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto it = entries_.begin(); it != entries_.end();) {
    it = held.count(it->first) > 0 || it->second.outstanding > 0 ? std::next(it)
                                                                 : entries_.erase(it);
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
    entry.warm_from = now;
    entry.data_centre = target.data_centre;
  }
  return entry;
}

bool LoadTable::IsReachableLocked(const Entry& entry, SteadyTime now) const {
  const auto it = reach_.find(entry.data_centre);
  const bool cut_off = it != reach_.end() && it->second.silent >= kSilentToCutOff;
  if (cut_off && now < it->second.next_probe) return false;
  return !entry.silent || now >= entry.next_probe;
}

void LoadTable::FallSilentLocked(Entry* entry, SteadyTime now) {
  if (entry->silent) return;
  entry->silent = true;
  entry->next_probe = now + kProbePeriod;
  Reach& reach = reach_[entry->data_centre];
  if (++reach.silent == kSilentToCutOff) reach.next_probe = now + kProbePeriod;
}

/// When one instance of a data centre that was cut off is back, the others may be too.
void LoadTable::HearLocked(Entry* entry) {
  Reach& reach = reach_[entry->data_centre];
  if (reach.silent >= kSilentToCutOff) {
    for (auto& [name, other] : entries_) {
      if (other.data_centre == entry->data_centre) other.next_probe = SteadyTime();
    }
  }
  reach.silent = 0;
  entry->silent = false;
}

LoadTable::Candidates LoadTable::UsableLocked(const Candidates& targets,
                                              const ChoiceOptions& options,
                                              SteadyTime now) {
  Candidates usable;
  // A service with very many backend servers is looked at through a window that starts
  // anywhere; the own data centre's are looked for first.
  const bool windowed = targets.size() > kMaxCandidates;
  const std::size_t start = windowed ? random_->Below(targets.size()) : 0;
  for (const bool own : {true, false}) {
    for (std::size_t n = 0; n < targets.size() && usable.size() < kMaxCandidates; ++n) {
      const BackendTarget* target = targets[(start + n) % targets.size()];
      if ((target->data_centre == options.data_centre) != own) continue;
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
  // When more than half would be out, the signal is not worth following.
  return kept.size() * 2 < reachable.size() ? reachable : kept;
}

/// A frozen or cut off instance is seen by this long before its connection breaks.
bool LoadTable::IsStalled(const Entry& entry, SteadyTime now) {
  const Duration service = entry.reported ? entry.report.service_time : Duration::zero();
  return entry.outstanding > 0 &&
         now - entry.waiting_since > kStallAfter + kStallServiceTimes * service;
}

TargetLoad LoadTable::LoadLocked(const BackendTarget& target, Duration slow_start,
                                 SteadyTime now) {
  const Entry& entry = EntryLocked(target, now);
  TargetLoad load;
  load.outstanding = entry.outstanding;
  load.capacity = target.slots > 0 ? target.slots : 1;
  if (entry.reported && now - entry.reported_at < kReportAge) {
    // What others have there is as old as the report; the own part is current.
    const double total = entry.report.outstanding + entry.report.queued;
    const double others = std::max(0.0, total - entry.own_at_report);
    load.capacity = std::max<double>(0.1, entry.report.slots);
    load.outstanding +=
        Aged(others, load.capacity, entry.report.service_time, now - entry.reported_at);
    load.service_ms =
        std::chrono::duration<double, std::milli>(entry.report.service_time).count();
  }
  // What fails is tried again elsewhere, so that a failing server has less to give.
  load.capacity *= std::max(kSuccessFloor, entry.success * entry.success);
  const Duration age = now - entry.warm_from;
  if (slow_start > Duration::zero() && age < slow_start) {
    const double share =
        static_cast<double>(age.count()) / static_cast<double>(slow_start.count());
    load.capacity *= std::max(kSlowStartFloor, share);
  }
  return load;
}

LoadTable::Candidates LoadTable::NearestWithRoomLocked(const Candidates& usable,
                                                       const ChoiceOptions& options,
                                                       SteadyTime now) {
  Candidates own;
  Candidates own_with_room;
  Candidates others_with_room;
  for (const BackendTarget* target : usable) {
    const bool is_own = target->data_centre == options.data_centre;
    if (is_own) own.push_back(target);
    if (Utilization(LoadLocked(*target, options.slow_start, now)) > 1.0) continue;
    (is_own ? own_with_room : others_with_room).push_back(target);
  }
  if (!own_with_room.empty()) return own;
  if (!others_with_room.empty()) return others_with_room;
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
