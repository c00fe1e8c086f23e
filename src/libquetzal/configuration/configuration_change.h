#ifndef QUETZAL_CONFIGURATION_CONFIGURATION_CHANGE_H_
#define QUETZAL_CONFIGURATION_CONFIGURATION_CHANGE_H_

#include <memory>
#include <string>
#include <vector>

#include "configuration.pb.h"

namespace quetzal {

/// One change to a configuration.
class ConfigurationChange {
 public:
  virtual ~ConfigurationChange() = default;

  virtual void Apply(Configuration* configuration) const = 0;

  /// Describes the change in one sentence for operators.
  virtual std::string Describe() const = 0;
};

using ConfigurationChanges = std::vector<std::unique_ptr<ConfigurationChange>>;

}  // namespace quetzal

#endif  // QUETZAL_CONFIGURATION_CONFIGURATION_CHANGE_H_
