#include "calls/nested_call.h"

namespace quetzal {

// Callers and backend servers of one machine may share its address, so the connection
// does not tell them apart; the credential does, where the configuration has teams.
bool IsNestedCall(const Route& route, bool has_teams) {
  return has_teams && route.is_public();
}

}  // namespace quetzal
