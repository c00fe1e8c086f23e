#ifndef QUETZAL_PLUGINS_LOAD_POLICY_TWO_CHOICES_TWO_CHOICES_SELECTOR_H_
#define QUETZAL_PLUGINS_LOAD_POLICY_TWO_CHOICES_TWO_CHOICES_SELECTOR_H_

#include <cstddef>
#include <vector>

#include "calls/target_selector.h"

namespace quetzal {

/// Picks two backend servers at random and selects the one with less outstanding work
/// (requests and their service time) relative to its capacity.
class TwoChoicesSelector final : public TargetSelector {
 public:
  std::size_t Select(const std::vector<TargetLoad>& loads, Random* random) override;
};

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_LOAD_POLICY_TWO_CHOICES_TWO_CHOICES_SELECTOR_H_
