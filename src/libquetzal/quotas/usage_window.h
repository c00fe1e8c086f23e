#ifndef QUETZAL_QUOTAS_USAGE_WINDOW_H_
#define QUETZAL_QUOTAS_USAGE_WINDOW_H_

#include <array>
#include <cstdint>

#include "base/clock.h"

namespace quetzal {

/// Counts events over the last quota window, in slots of 250 ms. The sum covers between 5
/// and 5.25 s, so it is never below that of any 5 s that end now.
class UsageWindow {
 public:
  void Add(double count, SteadyTime now);

  /// Adds events whose times are unknown, spread evenly over the window that ends now.
  void Spread(double count, SteadyTime now);

  double Sum(SteadyTime now) const;

 private:
  static constexpr std::size_t kSlots = 21;

  void AdvanceTo(std::int64_t slot);

  std::array<float, kSlots> counts_{};
  std::int64_t latest_ = 0;
};

}  // namespace quetzal

#endif  // QUETZAL_QUOTAS_USAGE_WINDOW_H_
