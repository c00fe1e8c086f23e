#ifndef QUETZAL_PLUGINS_LOAD_POLICY_LEAST_OUTSTANDING_LEAST_OUTSTANDING_SELECTOR_H_
#define QUETZAL_PLUGINS_LOAD_POLICY_LEAST_OUTSTANDING_LEAST_OUTSTANDING_SELECTOR_H_

#include <cstddef>
#include <vector>

#include "calls/target_selector.h"

namespace quetzal {

/// Selects the backend server with the least outstanding work relative to its capacity.
class LeastOutstandingSelector final : public TargetSelector {
 public:
  std::size_t Select(const std::vector<TargetLoad>& loads, Random* random) override;
};

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_LOAD_POLICY_LEAST_OUTSTANDING_LEAST_OUTSTANDING_SELECTOR_H_
