#ifndef QUETZAL_CALLS_CALLER_TIMEOUT_ESTIMATOR_H_
#define QUETZAL_CALLS_CALLER_TIMEOUT_ESTIMATOR_H_

#include <array>
#include <map>
#include <mutex>
#include <string>

#include "base/clock.h"

namespace quetzal {

/// Estimates the total timeout of the callers of each route: the longest remaining time
/// that they stated recently. A caller that states less has spent the difference on
/// earlier attempts. Safe for use from several threads.
class CallerTimeoutEstimator {
 public:
  /// Records that a caller of `route` waits for `remaining` from `now` on. Returns the
  /// time that it has spent on earlier attempts; zero when no caller stated more
  /// recently.
  Duration ElapsedBefore(const std::string& route, Duration remaining, SteadyTime now);

 private:
  /// The longest times of the previous window and of the current one, in this order.
  struct LongestRemaining {
    std::array<Duration, 2> remaining{};
    SteadyTime window_end;
  };

  std::mutex mutex_;
  std::map<std::string, LongestRemaining> routes_;
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_CALLER_TIMEOUT_ESTIMATOR_H_
