#include "net/stream.h"

#include <utility>

namespace quetzal {

std::string_view HeaderValue(const StreamHeaders& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (key == name) return value;
  }
  return {};
}

Endpoint StreamTransport::Listen(const Endpoint& endpoint, StreamAcceptor acceptor) {
  Endpoint bound = Bind(endpoint, std::move(acceptor));
  StartAccepting();
  return bound;
}

}  // namespace quetzal
