#ifndef QUETZAL_CONFIGURATION_ROLLOUT_CHECK_H_
#define QUETZAL_CONFIGURATION_ROLLOUT_CHECK_H_

#include "configuration.pb.h"

namespace quetzal {

/// Checks the rollouts of a configuration: one per service of the configuration, sorted,
/// with a legal version, duration and share. Throws Error(kConfigurationInvalid) that
/// names the first fault.
void CheckRollouts(const Configuration& configuration);

}  // namespace quetzal

#endif  // QUETZAL_CONFIGURATION_ROLLOUT_CHECK_H_
