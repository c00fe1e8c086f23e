#ifndef QUETZAL_CONFIGURATION_SERVICE_CHANGE_H_
#define QUETZAL_CONFIGURATION_SERVICE_CHANGE_H_

#include <optional>
#include <string>

#include "configuration/configuration_change.h"

namespace quetzal {

/// Adds, changes or removes a service.
class ServiceChange final : public ConfigurationChange {
 public:
  /// Without `before` the service is added, without `after` it is removed. At least one
  /// of the two is set.
  ServiceChange(std::optional<Service> before, std::optional<Service> after);

  void Apply(Configuration* configuration) const override;
  std::string Describe() const override;

 private:
  std::optional<Service> before_;
  std::optional<Service> after_;
};

}  // namespace quetzal

#endif  // QUETZAL_CONFIGURATION_SERVICE_CHANGE_H_
