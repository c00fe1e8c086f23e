#ifndef QUETZAL_BASE_RANDOM_H_
#define QUETZAL_BASE_RANDOM_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <random>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace quetzal {

/// Pseudo-random number generator of a process; tests use a fixed seed. Not thread-safe.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  /// Uniform in [0, bound); 0 when bound is 0.
  std::uint64_t Below(std::uint64_t bound) {
    if (bound == 0) return 0;
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine_);
  }

  /// Uniform in [0, 1).
  double Unit() { return std::uniform_real_distribution<double>(0.0, 1.0)(engine_); }

  /// Uniform in [0, bound).
  Duration Below(Duration bound) {
    return Duration(
        static_cast<Duration::rep>(Unit() * static_cast<double>(bound.count())));
  }

  std::uint64_t Next() { return engine_(); }

  /// Up to `count` elements of `from`, in random order.
  template <class T>
  std::vector<T> PickSome(std::vector<T> from, std::size_t count) {
    count = std::min(count, from.size());
    for (std::size_t n = 0; n < count; ++n) {
      std::swap(from[n], from[n + Below(from.size() - n)]);
    }
    from.resize(count);
    return from;
  }

 private:
  std::mt19937_64 engine_;
};

/// Returns a random seed from the operating system.
inline std::uint64_t SeedFromSystem() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) ^ device();
}

}  // namespace quetzal

#endif  // QUETZAL_BASE_RANDOM_H_
