#ifndef QUETZAL_PLUGINS_LOAD_POLICY_ROUND_ROBIN_ROUND_ROBIN_SELECTOR_H_
#define QUETZAL_PLUGINS_LOAD_POLICY_ROUND_ROBIN_ROUND_ROBIN_SELECTOR_H_

#include <cstddef>
#include <vector>

#include "calls/target_selector.h"

namespace quetzal {

/// Selects the backend servers in turn.
class RoundRobinSelector final : public TargetSelector {
 public:
  std::size_t Select(const std::vector<TargetLoad>& loads, Random* random) override;

 private:
  std::size_t next_ = 0;
};

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_LOAD_POLICY_ROUND_ROBIN_ROUND_ROBIN_SELECTOR_H_
