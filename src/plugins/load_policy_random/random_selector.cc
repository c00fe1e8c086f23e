#include "plugins/load_policy_random/random_selector.h"

namespace quetzal {
namespace {

const PluginRegistration<TargetSelectorRegistry> registration("random", [] {
  return std::make_unique<RandomSelector>();
});

}  // namespace

std::size_t RandomSelector::Select(const std::vector<TargetLoad>& loads, Random* random) {
  return random->Below(loads.size());
}

}  // namespace quetzal
