#ifndef QUETZAL_CONFIGURATION_CONFIGURATION_DELTA_H_
#define QUETZAL_CONFIGURATION_CONFIGURATION_DELTA_H_

#include <memory>

#include "configuration.pb.h"

namespace quetzal {

/// Returns the delta that turns `from` into `to`; both must pass CheckConfiguration.
ConfigurationDelta MakeDelta(const Configuration& from, const Configuration& to);

/// Returns `base` with `delta` applied. Throws Error(kConfigurationInvalid) when the
/// delta does not fit `base` or when the result is not a valid configuration.
std::shared_ptr<const Configuration> ApplyDelta(const Configuration& base,
                                                const ConfigurationDelta& delta);

/// Copies all parts of a configuration except its services, routes and teams.
void CopyAllButNamedLists(const Configuration& from, Configuration* to);

/// Returns true when both configurations are equal.
bool SameConfiguration(const Configuration& a, const Configuration& b);

/// Returns true when the delta changes nothing.
bool IsEmptyDelta(const ConfigurationDelta& delta);

}  // namespace quetzal

#endif  // QUETZAL_CONFIGURATION_CONFIGURATION_DELTA_H_
