#ifndef QUETZAL_BENCH_LATENCY_WINDOW_H_
#define QUETZAL_BENCH_LATENCY_WINDOW_H_

#include <algorithm>
#include <cstddef>
#include <vector>

#include "base/clock.h"

namespace quetzal {

/// The most recent latencies that a node measured.
class LatencyWindow {
 public:
  void Add(Duration latency) {
    if (latencies_.size() < kCapacity) {
      latencies_.push_back(latency);
    } else {
      latencies_[next_] = latency;
    }
    next_ = (next_ + 1) % kCapacity;
  }

  /// Returns zero until kMinSamples latencies have been added.
  Duration Quantile(double quantile) const {
    if (latencies_.size() < kMinSamples) return {};
    std::vector<Duration> sorted = latencies_;
    const auto last = static_cast<double>(sorted.size() - 1);
    const auto rank = static_cast<std::ptrdiff_t>(quantile * last);
    std::nth_element(sorted.begin(), sorted.begin() + rank, sorted.end());
    return *(sorted.begin() + rank);
  }

 private:
  static constexpr std::size_t kCapacity = 128;
  static constexpr std::size_t kMinSamples = 16;

  std::vector<Duration> latencies_;
  std::size_t next_ = 0;
};

}  // namespace quetzal

#endif  // QUETZAL_BENCH_LATENCY_WINDOW_H_
