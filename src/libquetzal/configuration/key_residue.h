#ifndef QUETZAL_CONFIGURATION_KEY_RESIDUE_H_
#define QUETZAL_CONFIGURATION_KEY_RESIDUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "configuration.pb.h"

namespace quetzal {

/// Residue class of the key hashes that belong to one key group.
struct KeyResidue {
  std::uint64_t remainder = 0;
  std::uint64_t modulus = 1;

  bool Contains(std::uint64_t hash) const { return hash % modulus == remainder; }

  /// Returns true when this class contains every hash of `other`.
  bool Contains(const KeyResidue& other) const {
    return other.modulus % modulus == 0 && Contains(other.remainder);
  }
};

/// Returns the number of key groups of each data centre.
std::map<std::string, std::size_t> CountKeyGroups(const Configuration& configuration);

/// Returns the residue class of `group`, one of `count` groups of its data centre.
KeyResidue ResidueOf(const KeyGroup& group, std::size_t count);

/// Splits a group with a modulus into two halves in a new generation: changes `group` to
/// one half and returns the other. Both keep the lists of holders, so each holder divides
/// its own records.
KeyGroup SplitKeyGroup(KeyGroup* group);

/// Returns true when each hash belongs to exactly one of the groups of `data_centre`.
bool KeyGroupsCoverAllKeys(const Configuration& configuration,
                           const std::string& data_centre);

}  // namespace quetzal

#endif  // QUETZAL_CONFIGURATION_KEY_RESIDUE_H_
