#include "plugins/load_policy_least_outstanding/least_outstanding_selector.h"

namespace quetzal {
namespace {

const PluginRegistration<TargetSelectorRegistry> registration("least_outstanding", [] {
  return std::make_unique<LeastOutstandingSelector>();
});

}  // namespace

std::size_t LeastOutstandingSelector::Select(const std::vector<TargetLoad>& loads,
                                             Random* random) {
  // Starts at a random target, so that equally loaded targets share the work.
  const std::size_t start = random->Below(loads.size());
  std::size_t best = start;
  for (std::size_t n = 1; n < loads.size(); ++n) {
    const std::size_t at = (start + n) % loads.size();
    if (Utilization(loads[at]) < Utilization(loads[best])) best = at;
  }
  return best;
}

}  // namespace quetzal
