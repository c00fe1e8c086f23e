#ifndef QUETZAL_CONFIGURATION_CREDENTIAL_H_
#define QUETZAL_CONFIGURATION_CREDENTIAL_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace quetzal {

/// Bytes of a digest of a credential.
inline constexpr std::size_t kCredentialDigestBytes = 32;

/// Returns true for a text that a header field can carry as one word: 1 to
/// kMaxCredentialBytes visible ASCII characters without spaces.
bool IsLegalCredential(std::string_view credential);

/// SHA-256 of `credential`. Configurations hold digests only, so that nodes store no
/// credentials and the time of a lookup reveals nothing about them.
std::string CredentialDigest(std::string_view credential);

}  // namespace quetzal

#endif  // QUETZAL_CONFIGURATION_CREDENTIAL_H_
