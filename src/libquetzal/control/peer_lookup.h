#ifndef QUETZAL_CONTROL_PEER_LOOKUP_H_
#define QUETZAL_CONTROL_PEER_LOOKUP_H_

#include <functional>
#include <optional>
#include <string>

#include "base/settings.h"

namespace quetzal {

/// Stream address of another control instance by its name; none when it is not known or
/// is this instance. Safe from any thread.
using PeerLookup = std::function<std::optional<Endpoint>(const std::string& name)>;

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_PEER_LOOKUP_H_
