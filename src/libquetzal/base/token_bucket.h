#ifndef QUETZAL_BASE_TOKEN_BUCKET_H_
#define QUETZAL_BASE_TOKEN_BUCKET_H_

#include "base/clock.h"

namespace quetzal {

/// Grants a number of tokens per second, and saves some of those not taken. The caller
/// passes the time and serializes the calls.
class TokenBucket {
 public:
  /// Starts with `tokens` of at most `burst` saved ones.
  TokenBucket(double per_second, double burst, double tokens, SteadyTime now);

  /// Changes the rate and the limit of saved tokens, and keeps the saved ones.
  void SetRate(double per_second, double burst, SteadyTime now);

  double per_second() const { return per_second_; }

  /// False if there is no whole token.
  bool Take(SteadyTime now);

  /// Time until `n` tokens can be taken; at most an hour.
  Duration WaitFor(double n, SteadyTime now) const;

 private:
  double TokensAt(SteadyTime now) const;

  double per_second_;
  double burst_;
  double tokens_;
  SteadyTime refilled_at_;
};

}  // namespace quetzal

#endif  // QUETZAL_BASE_TOKEN_BUCKET_H_
