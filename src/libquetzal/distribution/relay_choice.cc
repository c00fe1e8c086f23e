#include "distribution/relay_choice.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace quetzal {

namespace {

/// A relay sends each change to each of its subscribers over a link that its requests
/// share: with more subscribers, a change of 150 KB takes over a second at 4 Mbit/s.
constexpr std::size_t kMembersPerRelay = 6;

/// At least two, to tolerate the loss of one; at most six, to bound the subscribers of
/// control instances when there are many data centres.
constexpr std::size_t kMinRelays = 2;
constexpr std::size_t kMaxRelays = 6;

}  // namespace

std::vector<std::string> RankByRendezvous(std::vector<std::string> names,
                                          const std::string& key) {
  const std::uint64_t seed = XXH64(key.data(), key.size(), 0);
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  ranked.reserve(names.size());
  for (std::string& name : names) {
    const std::uint64_t weight = XXH64(name.data(), name.size(), seed);
    ranked.emplace_back(weight, std::move(name));
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<std::string> result;
  result.reserve(ranked.size());
  for (auto& [weight, name] : ranked) result.push_back(std::move(name));
  return result;
}

std::size_t RelayCount(std::size_t members) {
  return std::clamp(members / kMembersPerRelay, kMinRelays, kMaxRelays);
}

}  // namespace quetzal
