#ifndef QUETZAL_CONFIGURATION_TEAM_CHANGE_H_
#define QUETZAL_CONFIGURATION_TEAM_CHANGE_H_

#include <optional>
#include <string>

#include "configuration/configuration_change.h"

namespace quetzal {

/// Adds, changes or removes a team.
class TeamChange final : public ConfigurationChange {
 public:
  /// Without `before` the team is added, without `after` it is removed. At least one of
  /// the two is set.
  TeamChange(std::optional<Team> before, std::optional<Team> after);

  void Apply(Configuration* configuration) const override;

  /// States how many keys there are, never a key or its digest.
  std::string Describe() const override;

 private:
  std::optional<Team> before_;
  std::optional<Team> after_;
};

}  // namespace quetzal

#endif  // QUETZAL_CONFIGURATION_TEAM_CHANGE_H_
