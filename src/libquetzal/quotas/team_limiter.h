#ifndef QUETZAL_QUOTAS_TEAM_LIMITER_H_
#define QUETZAL_QUOTAS_TEAM_LIMITER_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "base/token_bucket.h"
#include "quota.pb.h"
#include "quotas/team_limit.h"
#include "quotas/team_quota.h"
#include "quotas/usage_window.h"

namespace quetzal {

/// Requests of a team at one node.
struct TeamCount {
  std::string team;
  std::uint64_t asked = 0;
  std::uint64_t admitted = 0;
  std::uint64_t asked_in_window = 0;
  std::uint64_t admitted_in_window = 0;
  std::optional<double> share_per_second;  ///< Null: not limited by the grant.
};

/// The quotas of all teams at one node. Safe from any thread; its mutex is never held
/// while another one is locked.
///
/// With a valid grant, a team with a share has a token bucket, and the others are bounded
/// only by their whole quota; once the grant is older than usual, also by a little more
/// than what they used before. Without a grant, each second allows a part of the quota
/// that is the same at every node; where that is below one request, it is drawn by lot.
/// Tokens are not saved up then, because the saved tokens of all nodes together could
/// exceed the quota of a small team many times.
class TeamLimiter final : public TeamQuota {
 public:
  TeamLimiter(const Clock* clock, std::uint64_t seed) : clock_(clock), random_(seed) {}

  std::optional<Duration> Admit(const std::string& team) override;

  /// Replaces the limits; the counts of teams that remain are kept.
  void SetLimits(const TeamLimits& limits);

  /// Sets the number of nodes that share the quotas; 0: unknown, nothing is admitted
  /// without a grant.
  void SetNodes(std::size_t nodes);

  /// Replaces the shares. They hold until `valid_until`, checked at every request; from
  /// `overdue_at` on a later grant should have arrived.
  void SetGrant(const std::vector<TeamShare>& shares, SteadyTime overdue_at,
                SteadyTime valid_until);

  /// Counts of all teams since their limits were first set.
  std::vector<TeamCount> Counts() const;

  /// True when some team that is not limited has asked for much more than an even part of
  /// its quota since the last MarkReported(), so that the next report should not wait.
  bool surging() const { return surging_; }
  void MarkReported();

  bool has_valid_grant() const;

 private:
  struct Team {
    TeamLimit limit;
    UsageWindow asked_window;
    UsageWindow admitted_window;
    std::uint64_t asked = 0;
    std::uint64_t admitted = 0;
    std::uint64_t asked_at_report = 0;
    std::optional<TokenBucket> share;
    std::optional<TokenBucket> overdue;  ///< While the grant is overdue.
    std::int64_t second = -1;            ///< That `allowed` belongs to.
    double allowed = 0;
  };

  /// Time until the next request fits; zero: this one does.
  Duration Decide(Team* team, SteadyTime now);
  Duration DecideOverdue(Team* team, SteadyTime now);
  Duration DecideWithoutGrant(Team* team, SteadyTime now);

  const Clock* clock_;
  std::atomic<bool> surging_{false};
  mutable std::mutex mutex_;
  Random random_;
  std::map<std::string, Team> teams_;
  std::size_t nodes_ = 0;
  SteadyTime overdue_at_{};
  SteadyTime valid_until_{};
};

}  // namespace quetzal

#endif  // QUETZAL_QUOTAS_TEAM_LIMITER_H_
