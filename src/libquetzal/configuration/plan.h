#ifndef QUETZAL_CONFIGURATION_PLAN_H_
#define QUETZAL_CONFIGURATION_PLAN_H_

#include <string>
#include <vector>

#include "configuration/configuration_change.h"
#include "intent.pb.h"

namespace quetzal {

/// The changes that confirming an intent would make.
struct Plan {
  ConfigurationChanges changes;
  Configuration result;

  /// Describes the changes for operators, one sentence each.
  std::vector<std::string> Describe() const;
};

/// Plans the changes that apply `content` to `base`; parts that `base` already fulfils
/// give no change. Throws Error(kPlanRefused) when the result would not be a valid
/// configuration.
Plan MakePlan(const Configuration& base, const IntentContent& content);

}  // namespace quetzal

#endif  // QUETZAL_CONFIGURATION_PLAN_H_
