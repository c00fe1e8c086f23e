#include "plugins/load_policy_round_robin/round_robin_selector.h"

namespace quetzal {
namespace {

const PluginRegistration<TargetSelectorRegistry> registration("round_robin", [] {
  return std::make_unique<RoundRobinSelector>();
});

}  // namespace

std::size_t RoundRobinSelector::Select(const std::vector<TargetLoad>& loads,
                                       Random* /*random*/) {
  return next_++ % loads.size();
}

}  // namespace quetzal
