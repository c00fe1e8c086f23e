#ifndef QUETZAL_NODE_CRASH_DETECTOR_H_
#define QUETZAL_NODE_CRASH_DETECTOR_H_

#include <deque>
#include <optional>
#include <string>

#include "base/clock.h"
#include "calls/call_path.h"
#include "calls/crash_report.h"

namespace quetzal {

/// Finds out which requests ran on a backend server when it ended. A closed connection
/// alone is no proof of an end. Not thread-safe.
class CrashDetector {
 public:
  explicit CrashDetector(const Clock* clock) : clock_(clock) {}

  void RecordCut(const CutRequest& cut);

  /// Records that the process `server_id` has ended without leaving.
  void RecordEnd(const std::string& server_id);

  /// Returns a crash shortly after its RecordEnd, when all its cuts have been recorded;
  /// null if no request was cut. Call regularly.
  std::optional<CrashReport> TakeCrash();

  /// Process of the last crash returned.
  const std::string& crashed_server() const { return crashed_server_; }

 private:
  struct TimedCut {
    CutRequest cut;
    SteadyTime at;
  };

  const Clock* clock_;
  std::deque<TimedCut> cuts_;  ///< The latest is last.
  std::string ended_server_;
  std::optional<SteadyTime> ended_at_;  ///< Of a crash that was not returned yet.
  std::string crashed_server_;
};

}  // namespace quetzal

#endif  // QUETZAL_NODE_CRASH_DETECTOR_H_
