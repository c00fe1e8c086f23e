#ifndef QUETZAL_PLUGINS_LOAD_POLICY_RANDOM_RANDOM_SELECTOR_H_
#define QUETZAL_PLUGINS_LOAD_POLICY_RANDOM_RANDOM_SELECTOR_H_

#include <cstddef>
#include <vector>

#include "calls/target_selector.h"

namespace quetzal {

/// Selects a backend server at random, each with the same probability.
class RandomSelector final : public TargetSelector {
 public:
  std::size_t Select(const std::vector<TargetLoad>& loads, Random* random) override;
};

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_LOAD_POLICY_RANDOM_RANDOM_SELECTOR_H_
