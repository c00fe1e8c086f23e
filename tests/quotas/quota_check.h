#ifndef QUETZAL_TESTS_QUOTAS_QUOTA_CHECK_H_
#define QUETZAL_TESTS_QUOTAS_QUOTA_CHECK_H_

#include <cstdio>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "quotas/quota_fleet.h"

namespace quetzal {

using Load = QuotaFleet::Load;

inline constexpr double kUsual = 1 / 1.6;  // Usual demand as a part of the rate.
inline constexpr double kBegin = 8;  // Nodes know each other, and windows are filled.

inline std::function<double(double)> Constant(double per_second) {
  return [per_second](double) { return per_second; };
}

/// `before` until `at`, then `after`.
inline std::function<double(double)> StepLoad(double before, double at, double after) {
  return [=](double seconds) { return seconds < at ? before : after; };
}

/// A large, a middle and a small team, each with `factor` times its rate from `at` on.
inline std::vector<Load> Teams(double at, double factor, double before = kUsual) {
  std::vector<Load> loads;
  for (const auto& [name, rate] : std::vector<std::pair<std::string, double>>{
           {"large", 760}, {"middle", 35}, {"small", 3}}) {
    loads.push_back(
        {{name, rate, rate}, StepLoad(before * rate, at, factor * rate), nullptr});
  }
  return loads;
}

/// Prints the figures of one team and checks its bound in windows that end in the time
/// given.
inline void Check(const QuotaFleet& fleet, const char* what, double from, double to,
                  const std::vector<Load>& loads) {
  for (std::size_t team = 0; team < loads.size(); ++team) {
    const TeamLimit& limit = loads[team].limit;
    const double bound = QuotaFleet::Bound(limit);
    const auto counts = fleet.Between(team, from, to);
    const auto largest = fleet.LargestWindow(team, from, to);
    std::printf(
        "%-24s %5zu nodes  %-7s asked %6.0f%% of rate, admitted %4.0f%%, refused "
        "%6llu of %6llu; largest window %3.0f%% of its bound\n",
        what, fleet.size(), limit.team.c_str(),
        100 * static_cast<double>(counts.asked) / (to - from) / limit.per_second,
        100 * static_cast<double>(counts.admitted) / (to - from) / limit.per_second,
        static_cast<unsigned long long>(counts.refused()),
        static_cast<unsigned long long>(counts.asked),
        100 * static_cast<double>(largest) / bound);
    EXPECT_LE(static_cast<double>(largest), bound) << what << ' ' << limit.team;
  }
}

/// Checks that at most `permille` of each team's requests were refused.
inline void CheckRefused(const QuotaFleet& fleet, double from, double to,
                         std::size_t teams, double permille) {
  for (std::size_t team = 0; team < teams; ++team) {
    const auto counts = fleet.Between(team, from, to);
    EXPECT_LE(static_cast<double>(counts.refused()) * 1000,
              permille * static_cast<double>(counts.asked))
        << "team " << team;
  }
}

}  // namespace quetzal

#endif  // QUETZAL_TESTS_QUOTAS_QUOTA_CHECK_H_
