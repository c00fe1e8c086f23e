#ifndef QUETZAL_CONFIGURATION_POLICY_CHANGE_H_
#define QUETZAL_CONFIGURATION_POLICY_CHANGE_H_

#include <string>

#include "configuration/configuration_change.h"

namespace quetzal {

/// Replaces the policy.
class PolicyChange final : public ConfigurationChange {
 public:
  PolicyChange(Policy before, Policy after);

  void Apply(Configuration* configuration) const override;
  std::string Describe() const override;

 private:
  Policy before_;
  Policy after_;
};

}  // namespace quetzal

#endif  // QUETZAL_CONFIGURATION_POLICY_CHANGE_H_
