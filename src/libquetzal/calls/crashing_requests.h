#ifndef QUETZAL_CALLS_CRASHING_REQUESTS_H_
#define QUETZAL_CALLS_CRASHING_REQUESTS_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "calls/crash_report.h"
#include "calls/request_fingerprint.h"

namespace quetzal {

/// How long a crash counts against the requests that ran in it.
inline constexpr Duration kCrashRetention = std::chrono::minutes(10);

/// A request that crashed so many servers on trial is taken for a cause of crashes.
inline constexpr std::size_t kCrashesOnTrial = 2;

enum class CrashVerdict {
  kHarmless,   ///< Not known to crash servers.
  kUndecided,  ///< More of the body decides.
  kSuspected,  ///< Runs on trial only.
  kCrashes,
};

/// The requests that may crash the backend servers that run them, as the crash reports of
/// the fleet show. Immutable.
///
/// That a request ran in crashes makes it suspected, since it may have run beside their
/// cause. It is proven to crash servers only by its trial.
class CrashingRequests {
 public:
  struct Entry {
    RequestFingerprint request;
    std::vector<std::uint64_t> crashes;   ///< Ids of those that it ran in.
    std::vector<std::uint32_t> software;  ///< Of the server of the n-th crash.
    std::set<std::string> instances;      ///< Whose servers crashed.
    std::size_t crashes_on_trial = 0;

    bool proven() const { return crashes_on_trial >= kCrashesOnTrial; }
    /// True if a server with this HashOfSoftware crashed.
    bool Crashed(std::uint32_t server_software) const;
  };

  /// Reports with the same id count once.
  explicit CrashingRequests(const std::vector<CrashReport>& reports,
                            const std::vector<Acquittal>& acquittals = {});

  /// `body_complete`: no more of the body follows.
  CrashVerdict Judge(const RequestIdentity& request, bool body_complete) const;

  /// Null for a request that is not suspected.
  const Entry* Find(const RequestFingerprint& request) const;

  /// Finds an entry by its hash as an operator writes it; null for an unknown one.
  const Entry* Find(const std::string& hash) const;

  /// True for a request that is proven to crash servers.
  bool IsCause(const RequestFingerprint& request) const;

  bool empty() const { return entries_.empty(); }

  /// Sorted by fingerprint.
  const std::vector<Entry>& entries() const { return entries_; }

  const std::vector<Acquittal>& acquittals() const { return acquittals_; }

 private:
  std::vector<Entry> entries_;
  std::vector<Acquittal> acquittals_;
  std::unordered_multimap<std::uint32_t, std::size_t> by_head_;  ///< Indexes of entries_.
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_CRASHING_REQUESTS_H_
