#ifndef QUETZAL_CALLS_CALLER_CREDENTIAL_H_
#define QUETZAL_CALLS_CALLER_CREDENTIAL_H_

#include <string>
#include <string_view>

#include "net/stream.h"

namespace quetzal {

/// Credential that a caller presents with its request.
struct CallerCredential {
  enum class State { kAbsent, kMalformed, kPresented };

  State state = State::kAbsent;
  std::string text;  ///< Only with kPresented.
};

/// Reads the credential from header fields named `field`: the scheme "Bearer" in any
/// case, and one word. A field given several times must have the same credential each
/// time; otherwise it would depend on the reader whose request it is.
CallerCredential ReadBearerCredential(const StreamHeaders& headers,
                                      std::string_view field);

/// Removes every field named `name`.
void RemoveField(std::string_view name, StreamHeaders* headers);

}  // namespace quetzal

#endif  // QUETZAL_CALLS_CALLER_CREDENTIAL_H_
