#ifndef QUETZAL_CALLS_NESTED_CALL_H_
#define QUETZAL_CALLS_NESTED_CALL_H_

#include <string_view>

#include "calls/call_path.h"

namespace quetzal {

/// True when a request comes from the node's own backend server, which makes it while it
/// runs another request. `remote_address` is the IP address of the caller's connection;
/// empty: not known. Loopback addresses never count, since callers and servers of one
/// machine share them.
bool IsNestedCall(std::string_view remote_address, const LocalBackendServer& server);

}  // namespace quetzal

#endif  // QUETZAL_CALLS_NESTED_CALL_H_
