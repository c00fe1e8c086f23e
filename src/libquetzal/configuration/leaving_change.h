#ifndef QUETZAL_CONFIGURATION_LEAVING_CHANGE_H_
#define QUETZAL_CONFIGURATION_LEAVING_CHANGE_H_

#include <string>

#include "configuration/configuration_change.h"

namespace quetzal {

/// Marks the backend server of an instance as leaving, or removes that mark.
class LeavingChange final : public ConfigurationChange {
 public:
  LeavingChange(std::string instance, bool leaving);

  void Apply(Configuration* configuration) const override;
  std::string Describe() const override;

 private:
  std::string instance_;
  bool leaving_;
};

}  // namespace quetzal

#endif  // QUETZAL_CONFIGURATION_LEAVING_CHANGE_H_
