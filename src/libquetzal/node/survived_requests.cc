#include "node/survived_requests.h"

#include <algorithm>

namespace quetzal {
namespace {

constexpr std::size_t kMaxEntries = 64;

/// The answer of the other server may precede the reports of the crashes.
constexpr Duration kRetention = std::chrono::seconds(30);

/// Reports of crashes of one moment arrive within this time.
constexpr Duration kMoment = std::chrono::seconds(5);

}  // namespace

void SurvivedRequests::Record(const RequestFingerprint& request) {
  if (entries_.size() >= kMaxEntries) entries_.pop_front();
  entries_.push_back({request.digest, clock_->Now()});
}

std::vector<Acquittal> SurvivedRequests::Excuse(const CrashingRequests& causes) {
  const SteadyTime now = clock_->Now();
  while (!entries_.empty() && now - entries_.front().at > kRetention) {
    entries_.pop_front();
  }
  for (auto it = blames_.begin(); it != blames_.end();) {
    const bool expired = now - it->second.first_seen > kCrashRetention;
    it = expired ? blames_.erase(it) : std::next(it);
  }
  std::vector<Acquittal> acquittals;
  for (const CrashingRequests::Entry& cause : causes.entries()) {
    const std::uint64_t digest = cause.request.digest;
    Blame& blame = blames_.try_emplace(digest, Blame{now, {}}).first->second;
    const bool survived =
        std::any_of(entries_.begin(), entries_.end(),
                    [digest](const Entry& entry) { return entry.digest == digest; });
    if (!survived || now - blame.first_seen > kMoment) continue;
    const std::size_t before = blame.excused.size();
    blame.excused.insert(cause.crashes.begin(), cause.crashes.end());
    if (blame.excused.size() > before) acquittals.push_back({digest, cause.crashes});
  }
  return acquittals;
}

}  // namespace quetzal
