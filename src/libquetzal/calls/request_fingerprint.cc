#include "calls/request_fingerprint.h"

#include <array>
#include <cstdio>

#include <openssl/sha.h>
#include <xxhash.h>

namespace quetzal {
namespace {

/// Credentials tell callers apart: the same path may lead to other data for each of them.
/// With teams, the team does so, and its credential is not forwarded.
constexpr char kCredentialsField[] = "authorization";

using Sha256 = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

// Callers must not be able to build a request with the fingerprint of another one, which
// would then be refused, so that a cryptographic hash is needed.
Sha256 HashOf(std::string_view text) {
  Sha256 hash{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), hash.data());
  return hash;
}

template <class Number>
Number FirstBytes(const Sha256& hash) {
  Number number = 0;
  for (std::size_t n = 0; n < sizeof(Number); ++n) {
    number = static_cast<Number>(number << 8) | hash[n];
  }
  return number;
}

}  // namespace

std::string ToString(const RequestFingerprint& fingerprint) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(fingerprint.digest));
  return text;
}

// The route stands for the host: callers may also name the host by the address of the
// node that they use.
RequestIdentity::RequestIdentity(std::string_view method, std::string_view route,
                                 std::string_view path, const StreamHeaders& fields,
                                 std::string_view team) {
  const std::string_view caller =
      team.empty() ? HeaderValue(fields, kCredentialsField) : team;
  for (const std::string_view part : {method, route, path, caller}) {
    head_.append(std::to_string(part.size())).append(1, ':').append(part);
  }
}

void RequestIdentity::AppendBody(std::string_view bytes) {
  body_.append(bytes.substr(0, kFingerprintBodyBytes - body_.size()));
}

RequestFingerprint RequestIdentity::Fingerprint() const {
  const Sha256 head = HashOf(head_);
  std::string whole(head.begin(), head.end());
  whole += body_;
  return {FirstBytes<std::uint32_t>(head), FirstBytes<std::uint64_t>(HashOf(whole))};
}

std::uint32_t RequestIdentity::HeadDigest() const {
  return FirstBytes<std::uint32_t>(HashOf(head_));
}

std::uint64_t RequestIdentity::LocalHash(std::uint64_t seed) const {
  return XXH3_64bits_withSeed(body_.data(), body_.size(),
                              XXH3_64bits_withSeed(head_.data(), head_.size(), seed));
}

}  // namespace quetzal
