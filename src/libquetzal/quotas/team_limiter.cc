#include "quotas/team_limiter.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <set>
#include <utility>

namespace quetzal {
namespace {

constexpr Duration kMinRetry = std::chrono::milliseconds(50);
constexpr Duration kMaxRetry = kQuotaWindow;
constexpr Duration kFullWindowRetry = std::chrono::milliseconds(250);
/// While a grant is overdue, a team may use this many times its usual rate at this node:
/// its load may have jumped everywhere while the coordinator was lost.
constexpr double kOverdueRate = 1.5;
constexpr double kOverdueBurst = 3;
/// Any 5 s overlap up to six of the seconds for which an allowance is drawn.
constexpr double kSecondsPerWindow = 6;
/// A report is sent early when a node is asked for this many times its even part of a
/// quota within a report period of 0.25 s, and for no fewer than kMinSurge requests.
constexpr double kSurge = 2 * 0.25;
constexpr double kMinSurge = 3;

}  // namespace

std::optional<Duration> TeamLimiter::Admit(const std::string& name) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = teams_.find(name);
  if (it == teams_.end()) return std::nullopt;
  Team& team = it->second;
  const SteadyTime now = clock_->Now();
  ++team.asked;
  team.asked_window.Add(1, now);
  if (team.limit.per_second > 0 && nodes_ > 0 && !team.share) {
    const double even = team.limit.per_second / static_cast<double>(nodes_);
    const auto recent = static_cast<double>(team.asked - team.asked_at_report);
    if (recent >= std::max(kMinSurge, kSurge * even)) surging_ = true;
  }
  const Duration wait = Decide(&team, now);
  if (wait == Duration::zero()) {
    ++team.admitted;
    team.admitted_window.Add(1, now);
    return std::nullopt;
  }
  // Spread, so that the callers of a team do not return together.
  const auto jittered =
      std::chrono::duration_cast<Duration>(wait * (1 + random_.Unit() / 2));
  return std::clamp(jittered, kMinRetry, kMaxRetry);
}

Duration TeamLimiter::Decide(Team* team, SteadyTime now) {
  if (team->limit.per_second <= 0) return Duration::zero();
  if (now >= valid_until_) return DecideWithoutGrant(team, now);
  if (team->share) {
    return team->share->Take(now)
               ? Duration::zero()
               : std::max(team->share->WaitFor(1, now), Duration(kMinRetry));
  }
  const double limit = std::max(1.0, WindowLimit(team->limit));
  if (team->admitted_window.Sum(now) + 1 > limit) return kFullWindowRetry;
  return now >= overdue_at_ ? DecideOverdue(team, now) : Duration::zero();
}

Duration TeamLimiter::DecideOverdue(Team* team, SteadyTime now) {
  if (!team->overdue) {
    const double usual = std::max(
        team->admitted_window.Sum(now) / static_cast<double>(kQuotaWindow.count()),
        team->limit.per_second / static_cast<double>(std::max<std::size_t>(1, nodes_)));
    const double per_second = kOverdueRate * usual;
    const double burst = std::max(kOverdueBurst, per_second / 4);
    team->overdue.emplace(per_second, burst, burst, now);
  }
  return team->overdue->Take(now) ? Duration::zero() : kFullWindowRetry;
}

Duration TeamLimiter::DecideWithoutGrant(Team* team, SteadyTime now) {
  if (nodes_ == 0) return std::chrono::seconds(1);
  const double mean =
      WindowLimit(team->limit) / kSecondsPerWindow / static_cast<double>(nodes_);
  const auto second = std::chrono::floor<std::chrono::seconds>(now.time_since_epoch());
  if (second.count() != team->second) {
    team->second = second.count();
    team->allowed = std::floor(mean) + (random_.Unit() < mean - std::floor(mean) ? 1 : 0);
  }
  // What was admitted under the last grant counts as well.
  const double part =
      std::max(1.0, WindowLimit(team->limit) / static_cast<double>(nodes_));
  if (team->admitted_window.Sum(now) + 1 > part) return kFullWindowRetry;
  if (team->allowed >= 1) {
    team->allowed -= 1;
    return Duration::zero();
  }
  return second + std::chrono::seconds(1) - now.time_since_epoch();
}

void TeamLimiter::SetLimits(const TeamLimits& limits) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::map<std::string, Team> teams;
  for (const TeamLimit& limit : limits) {
    const auto old = teams_.find(limit.team);
    Team team;
    if (old != teams_.end()) team = std::move(old->second);
    team.limit = limit;
    teams.emplace(limit.team, std::move(team));
  }
  teams_ = std::move(teams);
}

void TeamLimiter::SetNodes(std::size_t nodes) {
  const std::lock_guard<std::mutex> lock(mutex_);
  nodes_ = nodes;
}

void TeamLimiter::SetGrant(const std::vector<TeamShare>& shares, SteadyTime overdue_at,
                           SteadyTime valid_until) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const SteadyTime now = clock_->Now();
  overdue_at_ = overdue_at;
  valid_until_ = valid_until;
  std::set<std::string> limited;
  for (const TeamShare& share : shares) {
    const auto it = teams_.find(share.team());
    if (it == teams_.end()) continue;
    limited.insert(share.team());
    Team& team = it->second;
    if (team.share) {
      team.share->SetRate(share.per_second(), share.burst(), now);
    } else {
      // A random part of a token: over all nodes, the first tokens become whole at the
      // rate of the quota, however small the share of one node.
      const double tokens = std::min<double>(random_.Unit(), share.burst());
      team.share.emplace(share.per_second(), share.burst(), tokens, now);
    }
  }
  for (auto& [name, team] : teams_) {
    if (limited.count(name) == 0) team.share.reset();
    team.overdue.reset();
  }
}

std::vector<TeamCount> TeamLimiter::Counts() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const SteadyTime now = clock_->Now();
  std::vector<TeamCount> counts;
  counts.reserve(teams_.size());
  for (const auto& [name, team] : teams_) {
    TeamCount count;
    count.team = name;
    count.asked = team.asked;
    count.admitted = team.admitted;
    count.asked_in_window = static_cast<std::uint64_t>(team.asked_window.Sum(now));
    count.admitted_in_window = static_cast<std::uint64_t>(team.admitted_window.Sum(now));
    if (team.share && now < valid_until_) {
      count.share_per_second = team.share->per_second();
    }
    counts.push_back(std::move(count));
  }
  return counts;
}

void TeamLimiter::MarkReported() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto& [name, team] : teams_) team.asked_at_report = team.asked;
  surging_ = false;
}

bool TeamLimiter::has_valid_grant() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return clock_->Now() < valid_until_;
}

}  // namespace quetzal
