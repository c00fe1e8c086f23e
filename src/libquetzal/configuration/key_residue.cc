#include "configuration/key_residue.h"

#include <numeric>
#include <vector>

namespace quetzal {
namespace {

/// Limit of the least common multiple of the moduli of a data centre.
constexpr std::uint64_t kMaxModulus = 1ULL << 20;

bool Overlap(const KeyResidue& a, const KeyResidue& b) {
  const std::uint64_t common = std::gcd(a.modulus, b.modulus);
  return a.remainder % common == b.remainder % common;
}

bool AreDisjoint(const std::vector<KeyResidue>& residues) {
  for (std::size_t n = 0; n < residues.size(); ++n) {
    for (std::size_t m = 0; m < n; ++m) {
      if (Overlap(residues[n], residues[m])) return false;
    }
  }
  return true;
}

}  // namespace

std::map<std::string, std::size_t> CountKeyGroups(const Configuration& configuration) {
  std::map<std::string, std::size_t> count;
  for (const KeyGroup& group : configuration.key_groups()) ++count[group.data_centre()];
  return count;
}

KeyResidue ResidueOf(const KeyGroup& group, std::size_t count) {
  return {group.number(), group.modulus() == 0 ? count : group.modulus()};
}

KeyGroup SplitKeyGroup(KeyGroup* group) {
  group->set_generation(group->generation() + 1);
  KeyGroup other = *group;
  other.set_number(group->number() + group->modulus());
  group->set_modulus(2 * group->modulus());
  other.set_modulus(group->modulus());
  return other;
}

bool KeyGroupsCoverAllKeys(const Configuration& configuration,
                           const std::string& data_centre) {
  const std::size_t count = CountKeyGroups(configuration)[data_centre];
  std::vector<KeyResidue> residues;
  std::uint64_t multiple = 1;
  for (const KeyGroup& group : configuration.key_groups()) {
    if (group.data_centre() != data_centre) continue;
    residues.push_back(ResidueOf(group, count));
    const KeyResidue& residue = residues.back();
    if (residue.remainder >= residue.modulus) return false;
    multiple = std::lcm(multiple, residue.modulus);
    if (multiple > kMaxModulus) return false;
  }
  std::uint64_t covered = 0;
  for (const KeyResidue& residue : residues) covered += multiple / residue.modulus;
  return covered == multiple && AreDisjoint(residues);
}

}  // namespace quetzal
