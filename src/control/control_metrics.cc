#include "control/control_metrics.h"

#include <string>

namespace quetzal {
namespace {

template <class Number>
Metric Counter(const std::string& name, const std::string& help, Number value) {
  return {name, help, MetricKind::kCounter, static_cast<double>(value)};
}

template <class Number>
Metric Gauge(const std::string& name, const std::string& help, Number value) {
  return {name, help, MetricKind::kGauge, static_cast<double>(value)};
}

void AddSide(const std::string& side, const std::string& help,
             const ResponseCounts& counts, std::vector<Metric>* metrics) {
  const std::string name = "quetzal_rollout_" + side;
  metrics->push_back(Gauge(name + "_answered",
                           "Complete responses of the " + help + ", other than failures.",
                           counts.answered));
  metrics->push_back(
      Gauge(name + "_failed", "Failures of the " + help + ".", counts.failed));
  metrics->push_back(Gauge(name + "_seconds",
                           "Sum of the response times of the " + help + ".",
                           static_cast<double>(counts.time_ms) / 1000));
}

/// Responses reported to this instance; the leader has those of all nodes.
void AddRollouts(const RolloutController& rollouts, std::vector<Metric>* metrics) {
  const RouteResponses responses = rollouts.responses();
  metrics->push_back(Gauge("quetzal_rollouts_in_progress", "Rollouts in progress.",
                           rollouts.in_progress()));
  AddSide("old", "old versions during rollouts in progress", responses.old_version,
          metrics);
  AddSide("new", "new versions during rollouts in progress", responses.new_version,
          metrics);
}

}  // namespace

std::vector<Metric> ControlMetrics(const AgreementService& agreement,
                                   const IntentMachine& machine,
                                   const ControlService& service,
                                   const Publisher& publisher,
                                   const RolloutController& rollouts) {
  const LeadershipView view = agreement.leadership();
  const AgreementCounters counters = agreement.counters();
  const Version version = machine.version();
  const ConvergenceReport report = service.Report(version);
  std::vector<Metric> metrics = {
      Gauge("quetzal_agreement_leading", "1 while this instance leads.", view.leading),
      Gauge("quetzal_agreement_term", "Term of the agreement.", view.term),
      Counter("quetzal_agreement_elections_total", "Elections that this instance began.",
              counters.elections_started),
      Counter("quetzal_agreement_messages_total", "Messages received.",
              counters.messages_received),
      Counter("quetzal_agreement_syncs_total", "Syncs of the log.", counters.syncs),
      Counter("quetzal_agreement_disk_failures_total", "Failed disk writes.",
              counters.disk_failures),
      Gauge("quetzal_configuration_index", "Log index of the confirmed configuration.",
            version.index()),
      Gauge("quetzal_configuration_proxies_live", "Live proxies, as far as is known.",
            report.live),
      Gauge("quetzal_configuration_proxies_waiting",
            "Live proxies that have not acknowledged the confirmed configuration.",
            report.waiting.size()),
      Gauge("quetzal_configuration_done",
            "1 when every live proxy has applied the confirmed configuration.",
            report.done),
      Counter("quetzal_distribution_sent_bytes_total", "Bytes sent to subscribers.",
              publisher.bytes_sent()),
      Gauge("quetzal_distribution_subscribers", "Subscribers of this instance.",
            publisher.sessions()),
      Gauge("quetzal_intents_open", "Plans that wait to be confirmed.",
            machine.OpenIntents().size()),
  };
  AddRollouts(rollouts, &metrics);
  if (report.convergence_time) {
    metrics.push_back(
        Gauge("quetzal_configuration_convergence_seconds",
              "Time from the last confirmation until every live proxy had applied it.",
              std::chrono::duration<double>(*report.convergence_time).count()));
  }
  return metrics;
}

}  // namespace quetzal
