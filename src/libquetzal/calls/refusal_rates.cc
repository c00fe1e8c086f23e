#include "calls/refusal_rates.h"

#include <algorithm>
#include <cmath>

namespace quetzal {
namespace {

/// Decay time of the rate: long compared with one request, short compared with a burst.
constexpr double kDecaySeconds = 1.0;

/// Added to the number of requests, so that few requests give a low rate: the outcome of
/// a single request says little.
constexpr double kSmoothingRequests = 5;

constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);

/// Retry delay, scaled by the refused share. How long an overload lasts is not known;
/// this delay keeps the retries from taking all capacity that becomes free.
constexpr std::chrono::duration<double> kOverloadDelay{2.0};

}  // namespace

void RefusalRates::Record(const std::string& service, bool refused, SteadyTime now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Rate& rate = rates_[service];
  Decay(now, &rate);
  rate.all += 1;
  if (refused) rate.refused += 1;
}

Duration RefusalRates::RetryAfter(const std::string& service, Duration wait,
                                  SteadyTime now, double unit) const {
  double refused = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = rates_.find(service);
    if (it != rates_.end()) {
      Rate rate = it->second;
      Decay(now, &rate);
      refused = rate.refused / (rate.all + kSmoothingRequests);
    }
  }
  const auto delay =
      std::chrono::duration_cast<Duration>(kOverloadDelay * refused * (0.5 + unit));
  return std::clamp(wait + delay, kMinRetryAfter, kMaxRetryAfter);
}

void RefusalRates::Decay(SteadyTime now, Rate* rate) {
  const std::chrono::duration<double> age = now - rate->at;
  const double kept = std::exp(-age.count() / kDecaySeconds);
  rate->refused *= kept;
  rate->all *= kept;
  rate->at = now;
}

}  // namespace quetzal
