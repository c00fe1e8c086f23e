#ifndef QUETZAL_MEMBERSHIP_ENDPOINT_TEXT_H_
#define QUETZAL_MEMBERSHIP_ENDPOINT_TEXT_H_

#include <optional>
#include <string>

#include "base/settings.h"

namespace quetzal {

/// Parses "ip:port" from a message of another instance. Returns nullopt when it is
/// malformed.
std::optional<Endpoint> TryEndpoint(const std::string& text);

}  // namespace quetzal

#endif  // QUETZAL_MEMBERSHIP_ENDPOINT_TEXT_H_
