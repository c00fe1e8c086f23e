#ifndef QUETZAL_CALLS_CALLER_PATIENCE_H_
#define QUETZAL_CALLS_CALLER_PATIENCE_H_

#include <array>
#include <map>
#include <mutex>
#include <string>

#include "base/clock.h"

namespace quetzal {

/// How long callers of each route wait from their first attempt on. One that states less
/// time left has spent the difference on earlier attempts. Safe for use from several
/// threads.
class CallerPatience {
 public:
  /// A caller of `route` waits for `remaining` from `now` on. Returns the time that it
  /// has spent before; zero when most callers state as much.
  Duration SpentBefore(const std::string& route, Duration remaining, SteadyTime now);

 private:
  /// The longest time of the current span and of the one before it.
  struct Longest {
    std::array<Duration, 2> remaining{};
    SteadyTime span_end;
  };

  std::mutex mutex_;
  std::map<std::string, Longest> routes_;
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_CALLER_PATIENCE_H_
