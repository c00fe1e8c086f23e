#ifndef QUETZAL_CALLS_CRASH_REPORT_H_
#define QUETZAL_CALLS_CRASH_REPORT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "calls/request_fingerprint.h"
#include "membership.pb.h"

namespace quetzal {

/// The end of a backend server that did not say that it leaves, as its node observed it.
struct CrashReport {
  std::uint64_t id = 0;  ///< Unique in the fleet.
  /// Requests that ran when the server ended. At least one of them may have caused it.
  std::vector<RequestFingerprint> requests;
  std::size_t on_trial = 0;    ///< So many of the first requests ran on trial.
  std::uint32_t software = 0;  ///< HashOfSoftware.
  std::string instance;        ///< That told of it.
};

/// Tells which backend servers run the same software.
std::uint32_t HashOfSoftware(const std::string& service, const std::string& version);

/// Keeps those requests of `crash` for which `keep` is true.
void KeepRequests(const std::function<bool(const RequestFingerprint& request)>& keep,
                  CrashReport* crash);

/// Crashes that no longer count against a request.
struct Acquittal {
  std::uint64_t digest = 0;  ///< Of the request.
  std::vector<std::uint64_t> crashes;
};

ServerCrash ToMessage(const CrashReport& crash);

/// Ignores fingerprints that are incomplete. `instance` told of the crash.
CrashReport FromMessage(const ServerCrash& message, const std::string& instance = {});

CrashAcquittal ToMessage(const Acquittal& acquittal);
Acquittal FromMessage(const CrashAcquittal& message);

}  // namespace quetzal

#endif  // QUETZAL_CALLS_CRASH_REPORT_H_
