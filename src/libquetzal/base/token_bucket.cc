#include "base/token_bucket.h"

#include <algorithm>

namespace quetzal {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr Duration kMaxWait = std::chrono::hours(1);

/// Rounding of times must not make a caller wait for a token that is due.
constexpr double kTolerance = 1e-6;

}  // namespace

TokenBucket::TokenBucket(double per_second, double burst, double tokens, SteadyTime now)
    : per_second_(per_second), burst_(burst), tokens_(tokens), refilled_at_(now) {}

void TokenBucket::SetRate(double per_second, double burst, SteadyTime now) {
  tokens_ = std::min(burst, TokensAt(now));
  refilled_at_ = now;
  per_second_ = per_second;
  burst_ = burst;
}

bool TokenBucket::Take(SteadyTime now) {
  tokens_ = TokensAt(now);
  refilled_at_ = now;
  if (tokens_ < 1 - kTolerance) return false;
  tokens_ -= 1;
  return true;
}

Duration TokenBucket::WaitFor(double n, SteadyTime now) const {
  const double missing = n - TokensAt(now);
  if (missing <= kTolerance) return Duration::zero();
  const Seconds max_wait = kMaxWait;
  if (missing >= per_second_ * max_wait.count()) return kMaxWait;
  return std::chrono::ceil<Duration>(Seconds(missing / per_second_));
}

double TokenBucket::TokensAt(SteadyTime now) const {
  const Seconds elapsed = now - refilled_at_;
  return std::min(burst_, tokens_ + elapsed.count() * per_second_);
}

}  // namespace quetzal
