// Members whose seeds do not include each other learn of each other from their peers'
// tables.
#include <gtest/gtest.h>

#include "simulation/sim_fleet.h"

namespace quetzal::simulation {
namespace {

TEST(JoinSettleTest, AFleetThatStartsAtOnceKnowsAllItsMembersWithinTenSeconds) {
  for (std::uint64_t seed = 1; seed <= 1000; seed += 10) {
    SimFleet fleet(seed, {{{"a", 4}, {"b", 4}, {"c", 3}}, {"a", "b", "c"}, 8});
    fleet.StartAll();
    EXPECT_EQ(fleet.Settle(seconds(10)), "") << "seed " << seed;
  }
}

}  // namespace
}  // namespace quetzal::simulation
