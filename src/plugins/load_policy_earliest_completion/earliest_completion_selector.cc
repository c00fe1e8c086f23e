#include "plugins/load_policy_earliest_completion/earliest_completion_selector.h"

#include <algorithm>
#include <numeric>
#include <optional>

namespace quetzal {
namespace {

/// With a third of the servers slow, one choice in 250 finds only slow ones among five.
/// Nodes that all chose the fastest server of their data centre would fill it up between
/// two reports of its load.
constexpr std::size_t kSampled = 5;

/// Differences below this are within the noise of measured service times; the emptier
/// server is chosen.
constexpr double kSimilarTimes = 0.15;

/// Service time assumed for servers of unknown speed: the mean of the others. If such a
/// server counted as fast, all nodes would send to a server that has just started.
double AssumedServiceTime(const std::vector<TargetLoad>& loads) {
  constexpr double kAllUnknownMs = 1;
  double sum = 0;
  int known = 0;
  for (const TargetLoad& load : loads) {
    if (load.service_ms <= 0) continue;
    sum += load.service_ms;
    ++known;
  }
  return known > 0 ? sum / known : kAllUnknownMs;
}

/// Expected time until one more request is answered: its service time, and the wait for
/// a slot when all are taken.
double CompletionTime(const TargetLoad& load, double assumed_ms) {
  const double service_ms = load.service_ms > 0 ? load.service_ms : assumed_ms;
  return service_ms * std::max(1.0, Utilization(load));
}

/// A server above this utilization fills up before its next report: requests would then
/// be sent to full servers while slower ones have free slots.
constexpr double kMaxPreferredUtilization = 0.85;

bool HasRoom(const TargetLoad& load) {
  return Utilization(load) <= kMaxPreferredUtilization;
}

bool IsBetter(const TargetLoad& a, const TargetLoad& b, double assumed_ms) {
  const double time_a = CompletionTime(a, assumed_ms);
  const double time_b = CompletionTime(b, assumed_ms);
  if (time_a < time_b * (1 - kSimilarTimes)) return true;
  if (time_b < time_a * (1 - kSimilarTimes)) return false;
  return Utilization(a) < Utilization(b);
}

const PluginRegistration<TargetSelectorRegistry> registration("earliest_completion", [] {
  return std::make_unique<EarliestCompletionSelector>();
});

}  // namespace

std::size_t EarliestCompletionSelector::Select(const std::vector<TargetLoad>& loads,
                                               Random* random) {
  const double assumed_ms = AssumedServiceTime(loads);
  std::vector<std::size_t> sample(loads.size());
  std::iota(sample.begin(), sample.end(), 0);
  const std::size_t size = std::min(kSampled, loads.size());
  for (std::size_t n = 0; n < size; ++n) {
    std::swap(sample[n], sample[n + random->Below(loads.size() - n)]);
  }
  sample.resize(size);
  std::optional<std::size_t> best;
  for (const std::size_t n : sample) {
    if (!HasRoom(loads[n])) continue;
    if (!best || IsBetter(loads[n], loads[*best], assumed_ms)) best = n;
  }
  if (best) return *best;
  // All are nearly full, and what is known of them is out of date: with more than two
  // choices, all nodes would send to the same few servers.
  if (size > 1 && ExpectedWait(loads[sample[1]]) < ExpectedWait(loads[sample[0]])) {
    return sample[1];
  }
  return sample[0];
}

}  // namespace quetzal
