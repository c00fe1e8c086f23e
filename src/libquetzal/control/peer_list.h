#ifndef QUETZAL_CONTROL_PEER_LIST_H_
#define QUETZAL_CONTROL_PEER_LIST_H_

#include <map>
#include <string>

#include "base/settings.h"

namespace quetzal {

constexpr std::size_t kMaxControlInstances = 7;

/// Parses "name=ip:port,name=ip:port"; the entry called `self` is left out, so that every
/// control instance can be given the same list. Throws Error(kSettingsInvalid) that names
/// every wrong entry.
std::map<std::string, Endpoint> ParsePeers(const std::string& text,
                                           const std::string& self);

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_PEER_LIST_H_
