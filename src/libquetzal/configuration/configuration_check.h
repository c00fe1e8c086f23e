#ifndef QUETZAL_CONFIGURATION_CONFIGURATION_CHECK_H_
#define QUETZAL_CONFIGURATION_CONFIGURATION_CHECK_H_

#include <string>

#include "configuration.pb.h"

namespace quetzal {

/// Returns true for a legal name of a service, route, instance, data centre or load
/// policy: 1 to kMaxNameLength characters of a-z, 0-9, '-', '_' and '.', the first a
/// letter or digit.
bool IsLegalName(const std::string& name);

/// Checks a whole configuration: names, limits, order and uniqueness of the lists, that
/// every target of a route is a service of the configuration, that every route has a
/// target with a weight above 0 unless its shares are fixed, that no two routes match the
/// same requests, the key groups and the teams. Throws Error(kConfigurationInvalid) that
/// names the first fault.
void CheckConfiguration(const Configuration& configuration);

}  // namespace quetzal

#endif  // QUETZAL_CONFIGURATION_CONFIGURATION_CHECK_H_
