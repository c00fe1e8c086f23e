#ifndef QUETZAL_DISTRIBUTION_RELAY_CHOICE_H_
#define QUETZAL_DISTRIBUTION_RELAY_CHOICE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace quetzal {

/// Returns `names` ordered by rendezvous hash for `key`, the highest first: adding or
/// removing a name does not reorder the others.
std::vector<std::string> RankByRendezvous(std::vector<std::string> names,
                                          const std::string& key);

/// Returns the number of relays for a data centre with `members` participating members.
std::size_t RelayCount(std::size_t members);

}  // namespace quetzal

#endif  // QUETZAL_DISTRIBUTION_RELAY_CHOICE_H_
