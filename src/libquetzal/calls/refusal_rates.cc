#include "calls/refusal_rates.h"

#include <algorithm>
#include <cmath>

namespace quetzal {
namespace {

/// Memory of the rate: long against one request, short against a burst.
constexpr double kMemorySeconds = 1.0;

/// A single caller's fate says little.
constexpr double kFewRequests = 5;

constexpr Duration kShortest = std::chrono::milliseconds(50);
constexpr Duration kLongest = std::chrono::seconds(5);

/// Tries that a caller is told to expect at most.
constexpr double kMostTries = 10;

}  // namespace

void RefusalRates::Note(const std::string& service, bool refused, SteadyTime now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Rate& rate = rates_[service];
  Age(now, &rate);
  rate.all += 1;
  if (refused) rate.refused += 1;
}

Duration RefusalRates::RetryAfter(const std::string& service, Duration wait,
                                  SteadyTime now) const {
  double tries = 1;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = rates_.find(service);
    if (it != rates_.end()) {
      Rate rate = it->second;
      Age(now, &rate);
      const double served = rate.all - rate.refused + kFewRequests;
      tries = std::min(kMostTries, (rate.all + kFewRequests) / served);
    }
  }
  const auto scaled =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::nano>(
          static_cast<double>(wait.count()) * tries));
  return std::clamp(scaled, kShortest, kLongest);
}

void RefusalRates::Age(SteadyTime now, Rate* rate) {
  const std::chrono::duration<double> age = now - rate->at;
  const double kept = std::exp(-age.count() / kMemorySeconds);
  rate->refused *= kept;
  rate->all *= kept;
  rate->at = now;
}

}  // namespace quetzal
