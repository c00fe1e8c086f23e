#include "configuration/key_residue.h"

#include <gtest/gtest.h>

#include "base/result_code.h"
#include "configuration/configuration_check.h"
#include "keys/key_identity.h"

namespace quetzal {
namespace {

Configuration GroupsOf(std::uint32_t count, std::uint32_t modulus) {
  Configuration configuration;
  configuration.add_data_centres("haro");
  for (std::uint32_t number = 0; number < count; ++number) {
    KeyGroup* group = configuration.add_key_groups();
    group->set_data_centre("haro");
    group->set_number(number);
    group->set_generation(1);
    group->set_modulus(modulus);
    group->add_members()->set_instance("node-" + std::to_string(number));
    group->mutable_members(0)->set_stream_address("127.0.0.1:7000");
  }
  return configuration;
}

TEST(KeyResidueTest, ASplitMovesKeysOnlyToTheNewHalf) {
  Configuration configuration = GroupsOf(3, 3);
  const Configuration before = configuration;
  const KeyGroup other = SplitKeyGroup(configuration.mutable_key_groups(1));
  *configuration.add_key_groups() = other;
  CheckConfiguration(configuration);
  int moved = 0;
  for (int n = 0; n < 600; ++n) {
    const std::string key = "haro.order-" + std::to_string(n);
    const std::uint32_t from = FindKeyGroup(key, before)->number();
    const std::uint32_t to = FindKeyGroup(key, configuration)->number();
    if (from == to) continue;
    EXPECT_EQ(from, 1U);
    EXPECT_EQ(to, other.number());
    ++moved;
  }
  EXPECT_GT(moved, 50);
}

TEST(KeyResidueTest, GroupsWithoutAModulusShareTheKeysByTheirNumber) {
  const Configuration plain = GroupsOf(5, 0);
  const Configuration named = GroupsOf(5, 5);
  for (int n = 0; n < 100; ++n) {
    const std::string key = "haro.order-" + std::to_string(n);
    EXPECT_EQ(FindKeyGroup(key, plain)->number(), KeyHash(key) % 5);
    EXPECT_EQ(FindKeyGroup(key, named)->number(), KeyHash(key) % 5);
  }
}

TEST(KeyResidueTest, RefusesGroupsThatMissAKeyOrShareOne) {
  Configuration gap = GroupsOf(2, 2);
  gap.mutable_key_groups(1)->set_modulus(4);
  EXPECT_THROW(CheckConfiguration(gap), Error);
  Configuration twice = GroupsOf(2, 2);
  twice.mutable_key_groups(1)->set_modulus(1);
  EXPECT_THROW(CheckConfiguration(twice), Error);
  Configuration overlap = GroupsOf(3, 3);
  overlap.mutable_key_groups(2)->set_modulus(4);
  EXPECT_THROW(CheckConfiguration(overlap), Error);
  EXPECT_NO_THROW(CheckConfiguration(GroupsOf(4, 4)));
}

}  // namespace
}  // namespace quetzal
