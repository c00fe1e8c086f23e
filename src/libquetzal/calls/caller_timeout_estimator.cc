#include "calls/caller_timeout_estimator.h"

#include <algorithm>

namespace quetzal {
namespace {

/// A shorter timeout of the callers of a route takes effect within two windows.
constexpr Duration kWindow = std::chrono::seconds(10);

/// Callers of further routes count as being at their first attempt.
constexpr std::size_t kMaxRoutes = 1024;

}  // namespace

Duration CallerTimeoutEstimator::ElapsedBefore(const std::string& route,
                                               Duration remaining, SteadyTime now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (routes_.size() >= kMaxRoutes && routes_.count(route) == 0) return {};
  LongestRemaining& longest = routes_[route];
  if (now >= longest.window_end) {
    const bool idle = now >= longest.window_end + kWindow;
    longest.remaining = {idle ? Duration{} : longest.remaining[1], Duration{}};
    longest.window_end = now + kWindow;
  }
  longest.remaining[1] = std::max(longest.remaining[1], remaining);
  return std::max(longest.remaining[0], longest.remaining[1]) - remaining;
}

}  // namespace quetzal
