#include "base/clock.h"

#include <ctime>

namespace quetzal {

// std::chrono::steady_clock does not advance while the machine is suspended;
// CLOCK_BOOTTIME does.
SteadyTime SystemClock::Now() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return SteadyTime(std::chrono::seconds(now.tv_sec) +
                    std::chrono::nanoseconds(now.tv_nsec));
}

}  // namespace quetzal
