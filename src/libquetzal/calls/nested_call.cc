#include "calls/nested_call.h"

namespace quetzal {
namespace {

bool IsLoopback(std::string_view address) {
  return address.substr(0, 4) == "127." || address == "::1";
}

}  // namespace

bool IsNestedCall(std::string_view remote_address, const LocalBackendServer& server) {
  return !remote_address.empty() && remote_address == server.address.address &&
         !IsLoopback(remote_address);
}

}  // namespace quetzal
