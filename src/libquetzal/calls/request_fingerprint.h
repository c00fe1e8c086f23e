#ifndef QUETZAL_CALLS_REQUEST_FINGERPRINT_H_
#define QUETZAL_CALLS_REQUEST_FINGERPRINT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "net/stream.h"

namespace quetzal {

/// Bytes of a body that count for its fingerprint. Less than the window of a stream, so
/// that they arrive without being read.
inline constexpr std::size_t kFingerprintBodyBytes = std::size_t{32} * 1024;

/// Tells whether two requests are the same one, whatever their attempts and the nodes
/// that received them.
struct RequestFingerprint {
  std::uint32_t head = 0;    ///< Of the head alone; rules out most other requests.
  std::uint64_t digest = 0;  ///< Of head and body.
};

/// The digest in hexadecimal, as in events and for operators.
std::string ToString(const RequestFingerprint& fingerprint);

/// The part of a request that its fingerprint covers: method, name of the route, path
/// with query, the caller's team or else its credentials, and the first
/// kFingerprintBodyBytes of the body.
class RequestIdentity {
 public:
  RequestIdentity(std::string_view method, std::string_view route, std::string_view path,
                  const StreamHeaders& fields, std::string_view team = {});

  void AppendBody(std::string_view bytes);

  /// True once more of the body makes no difference.
  bool body_full() const { return body_.size() >= kFingerprintBodyBytes; }

  /// Of the body appended so far.
  RequestFingerprint Fingerprint() const;

  /// Equals Fingerprint().head.
  std::uint32_t HeadDigest() const;

  /// A fast hash for tables of one process; `seed` must not be known to callers.
  std::uint64_t LocalHash(std::uint64_t seed) const;

 private:
  std::string head_;
  std::string body_;
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_REQUEST_FINGERPRINT_H_
