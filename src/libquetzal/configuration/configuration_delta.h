#ifndef QUETZAL_CONFIGURATION_CONFIGURATION_DELTA_H_
#define QUETZAL_CONFIGURATION_CONFIGURATION_DELTA_H_

#include <memory>

#include "configuration.pb.h"

namespace quetzal {

/// What turns `from` into `to`; both have passed CheckConfiguration.
ConfigurationDelta MakeDelta(const Configuration& from, const Configuration& to);

/// `base` with `delta` applied. Throws Error(kConfigurationInvalid) when the delta does
/// not fit the base or when the result is no valid configuration.
std::shared_ptr<const Configuration> ApplyDelta(const Configuration& base,
                                                const ConfigurationDelta& delta);

/// Copies the parts of a configuration that are neither services nor routes.
void CopyWithoutLists(const Configuration& from, Configuration* to);

/// True when both configurations are the same.
bool SameConfiguration(const Configuration& a, const Configuration& b);

/// True when the delta changes nothing.
bool IsEmptyDelta(const ConfigurationDelta& delta);

}  // namespace quetzal

#endif  // QUETZAL_CONFIGURATION_CONFIGURATION_DELTA_H_
