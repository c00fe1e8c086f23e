#ifndef QUETZAL_CALLS_REFUSAL_RATES_H_
#define QUETZAL_CALLS_REFUSAL_RATES_H_

#include <map>
#include <mutex>
#include <string>

#include "base/clock.h"

namespace quetzal {

/// Share of the requests of each service that was refused lately for want of room. Safe
/// for use from several threads.
class RefusalRates {
 public:
  void Note(const std::string& service, bool refused, SteadyTime now);

  /// Time after which a caller whose request would have waited for `wait` can expect to
  /// be served: while many are refused, most of those who come back are refused again.
  Duration RetryAfter(const std::string& service, Duration wait, SteadyTime now) const;

 private:
  struct Rate {
    double refused = 0;
    double all = 0;
    SteadyTime at;
  };
  static void Age(SteadyTime now, Rate* rate);

  mutable std::mutex mutex_;
  std::map<std::string, Rate> rates_;
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_REFUSAL_RATES_H_
