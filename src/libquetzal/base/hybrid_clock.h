#ifndef QUETZAL_BASE_HYBRID_CLOCK_H_
#define QUETZAL_BASE_HYBRID_CLOCK_H_

#include <cstdint>
#include <mutex>
#include <string>

#include "base/clock.h"

namespace quetzal {

/// Hybrid logical time: microseconds of wall time since 1970, and a counter that orders
/// events within one microsecond.
struct HybridTime {
  std::uint64_t micros = 0;
  std::uint32_t counter = 0;

  /// "micros.counter".
  std::string ToString() const;
};

bool operator<(const HybridTime& a, const HybridTime& b);
bool operator==(const HybridTime& a, const HybridTime& b);

/// Parses "micros.counter". Throws Error(kMessageMalformed).
HybridTime ParseHybridTime(const std::string& text);

/// Hybrid logical clock (Kulkarni et al., 2014). Thread-safe.
class HybridClock {
 public:
  explicit HybridClock(const Clock* clock) : clock_(clock) {}

  /// Returns the time for a local event or for a message about to be sent.
  HybridTime Tick();

  /// Merges the time of a received message into the clock and returns the time of its
  /// receipt; this and all later times are greater than `remote`.
  HybridTime Observe(const HybridTime& remote);

 private:
  HybridTime AdvanceLocked(const HybridTime& floor);

  const Clock* clock_;
  std::mutex mutex_;
  HybridTime last_;
};

}  // namespace quetzal

#endif  // QUETZAL_BASE_HYBRID_CLOCK_H_
