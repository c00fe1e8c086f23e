#include "plugins/load_policy_two_choices/two_choices_selector.h"

namespace quetzal {
namespace {

const PluginRegistration<TargetSelectorRegistry> registration("two_choices", [] {
  return std::make_unique<TwoChoicesSelector>();
});

}  // namespace

std::size_t TwoChoicesSelector::Select(const std::vector<TargetLoad>& loads,
                                       Random* random) {
  if (loads.size() == 1) return 0;
  const std::size_t first = random->Below(loads.size());
  std::size_t second = random->Below(loads.size() - 1);
  if (second >= first) ++second;
  return ExpectedWait(loads[second]) < ExpectedWait(loads[first]) ? second : first;
}

}  // namespace quetzal
