#ifndef QUETZAL_QUOTAS_TEAM_QUOTA_H_
#define QUETZAL_QUOTAS_TEAM_QUOTA_H_

#include <optional>
#include <string>

#include "base/clock.h"

namespace quetzal {

/// Decides whether a request of a team is within its quota. Safe from any thread.
class TeamQuota {
 public:
  virtual ~TeamQuota() = default;

  /// Counts one request; returns null when it is admitted, otherwise the time after which
  /// the caller may try again.
  virtual std::optional<Duration> Admit(const std::string& team) = 0;
};

}  // namespace quetzal

#endif  // QUETZAL_QUOTAS_TEAM_QUOTA_H_
