#include "configuration/credential.h"

#include <algorithm>

#include <openssl/sha.h>

#include "configuration/configuration_limits.h"

namespace quetzal {

static_assert(kCredentialDigestBytes == SHA256_DIGEST_LENGTH);

bool IsLegalCredential(std::string_view credential) {
  return !credential.empty() && credential.size() <= kMaxCredentialBytes &&
         std::all_of(credential.begin(), credential.end(),
                     [](char c) { return c > ' ' && c < 0x7f; });
}

std::string CredentialDigest(std::string_view credential) {
  std::string digest(kCredentialDigestBytes, '\0');
  SHA256(reinterpret_cast<const unsigned char*>(credential.data()), credential.size(),
         reinterpret_cast<unsigned char*>(digest.data()));
  return digest;
}

}  // namespace quetzal
