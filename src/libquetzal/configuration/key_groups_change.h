#ifndef QUETZAL_CONFIGURATION_KEY_GROUPS_CHANGE_H_
#define QUETZAL_CONFIGURATION_KEY_GROUPS_CHANGE_H_

#include <string>
#include <vector>

#include "configuration/configuration_change.h"

namespace quetzal {

/// Replaces the groups that hold the records of idempotency keys.
class KeyGroupsChange final : public ConfigurationChange {
 public:
  /// `groups` are sorted by data centre, then number.
  explicit KeyGroupsChange(std::vector<KeyGroup> groups);

  void Apply(Configuration* configuration) const override;
  std::string Describe() const override;

 private:
  std::vector<KeyGroup> groups_;
};

}  // namespace quetzal

#endif  // QUETZAL_CONFIGURATION_KEY_GROUPS_CHANGE_H_
