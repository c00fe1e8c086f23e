#include "membership/endpoint_text.h"

#include "base/result_code.h"

namespace quetzal {

std::optional<Endpoint> TryEndpoint(const std::string& text) {
  if (text.empty()) return std::nullopt;
  try {
    return ParseEndpoint(text);
  } catch (const Error&) {
    return std::nullopt;
  }
}

}  // namespace quetzal
