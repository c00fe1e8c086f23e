#ifndef QUETZAL_CALLS_CRASHING_REQUESTS_H_
#define QUETZAL_CALLS_CRASHING_REQUESTS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "calls/crash_report.h"
#include "calls/request_fingerprint.h"

namespace quetzal {

/// How long a crash counts against the requests that ran in it.
inline constexpr Duration kCrashRetention = std::chrono::minutes(10);

enum class CrashVerdict {
  kHarmless,   ///< Not known to crash servers.
  kUndecided,  ///< More of the body decides.
  kCrashes,
};

/// The requests that crash the backend servers that run them, as the crash reports of the
/// fleet show. Immutable.
class CrashingRequests {
 public:
  struct Entry {
    RequestFingerprint request;
    std::vector<std::uint64_t> crashes;  ///< Ids of those that it caused.
  };

  /// Reports with the same id count once.
  explicit CrashingRequests(const std::vector<CrashReport>& reports,
                            const std::vector<Acquittal>& acquittals = {});

  /// `body_complete`: no more of the body follows.
  CrashVerdict Judge(const RequestIdentity& request, bool body_complete) const;

  bool Contains(const RequestFingerprint& request) const;

  /// Finds an entry by its hash as an operator writes it; null for an unknown one.
  const Entry* Find(const std::string& hash) const;

  bool empty() const { return entries_.empty(); }

  /// Sorted by fingerprint.
  const std::vector<Entry>& entries() const { return entries_; }

 private:
  std::vector<Entry> entries_;
  std::unordered_multimap<std::uint32_t, std::uint64_t> digests_;  ///< By head.
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_CRASHING_REQUESTS_H_
