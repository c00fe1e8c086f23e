#ifndef QUETZAL_BASE_BACKOFF_H_
#define QUETZAL_BASE_BACKOFF_H_

#include <algorithm>

#include "base/clock.h"
#include "base/random.h"

namespace quetzal {

/// Exponential backoff with full jitter.
class Backoff {
 public:
  Backoff(Duration base, Duration cap, Random* random)
      : base_(base), cap_(cap), random_(random) {}

  /// Returns the delay before the next attempt: uniform between 0 and the current
  /// ceiling, which doubles with each attempt up to the cap.
  Duration Next() {
    const Duration ceiling =
        std::min<Duration>(cap_, base_ * (1LL << std::min(attempts_, kMaxShift)));
    ++attempts_;
    return random_->Below(ceiling);
  }

  void Reset() { attempts_ = 0; }
  int attempts() const { return attempts_; }

 private:
  static constexpr int kMaxShift = 20;

  Duration base_;
  Duration cap_;
  Random* random_;
  int attempts_ = 0;
};

}  // namespace quetzal

#endif  // QUETZAL_BASE_BACKOFF_H_
