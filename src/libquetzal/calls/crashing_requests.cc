#include "calls/crashing_requests.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace quetzal {
namespace {

/// A request that ran in so many crashes is suspected, whatever ran beside it.
constexpr std::size_t kCrashesOfASuspect = 3;

/// In so many crashes, a request is suspected if nothing else ran in all of them.
constexpr std::size_t kCrashesOfASoleSuspect = 2;

/// Finds the suspects of crashes. A crash with a suspect clears the other requests that
/// ran in it.
class SuspectFinder {
 public:
  SuspectFinder(const std::vector<CrashReport>& reports,
                const std::vector<Acquittal>& acquittals) {
    std::set<std::uint64_t> seen;
    for (const CrashReport& report : reports) {
      if (!seen.insert(report.id).second) continue;
      for (std::size_t n = 0; n < report.requests.size(); ++n) {
        Suspect& suspect = suspects_[report.requests[n].digest];
        suspect.request = report.requests[n];
        suspect.crashes.insert(report.id);
        // Of several requests on trial, none is proven by the crash.
        if (n == 0 && report.on_trial == 1) suspect.on_trial.insert(report.id);
        if (report.requests.size() == 1) suspect.ran_alone = true;
      }
      servers_[report.id] = {report.software, report.instance};
    }
    for (const Acquittal& acquittal : acquittals) {
      const auto it = suspects_.find(acquittal.digest);
      if (it == suspects_.end()) continue;
      for (const std::uint64_t crash : acquittal.crashes) it->second.Clear(crash);
    }
    // Most requests ran in one crash only, beside others.
    for (auto it = suspects_.begin(); it != suspects_.end();) {
      it = it->second.IsClear() ? suspects_.erase(it) : std::next(it);
    }
  }

  std::vector<CrashingRequests::Entry> Find() {
    std::vector<CrashingRequests::Entry> entries;
    for (;;) {
      auto found = SuspectsWhere(
          [](const Suspect& s) { return s.on_trial.size() >= kCrashesOnTrial; });
      if (found.empty()) {
        found = SuspectsWhere(
            [](const Suspect& s) { return s.crashes.size() >= kCrashesOfASuspect; });
      }
      if (found.empty()) found = SoleSuspects();
      if (found.empty()) return entries;
      std::set<std::uint64_t> explained;
      for (const std::uint64_t digest : found) {
        const auto it = suspects_.find(digest);
        const Suspect& suspect = it->second;
        explained.insert(suspect.crashes.begin(), suspect.crashes.end());
        entries.push_back(EntryOf(suspect));
        suspects_.erase(it);
      }
      for (auto& [digest, suspect] : suspects_) {
        for (const std::uint64_t crash : explained) suspect.Clear(crash);
      }
    }
  }

 private:
  struct Suspect {
    RequestFingerprint request;
    std::set<std::uint64_t> crashes;
    std::set<std::uint64_t> on_trial;  ///< Those of crashes where it ran on trial.
    bool ran_alone = false;            ///< Nothing else ran in one of the crashes.

    void Clear(std::uint64_t crash) {
      crashes.erase(crash);
      on_trial.erase(crash);
    }
    bool IsClear() const { return crashes.size() < (ran_alone ? 1 : 2); }
  };

  struct Server {
    std::uint32_t software = 0;
    std::string instance;
  };

  template <class Predicate>
  std::vector<std::uint64_t> SuspectsWhere(Predicate predicate) const {
    std::vector<std::uint64_t> found;
    for (const auto& [digest, suspect] : suspects_) {
      if (predicate(suspect)) found.push_back(digest);
    }
    return found;
  }

  std::vector<std::uint64_t> SoleSuspects() const {
    std::map<std::set<std::uint64_t>, std::vector<std::uint64_t>> by_crashes;
    for (const auto& [digest, suspect] : suspects_) {
      const bool alone = suspect.ran_alone && suspect.crashes.size() == 1;
      if (alone || suspect.crashes.size() == kCrashesOfASoleSuspect) {
        by_crashes[suspect.crashes].push_back(digest);
      }
    }
    std::vector<std::uint64_t> found;
    for (const auto& [crashes, digests] : by_crashes) {
      if (digests.size() == 1) found.push_back(digests.front());
    }
    return found;
  }

  CrashingRequests::Entry EntryOf(const Suspect& suspect) const {
    CrashingRequests::Entry entry;
    entry.request = suspect.request;
    for (const std::uint64_t crash : suspect.crashes) {
      entry.crashes.push_back(crash);
      const Server& server = servers_.at(crash);
      entry.software.push_back(server.software);
      entry.instances.insert(server.instance);
    }
    entry.crashes_on_trial = suspect.on_trial.size();
    return entry;
  }

  std::map<std::uint64_t, Suspect> suspects_;  ///< By digest.
  std::map<std::uint64_t, Server> servers_;    ///< By crash.
};

}  // namespace

bool CrashingRequests::Entry::Crashed(std::uint32_t server_software) const {
  return std::find(software.begin(), software.end(), server_software) != software.end();
}

CrashingRequests::CrashingRequests(const std::vector<CrashReport>& reports,
                                   const std::vector<Acquittal>& acquittals)
    : entries_(SuspectFinder(reports, acquittals).Find()), acquittals_(acquittals) {
  std::sort(entries_.begin(), entries_.end(), [](const Entry& a, const Entry& b) {
    return a.request.digest < b.request.digest;
  });
  for (std::size_t n = 0; n < entries_.size(); ++n) {
    by_head_.emplace(entries_[n].request.head, n);
  }
}

CrashVerdict CrashingRequests::Judge(const RequestIdentity& request,
                                     bool body_complete) const {
  if (by_head_.count(request.HeadDigest()) == 0) {
    return CrashVerdict::kHarmless;
  }
  if (!body_complete && !request.body_full()) return CrashVerdict::kUndecided;
  const Entry* entry = Find(request.Fingerprint());
  if (entry == nullptr) return CrashVerdict::kHarmless;
  return entry->proven() ? CrashVerdict::kCrashes : CrashVerdict::kSuspected;
}

const CrashingRequests::Entry* CrashingRequests::Find(
    const RequestFingerprint& request) const {
  const auto [begin, end] = by_head_.equal_range(request.head);
  const auto it = std::find_if(begin, end, [&](const auto& head) {
    return entries_[head.second].request.digest == request.digest;
  });
  return it == end ? nullptr : &entries_[it->second];
}

const CrashingRequests::Entry* CrashingRequests::Find(const std::string& hash) const {
  const auto it = std::find_if(entries_.begin(), entries_.end(), [&](const Entry& entry) {
    return ToString(entry.request) == hash;
  });
  return it == entries_.end() ? nullptr : &*it;
}

bool CrashingRequests::IsCause(const RequestFingerprint& request) const {
  const Entry* entry = Find(request);
  return entry != nullptr && entry->proven();
}

}  // namespace quetzal
