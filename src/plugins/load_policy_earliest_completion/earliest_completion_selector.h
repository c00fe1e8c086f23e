#ifndef QUETZAL_PLUGINS_LOAD_POLICY_EARLIEST_COMPLETION_EARLIEST_COMPLETION_SELECTOR_H_
#define QUETZAL_PLUGINS_LOAD_POLICY_EARLIEST_COMPLETION_EARLIEST_COMPLETION_SELECTOR_H_

#include <cstddef>
#include <vector>

#include "calls/target_selector.h"

namespace quetzal {

/// Samples some backend servers at random and selects the one that is expected to answer
/// first. A slow server is used only when the faster ones have no free slot.
class EarliestCompletionSelector final : public TargetSelector {
 public:
  std::size_t Select(const std::vector<TargetLoad>& loads, Random* random) override;
};

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_LOAD_POLICY_EARLIEST_COMPLETION_EARLIEST_COMPLETION_SELECTOR_H_
