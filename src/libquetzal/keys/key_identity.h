#ifndef QUETZAL_KEYS_KEY_IDENTITY_H_
#define QUETZAL_KEYS_KEY_IDENTITY_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/clock.h"
#include "configuration.pb.h"

namespace quetzal {

/// Longest idempotency key, bytes.
inline constexpr std::size_t kMaxKeyBytes = 200;

/// Returns the time of issue from a key that is a version 7 UUID (RFC 9562), with or
/// without a home data centre in front ("haro.0190…"); empty for other keys.
std::optional<WallTime> KeyIssueTime(const std::string& key);

/// Returns the home data centre of `key`, which keeps the record of the key: the part
/// before the first '.' if that is a data centre of the configuration, else one chosen by
/// rendezvous hashing, which gives the same result on every instance. Empty when the
/// configuration lists no data centres.
std::string KeyHome(const std::string& key, const Configuration& configuration);

/// Returns the hash that assigns `key` to a key group of its home data centre.
std::uint64_t KeyHash(const std::string& key);

/// Returns the group that keeps the record of `key`; null when its home data centre has
/// no groups.
const KeyGroup* FindKeyGroup(const std::string& key, const Configuration& configuration);

}  // namespace quetzal

#endif  // QUETZAL_KEYS_KEY_IDENTITY_H_
