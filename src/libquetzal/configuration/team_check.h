#ifndef QUETZAL_CONFIGURATION_TEAM_CHECK_H_
#define QUETZAL_CONFIGURATION_TEAM_CHECK_H_

#include "configuration.pb.h"

namespace quetzal {

/// Checks the teams of a configuration: names, their order and uniqueness, limits, and
/// that no two teams share a credential. Throws Error(kConfigurationInvalid) that names
/// the first fault, and never a credential or its digest.
void CheckTeams(const Configuration& configuration);

}  // namespace quetzal

#endif  // QUETZAL_CONFIGURATION_TEAM_CHECK_H_
