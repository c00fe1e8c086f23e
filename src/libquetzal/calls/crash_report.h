#ifndef QUETZAL_CALLS_CRASH_REPORT_H_
#define QUETZAL_CALLS_CRASH_REPORT_H_

#include <cstdint>
#include <vector>

#include "calls/request_fingerprint.h"
#include "membership.pb.h"

namespace quetzal {

/// The end of a backend server that did not say that it leaves, as its node observed it.
struct CrashReport {
  std::uint64_t id = 0;  ///< Unique in the fleet.
  /// Requests that ran when the server ended. At least one of them may have caused it.
  std::vector<RequestFingerprint> requests;
};

/// Crashes that no longer count against a request.
struct Acquittal {
  std::uint64_t digest = 0;  ///< Of the request.
  std::vector<std::uint64_t> crashes;
};

ServerCrash ToMessage(const CrashReport& crash);

/// Ignores fingerprints that are incomplete.
CrashReport FromMessage(const ServerCrash& message);

CrashAcquittal ToMessage(const Acquittal& acquittal);
Acquittal FromMessage(const CrashAcquittal& message);

}  // namespace quetzal

#endif  // QUETZAL_CALLS_CRASH_REPORT_H_
