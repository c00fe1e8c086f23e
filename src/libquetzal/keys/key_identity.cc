#include "keys/key_identity.h"

#include <charconv>

#include <xxhash.h>

#include "configuration/key_residue.h"

namespace quetzal {
namespace {

constexpr std::size_t kUuidChars = 36;
constexpr std::size_t kVersionChar = 14;
constexpr std::uint64_t kGroupSeed = 1;
constexpr std::uint64_t kHomeSeed = 2;

std::uint64_t Hash(const std::string& text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

bool IsUuid(const std::string& text) {
  if (text.size() != kUuidChars) return false;
  for (std::size_t n = 0; n < text.size(); ++n) {
    const bool dash = n == 8 || n == 13 || n == 18 || n == 23;
    if (dash != (text[n] == '-')) return false;
    if (!dash && std::isxdigit(static_cast<unsigned char>(text[n])) == 0) return false;
  }
  return true;
}

}  // namespace

std::optional<WallTime> KeyIssueTime(const std::string& key) {
  if (key.size() < kUuidChars) return std::nullopt;
  const std::string uuid = key.substr(key.size() - kUuidChars);
  if (!IsUuid(uuid) || uuid[kVersionChar] != '7') return std::nullopt;
  const std::string hex = uuid.substr(0, 8) + uuid.substr(9, 4);
  std::uint64_t millis = 0;
  std::from_chars(hex.data(), hex.data() + hex.size(), millis, 16);
  return WallTime(std::chrono::milliseconds(millis));
}

std::string KeyHome(const std::string& key, const Configuration& configuration) {
  const std::string prefix = key.substr(0, key.find('.'));
  std::string home;
  std::uint64_t best = 0;
  for (const std::string& data_centre : configuration.data_centres()) {
    if (data_centre == prefix && prefix.size() < key.size()) return data_centre;
    const std::uint64_t rank = Hash(data_centre + '\n' + key, kHomeSeed);
    if (home.empty() || rank > best) {
      home = data_centre;
      best = rank;
    }
  }
  return home;
}

std::uint64_t KeyHash(const std::string& key) { return Hash(key, kGroupSeed); }

const KeyGroup* FindKeyGroup(const std::string& key, const Configuration& configuration) {
  const std::string home = KeyHome(key, configuration);
  std::size_t count = 0;
  for (const KeyGroup& group : configuration.key_groups()) {
    if (group.data_centre() == home) ++count;
  }
  const std::uint64_t hash = KeyHash(key);
  for (const KeyGroup& group : configuration.key_groups()) {
    const bool holds =
        group.data_centre() == home && ResidueOf(group, count).Contains(hash);
    if (holds) return &group;
  }
  return nullptr;
}

}  // namespace quetzal
