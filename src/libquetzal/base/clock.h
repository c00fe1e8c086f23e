#ifndef QUETZAL_BASE_CLOCK_H_
#define QUETZAL_BASE_CLOCK_H_

#include <chrono>

namespace quetzal {

using SteadyTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;
using Duration = std::chrono::nanoseconds;

/// Source of time. Code that makes decisions reads the time only through this interface.
class Clock {
 public:
  virtual ~Clock() = default;

  /// Monotonic time of this process.
  virtual SteadyTime Now() const = 0;

  /// Wall time, which may jump and differs between instances.
  virtual WallTime WallNow() const = 0;
};

/// The clocks of the machine. Now() includes the time that the machine was suspended, so
/// that a suspension of its holder does not extend a lease.
class SystemClock final : public Clock {
 public:
  SteadyTime Now() const override;
  WallTime WallNow() const override { return std::chrono::system_clock::now(); }
};

/// A clock for tests that moves only when it is advanced.
class ManualClock final : public Clock {
 public:
  SteadyTime Now() const override { return now_; }
  WallTime WallNow() const override { return wall_; }

  void Advance(Duration by) {
    now_ += by;
    wall_ += std::chrono::duration_cast<WallTime::duration>(by);
  }

  /// Moves only the wall clock, as a clock adjustment does.
  void SkewWall(Duration by) {
    wall_ += std::chrono::duration_cast<WallTime::duration>(by);
  }

 private:
  SteadyTime now_{std::chrono::hours(1)};
  WallTime wall_{std::chrono::seconds(1'750'000'000)};
};

}  // namespace quetzal

#endif  // QUETZAL_BASE_CLOCK_H_
