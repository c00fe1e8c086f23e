#include "calls/crashing_requests.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace quetzal {
namespace {

/// A request that ran in so many crashes is taken for their cause, whatever ran beside
/// it.
constexpr std::size_t kCrashesOfACause = 3;

/// In so many crashes, a request is the cause if nothing else ran in all of them.
constexpr std::size_t kCrashesOfASoleSuspect = 2;

/// Finds the causes of crashes. A crash with a known cause clears the other requests that
/// ran in it.
class CauseFinder {
 public:
  CauseFinder(const std::vector<CrashReport>& reports,
              const std::vector<Acquittal>& acquittals) {
    std::set<std::uint64_t> seen;
    for (const CrashReport& report : reports) {
      if (!seen.insert(report.id).second) continue;
      for (const RequestFingerprint& request : report.requests) {
        Suspect& suspect = suspects_[request.digest];
        suspect.request = request;
        suspect.crashes.insert(report.id);
      }
    }
    for (const Acquittal& acquittal : acquittals) {
      const auto it = suspects_.find(acquittal.digest);
      if (it == suspects_.end()) continue;
      for (const std::uint64_t crash : acquittal.crashes) it->second.crashes.erase(crash);
    }
    // Most requests ran in one crash only, and cannot become a cause.
    for (auto it = suspects_.begin(); it != suspects_.end();) {
      const bool once = it->second.crashes.size() < kCrashesOfASoleSuspect;
      it = once ? suspects_.erase(it) : std::next(it);
    }
  }

  std::vector<CrashingRequests::Entry> Find() {
    std::vector<CrashingRequests::Entry> causes;
    for (;;) {
      std::vector<std::uint64_t> found = RepeatedCauses();
      if (found.empty()) found = SoleSuspects();
      if (found.empty()) return causes;
      std::set<std::uint64_t> explained;
      for (const std::uint64_t digest : found) {
        const auto it = suspects_.find(digest);
        const std::set<std::uint64_t>& crashes = it->second.crashes;
        explained.insert(crashes.begin(), crashes.end());
        causes.push_back({it->second.request, {crashes.begin(), crashes.end()}});
        suspects_.erase(it);
      }
      for (auto& [digest, suspect] : suspects_) {
        for (const std::uint64_t crash : explained) suspect.crashes.erase(crash);
      }
    }
  }

 private:
  struct Suspect {
    RequestFingerprint request;
    std::set<std::uint64_t> crashes;
  };

  std::vector<std::uint64_t> RepeatedCauses() const {
    std::vector<std::uint64_t> found;
    for (const auto& [digest, suspect] : suspects_) {
      if (suspect.crashes.size() >= kCrashesOfACause) found.push_back(digest);
    }
    return found;
  }

  std::vector<std::uint64_t> SoleSuspects() const {
    std::map<std::set<std::uint64_t>, std::vector<std::uint64_t>> by_crashes;
    for (const auto& [digest, suspect] : suspects_) {
      if (suspect.crashes.size() == kCrashesOfASoleSuspect) {
        by_crashes[suspect.crashes].push_back(digest);
      }
    }
    std::vector<std::uint64_t> found;
    for (const auto& [crashes, digests] : by_crashes) {
      if (digests.size() == 1) found.push_back(digests.front());
    }
    return found;
  }

  std::map<std::uint64_t, Suspect> suspects_;  ///< By digest.
};

}  // namespace

CrashingRequests::CrashingRequests(const std::vector<CrashReport>& reports,
                                   const std::vector<Acquittal>& acquittals)
    : entries_(CauseFinder(reports, acquittals).Find()) {
  std::sort(entries_.begin(), entries_.end(), [](const Entry& a, const Entry& b) {
    return a.request.digest < b.request.digest;
  });
  for (const Entry& entry : entries_) {
    digests_.emplace(entry.request.head, entry.request.digest);
  }
}

CrashVerdict CrashingRequests::Judge(const RequestIdentity& request,
                                     bool body_complete) const {
  if (digests_.count(request.HeadDigest()) == 0) return CrashVerdict::kHarmless;
  if (!body_complete && !request.body_full()) return CrashVerdict::kUndecided;
  return Contains(request.Fingerprint()) ? CrashVerdict::kCrashes
                                         : CrashVerdict::kHarmless;
}

const CrashingRequests::Entry* CrashingRequests::Find(const std::string& hash) const {
  const auto it = std::find_if(entries_.begin(), entries_.end(), [&](const Entry& entry) {
    return ToString(entry.request) == hash;
  });
  return it == entries_.end() ? nullptr : &*it;
}

bool CrashingRequests::Contains(const RequestFingerprint& request) const {
  const auto [begin, end] = digests_.equal_range(request.head);
  return std::any_of(begin, end,
                     [&](const auto& entry) { return entry.second == request.digest; });
}

}  // namespace quetzal
