#ifndef QUETZAL_NODE_CRASH_LOG_H_
#define QUETZAL_NODE_CRASH_LOG_H_

#include <cstdint>
#include <deque>

#include "base/clock.h"
#include "calls/crash_report.h"
#include "calls/crashing_requests.h"

namespace quetzal {

/// Crashes that a node has observed, also in its earlier runs. They expire after
/// kCrashRetention. Bounded: crashes without a known cause are dropped first, the oldest
/// of them before the others. Not thread-safe.
class CrashLog {
 public:
  explicit CrashLog(const Clock* clock) : clock_(clock) {}

  /// Adds a crash that is not known yet; false for others.
  bool Add(const CrashReport& crash);

  /// Adds an acquittal, and with it replaces an earlier one of the request.
  void Acquit(const Acquittal& acquittal);

  /// Adds one of an earlier run of this node; false if the request has one already.
  bool AddFormer(const Acquittal& acquittal);

  /// Keeps, of each crash with a proven cause, only its causes, and drops the requests
  /// that were acquitted of it.
  void Explain(const CrashingRequests& causes);

  /// True when there were expired ones.
  bool DropExpired();

  void WriteTo(ServerObservations* observations) const;

 private:
  struct Entry {
    CrashReport crash;
    SteadyTime added;
    bool explained = false;
  };

  struct TimedAcquittal {
    Acquittal acquittal;
    SteadyTime added;
  };

  void DropExcess();

  const Clock* clock_;
  std::deque<Entry> entries_;              ///< The latest is last.
  std::deque<TimedAcquittal> acquittals_;  ///< The latest is last.
};

}  // namespace quetzal

#endif  // QUETZAL_NODE_CRASH_LOG_H_
