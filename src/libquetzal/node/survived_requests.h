#ifndef QUETZAL_NODE_SURVIVED_REQUESTS_H_
#define QUETZAL_NODE_SURVIVED_REQUESTS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <vector>

#include "base/clock.h"
#include "calls/crash_report.h"
#include "calls/crashing_requests.h"

namespace quetzal {

/// Requests that lost a server and were answered by another one, which their crash
/// reports cannot show. They are excused from crashes of one moment only: a request that
/// crashes some of the servers that run it is answered by the others. Not thread-safe.
class SurvivedRequests {
 public:
  explicit SurvivedRequests(const Clock* clock) : clock_(clock) {}

  void Record(const RequestFingerprint& request);

  /// Returns the acquittals of those that are among `causes`, each crash once.
  std::vector<Acquittal> Excuse(const CrashingRequests& causes);

 private:
  struct Entry {
    std::uint64_t digest = 0;
    SteadyTime at;
  };

  struct Blame {
    SteadyTime first_seen;
    std::set<std::uint64_t> excused;  ///< Crashes.
  };

  const Clock* clock_;
  std::deque<Entry> entries_;              ///< The latest is last.
  std::map<std::uint64_t, Blame> blames_;  ///< By digest.
};

}  // namespace quetzal

#endif  // QUETZAL_NODE_SURVIVED_REQUESTS_H_
