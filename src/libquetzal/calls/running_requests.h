#ifndef QUETZAL_CALLS_RUNNING_REQUESTS_H_
#define QUETZAL_CALLS_RUNNING_REQUESTS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "base/clock.h"

namespace quetzal {

/// The requests that a backend server runs, to notice that it became slow before the
/// first of them ends. The caller serializes the calls.
class RunningRequests {
 public:
  /// `expected` is the time that the request should take; zero: not known.
  void Add(std::uint64_t id, Duration expected, SteadyTime now, std::string team = {});

  /// Returns the team of the removed request; empty when it has none or does not run.
  std::string Remove(std::uint64_t id);

  /// Removes the request that has been running for the longest time.
  std::string RemoveOldest();

  /// Mean of the expected times; zero when none is known.
  Duration mean_expected() const;

  /// How many times longer the requests take than expected; 1 without a clear sign of it.
  /// A few requests that never end are no such sign.
  double Slowdown(SteadyTime now) const;

 private:
  struct Running {
    Duration expected{};
    SteadyTime since;
    std::string team;
  };

  std::unordered_map<std::uint64_t, Running> running_;
  std::size_t known_ = 0;    ///< Requests whose expected time is known.
  Duration expected_sum_{};  ///< Of their times.
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_RUNNING_REQUESTS_H_
