#include "quotas/usage_window.h"

#include <algorithm>
#include <chrono>

namespace quetzal {
namespace {

constexpr std::chrono::milliseconds kSlot{250};

std::int64_t SlotOf(SteadyTime time) { return time.time_since_epoch() / kSlot; }

}  // namespace

void UsageWindow::AdvanceTo(std::int64_t slot) {
  const std::int64_t first =
      std::max(latest_ + 1, slot - static_cast<std::int64_t>(kSlots) + 1);
  for (std::int64_t n = first; n <= slot; ++n) {
    counts_[static_cast<std::size_t>(n) % kSlots] = 0;
  }
  latest_ = std::max(latest_, slot);
}

void UsageWindow::Add(double count, SteadyTime now) {
  const std::int64_t slot = SlotOf(now);
  AdvanceTo(slot);
  counts_[static_cast<std::size_t>(slot) % kSlots] += static_cast<float>(count);
}

void UsageWindow::Spread(double count, SteadyTime now) {
  AdvanceTo(SlotOf(now));
  for (float& slot : counts_) slot += static_cast<float>(count / kSlots);
}

double UsageWindow::Sum(SteadyTime now) const {
  const std::int64_t oldest = SlotOf(now) - static_cast<std::int64_t>(kSlots) + 1;
  double sum = 0;
  for (std::size_t n = 0; n < kSlots; ++n) {
    const std::int64_t slot = latest_ - static_cast<std::int64_t>(n);
    if (slot < oldest || slot < 0) break;
    sum += counts_[static_cast<std::size_t>(slot) % kSlots];
  }
  return sum;
}

}  // namespace quetzal
