#ifndef QUETZAL_QUOTAS_TEAM_LIMIT_H_
#define QUETZAL_QUOTAS_TEAM_LIMIT_H_

#include <chrono>
#include <string>
#include <vector>

#include "base/clock.h"

namespace quetzal {

/// Time over which the admissions of a team are bounded.
inline constexpr std::chrono::seconds kQuotaWindow{5};

/// Quota of a team over all nodes.
struct TeamLimit {
  std::string team;
  double per_second = 0;  ///< 0: no limit.
  double burst = 0;
};

using TeamLimits = std::vector<TeamLimit>;

/// Requests that the quota allows within one window.
inline double WindowLimit(const TeamLimit& limit) {
  return limit.per_second * static_cast<double>(kQuotaWindow.count()) + limit.burst;
}

}  // namespace quetzal

#endif  // QUETZAL_QUOTAS_TEAM_LIMIT_H_
