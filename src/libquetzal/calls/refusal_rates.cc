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

/// Room is there again when the load falls. How long that takes is not known; this, by
/// the share that is refused, keeps those who come back from taking it all.
constexpr std::chrono::duration<double> kOverload{2.0};

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
  double refused = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = rates_.find(service);
    if (it != rates_.end()) {
      Rate rate = it->second;
      Age(now, &rate);
      refused = rate.refused / (rate.all + kFewRequests);
    }
  }
  const auto pause = std::chrono::duration_cast<Duration>(kOverload * refused);
  return std::clamp(wait + pause, kShortest, kLongest);
}

void RefusalRates::Age(SteadyTime now, Rate* rate) {
  const std::chrono::duration<double> age = now - rate->at;
  const double kept = std::exp(-age.count() / kMemorySeconds);
  rate->refused *= kept;
  rate->all *= kept;
  rate->at = now;
}

}  // namespace quetzal
