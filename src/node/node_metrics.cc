#include "node/node_metrics.h"

#include <algorithm>

#include "node/node_admin.h"

namespace quetzal {
namespace {

Metric Counter(const std::string& name, const std::string& help, std::uint64_t value) {
  return {name, help, MetricKind::kCounter, static_cast<double>(value)};
}

Metric Gauge(const std::string& name, const std::string& help, std::uint64_t value) {
  return {name, help, MetricKind::kGauge, static_cast<double>(value)};
}

std::uint64_t CountEntries(const std::shared_ptr<const CrashingRequests>& requests,
                           bool proven) {
  if (!requests) return 0;
  const auto& entries = requests->entries();
  return static_cast<std::uint64_t>(
      std::count_if(entries.begin(), entries.end(),
                    [&](const auto& entry) { return entry.proven() == proven; }));
}

/// Only the teams refused most often get metrics of their own, so that a configuration
/// with thousands of teams does not create as many time series.
constexpr std::size_t kTeamsInMetrics = 20;

std::uint64_t Refused(const TeamCount& team) { return team.asked - team.admitted; }

void AppendTeams(std::vector<TeamCount> teams, std::vector<Metric>* metrics) {
  if (teams.empty()) return;
  std::uint64_t refused = 0;
  std::uint64_t limited = 0;
  for (const TeamCount& team : teams) {
    refused += Refused(team);
    limited += team.share_per_second ? 1 : 0;
  }
  metrics->push_back(Counter("quetzal_quota_refusals_total",
                             "Requests refused over the quota of their team.", refused));
  metrics->push_back(
      Gauge("quetzal_quota_limited_teams", "Teams with a share in the grant.", limited));
  std::stable_sort(
      teams.begin(), teams.end(),
      [](const TeamCount& a, const TeamCount& b) { return Refused(a) > Refused(b); });
  teams.erase(std::find_if(teams.begin(), teams.end(),
                           [](const TeamCount& team) { return Refused(team) == 0; }),
              teams.end());
  teams.resize(std::min(teams.size(), kTeamsInMetrics));
  for (const TeamCount& team : teams) {
    metrics->push_back(Counter("quetzal_team_refusals_total",
                               "Refusals of the 20 teams refused most often.",
                               Refused(team)));
    metrics->back().labels = {{"team", team.team}};
  }
}

}  // namespace

std::vector<Metric> NodeMetrics(const NodeReport& report) {
  const CallCounts& calls = report.calls;
  const NodeDistribution::Status& distribution = report.distribution;
  std::vector<Metric> metrics = {
      Counter("quetzal_calls_accepted_total", "Requests from callers.", calls.accepted),
      Counter("quetzal_calls_answered_total", "Requests answered completely.",
              calls.answered),
      Counter("quetzal_calls_refused_total",
              "Requests answered with a result code instead.", calls.refused),
      Counter("quetzal_call_retries_total", "Attempts after the first.", calls.retried),
      Counter("quetzal_backend_requests_total", "Requests sent to the backend server.",
              calls.admitted),
      Counter("quetzal_calls_shed_total", "Requests that admission refused.", calls.shed),
      Gauge("quetzal_calls_in_flight", "Calls now running.", calls.in_flight),
      Gauge("quetzal_calls_queued", "Requests now waiting for a slot.", calls.queued),
      {"quetzal_backend_rate_limit",
       "Requests per second that the backend server takes; -1 without a limit.",
       MetricKind::kGauge, calls.rate_limit.value_or(-1)},
      Counter("quetzal_backend_crashes_total",
              "Ends of the backend server while requests ran on it.", report.crashes),
      Gauge("quetzal_crashing_requests",
            "Requests that are refused as they crash servers.",
            CountEntries(report.crashing, true)),
      Gauge("quetzal_suspected_requests",
            "Requests that ran in crashes, and run on one server only.",
            CountEntries(report.crashing, false)),
      Counter("quetzal_calls_blocked_total", "Refusals of these requests.",
              calls.blocked),
      Counter("quetzal_calls_credential_unknown_total",
              "Requests without a credential of a team.", calls.credential_unknown),
      Counter("quetzal_calls_credential_unproved_total",
              "Requests that came while credentials were not proved.",
              calls.credential_unproved),
      Counter("quetzal_calls_quota_exceeded_total",
              "Requests of teams that have used up their quota.", calls.quota_exceeded),
      Gauge("quetzal_credentials_proved",
            "1 while credentials of teams are proved to be valid.",
            report.credentials_proved ? 1 : 0),
      Gauge("quetzal_configuration_held_index", "Log index of the applied configuration.",
            distribution.applied_version.index()),
      Gauge("quetzal_configuration_serving", "1 while the node serves callers.",
            distribution.serving ? 1 : 0),
      Gauge("quetzal_configuration_subscribers", "Nodes that subscribe to this one.",
            distribution.subscribers),
      Gauge("quetzal_members", "Members that this node knows.", report.members.size()),
      Gauge("quetzal_key_records", "Idempotency keys stored.", report.key_records),
      Gauge("quetzal_key_records_bytes", "Bytes that the idempotency keys use.",
            report.key_bytes),
      Gauge("quetzal_peer_streams", "Streams to and from other instances.",
            report.peer_streams),
      Gauge("quetzal_http_streams", "Open requests of callers and to the backend server.",
            report.http_streams),
  };
  AppendTeams(report.teams, &metrics);
  return metrics;
}

}  // namespace quetzal
