#include "quotas/quota_allocator.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace quetzal {
namespace {

using Seconds = std::chrono::duration<double>;

/// What the window still allows may be used up within this time. Longer than the time
/// from an admission until the grants take it into account, so that shares settle at the
/// limit instead of swinging around it.
constexpr double kHorizonSeconds = 0.6;
/// A window that allows less than this part of the rate limits a team at any demand.
constexpr double kFullRate = 0.5;
/// Admissions younger than this are mostly unknown to a coordinator. Larger values refuse
/// more below the rate: 0.35 s refused 5% of a team of 35 per second at 90% of its rate.
constexpr double kUnseenSeconds = 0.2;
/// Parts of the tolerance of 10% and 20 requests that are used up on purpose, so that the
/// random arrivals of small teams are not refused.
constexpr double kWindowFactor = 1.0;
constexpr double kWindowSlack = 9;
/// Of the quota's rate, for a limited team while its window has room left.
constexpr double kMaxRate = 1.25;
constexpr double kDemandSeconds = 0.3;  ///< Time constant of the demand average.
/// Time constant for which high demand is remembered, so that a team that asks in pulses
/// is not unlimited at the start of each one.
constexpr double kPeakSeconds = 2;
/// Standard deviations by which demand must exceed what is allowed: few requests that
/// come together do not show a high rate.
constexpr double kDemandDeviations = 3;
/// Part of a share that is divided evenly, so that nodes new to a team get some of it.
constexpr double kEvenPart = 0.05;
constexpr double kBurstSeconds = 0.25;

/// A share that falls below this part of the one granted is granted at once.
constexpr double kNoticeable = 0.7;
/// Growth of demand that is reported at once, as a part of the rate and in standard
/// deviations of the average, so that chance alone rarely causes it.
constexpr double kGrowth = 0.1;
constexpr double kGrowthDeviations = 3;
/// A team below this part of its even share is reported once in kQuietPeriods.
constexpr double kQuietPart = 0.8;
constexpr int kQuietPeriods = 4;

/// Three reports of a quiet team.
constexpr Duration kDemandTimeout = std::chrono::seconds(3);
constexpr Duration kReportPeriod = std::chrono::milliseconds(250);
constexpr Duration kNodeTimeout = std::chrono::seconds(1);
constexpr Duration kCoordinatorTimeout = std::chrono::milliseconds(700);
/// After this time a node has begun to count anew (see QuotaExchange).
constexpr Duration kRecount = std::chrono::seconds(4);
/// Time for the nodes and the other coordinators to report to a new coordinator before it
/// sends grants; the longer one when some are missing.
constexpr Duration kStartDelay = std::chrono::milliseconds(200);
constexpr Duration kLongStartDelay = std::chrono::milliseconds(500);
/// Time within which all nodes learn of a new limit.
constexpr Duration kLimitSpread = std::chrono::seconds(2);
constexpr Duration kRetention = std::chrono::seconds(60);

double ToSeconds(Duration time) { return Seconds(time).count(); }

}  // namespace

double QuotaAllocator::Usage::Demand(SteadyTime now) const {
  // A team without changes is not reported; its demand fades once a report is overdue.
  const Duration idle = now - updated - 2 * kReportPeriod;
  if (idle <= Duration::zero()) return per_second;
  return per_second * std::exp(-ToSeconds(idle) / kDemandSeconds);
}

QuotaAllocator::QuotaAllocator(std::string data_centre, const Clock* clock)
    : data_centre_(std::move(data_centre)), clock_(clock), created_(clock->Now()) {}

void QuotaAllocator::SetLimits(const TeamLimits& limits) {
  std::map<std::string, Team> teams;
  for (const TeamLimit& limit : limits) {
    const auto old = teams_.find(limit.team);
    Team team;
    if (old != teams_.end()) team = std::move(old->second);
    if (team.limit.per_second <= 0) team.limited_since = clock_->Now();
    team.limit = limit;
    teams.emplace(limit.team, std::move(team));
  }
  teams_ = std::move(teams);
}

void QuotaAllocator::SetNodes(std::map<std::string, std::size_t> nodes) {
  nodes_by_data_centre_ = std::move(nodes);
}

void QuotaAllocator::OnReport(const std::string& name, std::uint64_t incarnation,
                              const UsageReport& report) {
  const SteadyTime now = clock_->Now();
  const bool known = nodes_.count(name) > 0;
  Node& node = nodes_[name];
  if (known && incarnation < node.incarnation) return;
  const bool first = !known || now - node.heard > kRecount;
  if (known && incarnation > node.incarnation) {
    // Counts of a restarted node begin at zero; all of them are new.
    for (auto& [team, usage] : node.usage) usage.asked = usage.admitted = 0;
  }
  node.incarnation = incarnation;
  node.heard = now;
  for (const TeamUsage& usage : report.usage()) {
    const auto team = teams_.find(usage.team());
    if (team == teams_.end()) continue;
    const bool new_team = node.usage.count(usage.team()) == 0;
    Usage& entry = node.usage[usage.team()];
    if (new_team) entry.updated = now - kReportPeriod;
    // When a limit begins, nodes report what they have admitted in the last window.
    const bool begins = new_team && now - team->second.limited_since < kLimitSpread &&
                        now - created_ >= kLimitSpread;
    Update(usage, &entry, first || begins, &team->second);
  }
}

void QuotaAllocator::Update(const TeamUsage& usage, Usage* known, bool first,
                            Team* team) {
  const SteadyTime now = clock_->Now();
  if (first || usage.admitted() < known->admitted || usage.asked() < known->asked) {
    const double most = WindowLimit(team->limit);
    team->earlier.Spread(std::min<double>(static_cast<double>(usage.admitted()), most),
                         now);
    known->per_second =
        static_cast<double>(usage.asked()) / static_cast<double>(kQuotaWindow.count());
  } else {
    team->reported.Add(static_cast<double>(usage.admitted() - known->admitted), now);
    const double before = known->Demand(now);
    const double seconds =
        std::clamp(ToSeconds(now - known->updated), 0.01, ToSeconds(kReportPeriod));
    const double rate = static_cast<double>(usage.asked() - known->asked) / seconds;
    known->per_second =
        before + (1 - std::exp(-seconds / kDemandSeconds)) * (rate - before);
  }
  known->asked = usage.asked();
  known->admitted = usage.admitted();
  known->updated = now;
}

bool QuotaAllocator::OnDemand(const std::string& name, const DemandReport& report) {
  const SteadyTime now = clock_->Now();
  Coordinator& coordinator = coordinators_[name];
  const bool appeared = !Heard(coordinator);
  coordinator.data_centre = report.data_centre();
  coordinator.nodes = report.nodes();
  coordinator.heard = now;
  for (const TeamDemand& demand : report.demands()) {
    if (teams_.count(demand.team()) == 0) continue;
    coordinator.demands[demand.team()] = {demand.asked_per_second(),
                                          demand.admitted_in_window(), now};
  }
  return appeared;
}

bool QuotaAllocator::Heard(const Node& node) const {
  return clock_->Now() - node.heard <= kNodeTimeout;
}

bool QuotaAllocator::Heard(const Coordinator& coordinator) const {
  return clock_->Now() - coordinator.heard <= kCoordinatorTimeout;
}

QuotaAllocator::Coverage QuotaAllocator::Cover() const {
  Coverage coverage;
  coverage.missing = nodes_by_data_centre_;
  for (const auto& [name, count] : nodes_by_data_centre_) coverage.all += count;
  const auto cover = [&coverage](const std::string& data_centre, std::size_t nodes) {
    std::size_t& missing = coverage.missing[data_centre];
    const std::size_t found = std::min(missing, nodes);
    missing -= found;
    coverage.heard += found;
  };
  for (const auto& [name, node] : nodes_) coverage.own += Heard(node) ? 1 : 0;
  cover(data_centre_, coverage.own);
  for (const auto& [name, coordinator] : coordinators_) {
    if (Heard(coordinator)) cover(coordinator.data_centre, coordinator.nodes);
  }
  return coverage;
}

void QuotaAllocator::Allocate() {
  const SteadyTime now = clock_->Now();
  peak_decay_ = std::exp(-ToSeconds(now - allocated_) / kPeakSeconds);
  allocated_ = now;
  const Coverage coverage = Cover();
  if (coverage.own > 0 && !active_) began_ = now;
  active_ = coverage.own > 0;
  reporting_ = coverage.own;
  most_heard_ = 10 * coverage.heard > 9 * coverage.all;
  for (auto& [name, team] : teams_) {
    team.demand = 0;
    team.admitted = team.reported.Sum(now) + team.earlier.Sum(now);
  }
  for (auto it = nodes_.begin(); it != nodes_.end();) {
    if (now - it->second.heard > kRetention) {
      it = nodes_.erase(it);
      continue;
    }
    if (Heard(it->second)) {
      for (const auto& [name, usage] : it->second.usage) {
        const auto team = teams_.find(name);
        if (team != teams_.end()) team->second.demand += usage.Demand(now);
      }
    }
    ++it;
  }
  for (auto it = coordinators_.begin(); it != coordinators_.end();) {
    it = now - it->second.heard > kRetention ? coordinators_.erase(it) : std::next(it);
  }
  for (auto& [name, team] : teams_) AllocateTeam(coverage, &team);
}

double QuotaAllocator::Reserve(const Coverage& coverage, const Team& team,
                               double window) const {
  const SteadyTime now = clock_->Now();
  double reserve = 0;
  for (const auto& [data_centre, missing] : coverage.missing) {
    if (missing == 0) continue;
    const auto count = nodes_by_data_centre_.find(data_centre);
    if (count == nodes_by_data_centre_.end() || count->second == 0) continue;
    // What an unreachable data centre had admitted stays in the window for 5 s.
    double admitted = 0;
    for (const auto& [name, coordinator] : coordinators_) {
      if (coordinator.data_centre != data_centre || Heard(coordinator)) continue;
      if (now - coordinator.heard > kCoordinatorTimeout + kQuotaWindow) continue;
      const auto demand = coordinator.demands.find(team.limit.team);
      if (demand != coordinator.demands.end()) admitted += demand->second.admitted;
    }
    const auto nodes = static_cast<double>(missing);
    reserve += std::max(window * nodes / static_cast<double>(coverage.all),
                        admitted * nodes / static_cast<double>(count->second));
  }
  return reserve;
}

void QuotaAllocator::AllocateTeam(const Coverage& coverage, Team* team) {
  const SteadyTime now = clock_->Now();
  if (team->limit.per_second <= 0 || coverage.all == 0) {
    team->limited = false;
    return;
  }
  // After a start of all nodes nobody knows what the window holds: the quota's rate is
  // assumed until it can only hold what was counted.
  const double unknown_seconds = ToSeconds(kQuotaWindow - (now - created_));
  if (unknown_seconds > 0) {
    const double assumed = team->limit.per_second * unknown_seconds *
                           static_cast<double>(coverage.own) /
                           static_cast<double>(coverage.all);
    team->admitted = team->reported.Sum(now) + std::max(team->earlier.Sum(now), assumed);
  }
  double admitted = team->admitted;
  double demand = team->demand;
  for (const auto& [name, coordinator] : coordinators_) {
    if (!Heard(coordinator)) continue;
    const auto it = coordinator.demands.find(team->limit.team);
    if (it == coordinator.demands.end() || now - it->second.updated > kDemandTimeout) {
      continue;
    }
    admitted += it->second.admitted;
    demand += it->second.per_second;
  }
  const double window = WindowLimit(team->limit) * kWindowFactor + kWindowSlack;
  // Admitted since the nodes last reported, or not yet heard of from other coordinators.
  const double unseen =
      kUnseenSeconds * (team->limited ? std::min(demand, team->rate) : demand);
  const double room = window - admitted - unseen - Reserve(coverage, *team, window);
  const double allowed = std::max(0.0, room) / kHorizonSeconds;
  const double certain = demand - kDemandDeviations * std::sqrt(demand / kDemandSeconds);
  // A full window limits a team also while it asks for nothing: its next requests may all
  // come before the next report.
  team->peak = std::max(certain, team->peak * peak_decay_);
  team->limited = team->peak > allowed || allowed < kFullRate * team->limit.per_second;
  if (team->limited) {
    const double most = kMaxRate * team->limit.per_second *
                        static_cast<double>(coverage.heard) /
                        static_cast<double>(coverage.all);
    const double part = demand > 0 ? team->demand / demand
                                   : static_cast<double>(coverage.own) /
                                         static_cast<double>(coverage.all);
    team->rate = std::min(allowed, most);
    team->per_second = team->rate * part;
    if (!team->was_limited || team->per_second < kNoticeable * team->granted_per_second) {
      grants_urgent_ = true;
    }
  }
  const double growth =
      std::max({2.0, kGrowth * team->limit.per_second,
                kGrowthDeviations * std::sqrt(team->sent_demand / kDemandSeconds)});
  team->grew = team->demand > team->sent_demand + growth;
  demands_urgent_ = demands_urgent_ || team->grew;
  const double own =
      static_cast<double>(coverage.own) / static_cast<double>(coverage.all);
  team->quiet = team->demand < kQuietPart * own * team->limit.per_second &&
                team->admitted < kQuietPart * own * WindowLimit(team->limit);
}

bool QuotaAllocator::ready() const {
  const Duration waited = clock_->Now() - began_;
  return active_ && waited >= (most_heard_ ? kStartDelay : kLongStartDelay);
}

void QuotaAllocator::MarkGranted() {
  grants_urgent_ = false;
  for (auto& [name, team] : teams_) {
    team.was_limited = team.limited;
    team.granted_per_second = team.per_second;
  }
}

std::vector<std::string> QuotaAllocator::nodes() const {
  std::vector<std::string> names;
  for (const auto& [name, node] : nodes_) {
    if (Heard(node)) names.push_back(name);
  }
  return names;
}

std::vector<TeamShare> QuotaAllocator::SharesFor(const std::string& name) const {
  std::vector<TeamShare> shares;
  const auto node = nodes_.find(name);
  if (node == nodes_.end()) return shares;
  const double even = 1 / static_cast<double>(std::max<std::size_t>(1, reporting_));
  const SteadyTime now = clock_->Now();
  for (const auto& [team_name, team] : teams_) {
    if (!team.limited) continue;
    const auto usage = node->second.usage.find(team_name);
    double part = even;
    if (team.demand > 0) {
      const double demand =
          usage == node->second.usage.end() ? 0 : usage->second.Demand(now);
      part = (1 - kEvenPart) * std::min(1.0, demand / team.demand) + kEvenPart * even;
    }
    const double per_second = team.per_second * part;
    TeamShare share;
    share.set_team(team_name);
    share.set_per_second(static_cast<float>(per_second));
    share.set_burst(static_cast<float>(std::max(1.0, per_second * kBurstSeconds)));
    shares.push_back(std::move(share));
  }
  return shares;
}

std::vector<TeamDemand> QuotaAllocator::TakeDemands(bool urgent_only) {
  std::vector<TeamDemand> demands;
  demands_urgent_ = false;
  for (auto& [name, team] : teams_) {
    if (team.limit.per_second <= 0) continue;
    if (urgent_only && !team.grew) continue;
    const bool idle = team.demand < 0.01 && team.admitted < 0.01;
    if (!team.grew && (team.quiet || idle) && ++team.skipped < kQuietPeriods) continue;
    team.skipped = 0;
    if (idle) continue;
    team.grew = false;
    team.sent_demand = team.demand;
    TeamDemand demand;
    demand.set_team(name);
    demand.set_asked_per_second(static_cast<float>(team.demand));
    demand.set_admitted_in_window(static_cast<float>(team.admitted));
    demands.push_back(std::move(demand));
  }
  return demands;
}

std::vector<std::string> QuotaAllocator::coordinators() const {
  std::vector<std::string> names;
  for (const auto& [name, coordinator] : coordinators_) {
    if (Heard(coordinator)) names.push_back(name);
  }
  return names;
}

}  // namespace quetzal
