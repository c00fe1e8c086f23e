#include "calls/caller_patience.h"

#include <algorithm>

namespace quetzal {
namespace {

/// Callers of a route that change their patience are understood within two spans.
constexpr Duration kSpan = std::chrono::seconds(10);

/// Routes that are kept; callers of further ones count as new.
constexpr std::size_t kMaxRoutes = 1024;

}  // namespace

Duration CallerPatience::SpentBefore(const std::string& route, Duration remaining,
                                     SteadyTime now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (routes_.size() >= kMaxRoutes && routes_.count(route) == 0) return {};
  Longest& longest = routes_[route];
  if (now >= longest.span_end) {
    const bool idle = now >= longest.span_end + kSpan;
    longest.remaining = {idle ? Duration{} : longest.remaining[1], Duration{}};
    longest.span_end = now + kSpan;
  }
  longest.remaining[1] = std::max(longest.remaining[1], remaining);
  return std::max(longest.remaining[0], longest.remaining[1]) - remaining;
}

}  // namespace quetzal
