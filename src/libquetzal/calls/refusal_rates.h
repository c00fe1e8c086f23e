#ifndef QUETZAL_CALLS_REFUSAL_RATES_H_
#define QUETZAL_CALLS_REFUSAL_RATES_H_

#include <map>
#include <mutex>
#include <string>

#include "base/clock.h"

namespace quetzal {

/// Share of the requests of each service that was recently refused for lack of capacity.
/// Safe for use from several threads.
class RefusalRates {
 public:
  void Record(const std::string& service, bool refused, SteadyTime now);

  /// Retry delay for a caller whose request would have waited for `wait`. It grows with
  /// the share of refused requests, since most retries are then refused again. `unit` is
  /// uniform in [0, 1) and spreads the callers that are refused together; 0.5 gives the
  /// mean.
  Duration RetryAfter(const std::string& service, Duration wait, SteadyTime now,
                      double unit = 0.5) const;

 private:
  struct Rate {
    double refused = 0;
    double all = 0;
    SteadyTime at;
  };
  static void Decay(SteadyTime now, Rate* rate);

  mutable std::mutex mutex_;
  std::map<std::string, Rate> rates_;
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_REFUSAL_RATES_H_
