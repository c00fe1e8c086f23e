#include "node/crash_log.h"

#include <algorithm>
#include <numeric>
#include <vector>

namespace quetzal {
namespace {

/// Together with the rest of its member record they fit into one datagram.
constexpr std::size_t kMaxRequests = 40;
constexpr std::size_t kMaxCrashes = 10;
constexpr std::size_t kMaxAcquittals = 2;
constexpr std::size_t kMaxCrashesOfAcquittal = 8;

}  // namespace

bool CrashLog::Add(const CrashReport& crash) {
  const bool known = std::any_of(entries_.begin(), entries_.end(),
                                 [&](const Entry& e) { return e.crash.id == crash.id; });
  if (known) return false;
  entries_.push_back({crash, clock_->Now()});
  DropExcess();
  return true;
}

void CrashLog::Acquit(const Acquittal& acquittal) {
  Acquittal merged = acquittal;
  const auto known = std::find_if(acquittals_.begin(), acquittals_.end(),
                                  [&](const TimedAcquittal& other) {
                                    return other.acquittal.digest == acquittal.digest;
                                  });
  if (known != acquittals_.end()) {
    for (const std::uint64_t crash : known->acquittal.crashes) {
      const auto& crashes = merged.crashes;
      if (std::find(crashes.begin(), crashes.end(), crash) != crashes.end()) continue;
      merged.crashes.push_back(crash);
    }
    acquittals_.erase(known);
  }
  if (merged.crashes.size() > kMaxCrashesOfAcquittal) {
    merged.crashes.resize(kMaxCrashesOfAcquittal);
  }
  if (acquittals_.size() >= kMaxAcquittals) acquittals_.pop_front();
  acquittals_.push_back({std::move(merged), clock_->Now()});
}

bool CrashLog::AddFormer(const Acquittal& acquittal) {
  const bool known = std::any_of(acquittals_.begin(), acquittals_.end(),
                                 [&](const TimedAcquittal& other) {
                                   return other.acquittal.digest == acquittal.digest;
                                 });
  if (!known) Acquit(acquittal);
  return !known;
}

void CrashLog::Explain(const CrashingRequests& causes) {
  for (Entry& entry : entries_) {
    const auto& requests = entry.crash.requests;
    const auto is_cause = [&](const RequestFingerprint& r) { return causes.IsCause(r); };
    if (std::none_of(requests.begin(), requests.end(), is_cause)) continue;
    KeepRequests(is_cause, &entry.crash);
    entry.explained = true;
  }
  for (const Acquittal& acquittal : causes.acquittals()) {
    for (Entry& entry : entries_) {
      const auto& crashes = acquittal.crashes;
      if (std::find(crashes.begin(), crashes.end(), entry.crash.id) == crashes.end()) {
        continue;
      }
      KeepRequests(
          [&](const RequestFingerprint& r) { return r.digest != acquittal.digest; },
          &entry.crash);
    }
  }
  const auto is_empty = [](const Entry& entry) { return entry.crash.requests.empty(); };
  entries_.erase(std::remove_if(entries_.begin(), entries_.end(), is_empty),
                 entries_.end());
}

bool CrashLog::DropExpired() {
  const SteadyTime now = clock_->Now();
  const std::size_t before = entries_.size();
  while (!entries_.empty() && now - entries_.front().added >= kCrashRetention) {
    entries_.pop_front();
  }
  bool dropped = entries_.size() != before;
  while (!acquittals_.empty() && now - acquittals_.front().added >= kCrashRetention) {
    acquittals_.pop_front();
    dropped = true;
  }
  return dropped;
}

void CrashLog::DropExcess() {
  const auto excessive = [this] {
    const std::size_t requests =
        std::accumulate(entries_.begin(), entries_.end(), std::size_t{0},
                        [](std::size_t sum, const Entry& entry) {
                          return sum + entry.crash.requests.size();
                        });
    return requests > kMaxRequests || entries_.size() > kMaxCrashes;
  };
  while (entries_.size() > 1 && excessive()) {
    auto it = std::find_if(entries_.begin(), std::prev(entries_.end()),
                           [](const Entry& entry) { return !entry.explained; });
    if (it == std::prev(entries_.end())) it = entries_.begin();
    entries_.erase(it);
  }
}

void CrashLog::WriteTo(ServerObservations* observations) const {
  for (const Entry& entry : entries_) {
    *observations->add_crashes() = ToMessage(entry.crash);
  }
  for (const TimedAcquittal& entry : acquittals_) {
    *observations->add_acquittals() = ToMessage(entry.acquittal);
  }
}

}  // namespace quetzal
