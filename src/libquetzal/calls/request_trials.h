#ifndef QUETZAL_CALLS_REQUEST_TRIALS_H_
#define QUETZAL_CALLS_REQUEST_TRIALS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "calls/crash_report.h"
#include "calls/crashing_requests.h"
#include "calls/routing_snapshot.h"

namespace quetzal {

/// The server among `targets` that a suspected request may run on, the same one for all
/// nodes with these targets, so that a doubt costs one server at a time. Null when none
/// is up that runs software that crashed.
const BackendTarget* TrialServer(const CrashingRequests::Entry& suspect,
                                 const std::vector<const BackendTarget*>& targets);

/// The runs of suspected requests at the local backend server, one request at a time, so
/// that a crash shows which of them caused it. Thread-safe.
class RequestTrials {
 public:
  /// A run on trial.
  struct Run {
    std::uint64_t digest = 0;            ///< Of the request.
    std::vector<std::uint64_t> crashes;  ///< That the run may acquit it of.
  };

  /// Begins a run at a server with this software; null while another request is on trial.
  std::optional<Run> Begin(const CrashingRequests::Entry& suspect,
                           std::uint32_t software);

  /// Ends a run. `finished`: the server has answered. Returns the acquittal once enough
  /// runs have finished since the latest of the crashes became known.
  std::optional<Acquittal> End(const Run& run, bool finished);

 private:
  struct Record {
    std::vector<std::uint64_t> crashes;
    std::size_t finished = 0;  ///< Runs.
  };

  std::mutex mutex_;
  std::uint64_t active_ = 0;                 ///< Digest of the request on trial.
  std::size_t runs_ = 0;                     ///< Of that request, not ended.
  std::map<std::uint64_t, Record> records_;  ///< By digest.
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_REQUEST_TRIALS_H_
