#ifndef QUETZAL_CALLS_NESTED_CALL_H_
#define QUETZAL_CALLS_NESTED_CALL_H_

#include "configuration.pb.h"

namespace quetzal {

/// True for the requests that backend servers make while they run other requests: where
/// callers need a credential, servers have none and use the public routes.
bool IsNestedCall(const Route& route, bool has_teams);

}  // namespace quetzal

#endif  // QUETZAL_CALLS_NESTED_CALL_H_
