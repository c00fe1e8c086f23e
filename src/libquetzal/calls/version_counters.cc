#include "calls/version_counters.h"

#include <algorithm>

#include "calls/rollout_router.h"

namespace quetzal {
namespace {

/// Entries for single routes. The rest is reserved for the entries that count the further
/// routes of a side together, since the sum of `running` must not miss any request.
constexpr std::size_t kMaxRouteEntries = 48;

}  // namespace

VersionCounters::Key VersionCounters::KeyOf(const Attempt& attempt) {
  return {attempt.service, attempt.rollout, attempt.is_new, attempt.route};
}

VersionCounters::Attempt VersionCounters::Begin(const Rollout& rollout,
                                                const std::string& version,
                                                const std::string& route) {
  Attempt attempt;
  if (!IsUnderWay(rollout)) return attempt;
  attempt.service = rollout.service();
  attempt.rollout = rollout.started().index();
  attempt.is_new = version == rollout.version();
  attempt.route = route;
  const std::lock_guard<std::mutex> lock(mutex_);
  auto it = counts_.find(KeyOf(attempt));
  if (it == counts_.end() && counts_.size() >= kMaxRouteEntries) {
    attempt.route.clear();
    it = counts_.find(KeyOf(attempt));
  }
  if (it == counts_.end()) {
    if (counts_.size() >= kMaxEntries) return Attempt();
    VersionCounts entry;
    entry.set_service(attempt.service);
    *entry.mutable_started() = rollout.started();
    entry.set_new_version(attempt.is_new);
    entry.set_route(attempt.route);
    it = counts_.emplace(KeyOf(attempt), std::move(entry)).first;
  }
  it->second.set_running(it->second.running() + 1);
  return attempt;
}

void VersionCounters::End(const Attempt& attempt, VersionOutcome outcome, Duration time) {
  if (attempt.rollout == 0) return;
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = counts_.find(KeyOf(attempt));
  if (it == counts_.end()) return;
  VersionCounts& entry = it->second;
  if (entry.running() > 0) entry.set_running(entry.running() - 1);
  if (outcome == VersionOutcome::kFailed) entry.set_failed(entry.failed() + 1);
  if (outcome != VersionOutcome::kAnswered) return;
  entry.set_answered(entry.answered() + 1);
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      time + std::chrono::microseconds(500));
  entry.set_time_ms(entry.time_ms() +
                    static_cast<std::uint64_t>(std::max<std::int64_t>(0, ms.count())));
}

void VersionCounters::Prune(const Configuration& configuration, std::uint64_t index) {
  const std::lock_guard<std::mutex> lock(mutex_);
  // A thread that is late with an older configuration would drop counts of a rollout that
  // has begun since, and the counts would decrease.
  if (index < configuration_index_) return;
  configuration_index_ = index;
  for (auto it = counts_.begin(); it != counts_.end();) {
    const Rollout* rollout = FindRollout(configuration, std::get<0>(it->first));
    const bool keep = rollout != nullptr && IsUnderWay(*rollout) &&
                      rollout->started().index() == std::get<1>(it->first);
    it = keep ? std::next(it) : counts_.erase(it);
  }
}

std::vector<VersionCounts> VersionCounters::Read() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<VersionCounts> list;
  list.reserve(counts_.size());
  for (const auto& [key, entry] : counts_) list.push_back(entry);
  return list;
}

}  // namespace quetzal
