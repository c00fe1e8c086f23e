// Membership of a simulated fleet: leaving, death, a data centre that is cut off, a
// paused process and a restart. The clock is simulated.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "simulation/sim_fleet.h"

namespace quetzal::simulation {
namespace {

FleetShape Shape() { return {{{"haro", 6}, {"logrono", 4}}, {"haro"}, 100}; }

MemberState StateSeen(const SimFleet::Node& by, const std::string& name) {
  for (const Member& member : by.distribution->members()) {
    if (member.instance() == name) return member.state();
  }
  return MEMBER_LEFT;
}

/// Empty when all other live nodes see the state; else names the first that does not.
std::string StateEverywhere(SimFleet* fleet, const std::string& name, MemberState state) {
  for (const auto& node : fleet->nodes) {
    if (node.distribution == nullptr || node.host->name == name) continue;
    if (StateSeen(node, name) != state)
      return node.host->name + " does not see the state";
  }
  return "";
}

struct Settled {
  explicit Settled(std::uint64_t seed) : fleet(seed, Shape()) {
    fleet.StartAll();
    fleet.world.Run(milliseconds(10));
    for (auto& node : fleet.nodes) fleet.Announce(&node, SERVER_UP);
    settled = fleet.Settle(seconds(20));
  }
  SimFleet fleet;
  std::string settled;
};

class Seeds : public testing::TestWithParam<std::uint64_t> {};

TEST_P(Seeds, LeavingIsKnownEverywhereWithinTwoSeconds) {
  Settled run(GetParam());
  ASSERT_EQ(run.settled, "");
  run.fleet.nodes[0].distribution->Leave([] {});
  run.fleet.world.Run(seconds(2));
  for (auto& node : run.fleet.nodes) {
    const auto snapshot = node.distribution->routing().snapshot();
    ASSERT_NE(snapshot, nullptr);
    for (const BackendTarget& target : snapshot->targets) {
      if (target.instance != "haro-0") continue;
      EXPECT_EQ(target.state, SERVER_LEAVING) << node.host->name;
    }
  }
}

TEST_P(Seeds, DeathIsDeclaredByTheSameDataCentre) {
  Settled run(GetParam());
  ASSERT_EQ(run.settled, "");
  run.fleet.Crash(run.fleet.NodeNamed("haro-0"));
  run.fleet.world.Run(seconds(12));
  EXPECT_EQ(StateEverywhere(&run.fleet, "haro-0", MEMBER_DEAD), "");
}

TEST_P(Seeds, ACutOffDataCentreIsNotDead) {
  Settled run(GetParam());
  ASSERT_EQ(run.settled, "");
  run.fleet.world.Cut("haro", "logrono");
  run.fleet.world.Cut("logrono", "haro");
  run.fleet.world.Run(seconds(30));
  const auto& node = run.fleet.nodes[0];
  EXPECT_THAT(node.distribution->status().cut_off_data_centres,
              testing::ElementsAre("logrono"));
  EXPECT_EQ(StateSeen(node, "logrono-0"), MEMBER_ALIVE);
  const auto snapshot = node.distribution->routing().snapshot();
  ASSERT_NE(snapshot, nullptr);
  for (const BackendTarget& target : snapshot->targets) {
    EXPECT_EQ(target.data_centre, "haro");
  }
  run.fleet.world.HealAll();
  EXPECT_EQ(run.fleet.Settle(seconds(20)), "");
}

TEST_P(Seeds, MassFailureKeepsTheLastTargets) {
  Settled run(GetParam());
  ASSERT_EQ(run.settled, "");
  for (auto& node : run.fleet.nodes) {
    if (node.host->name != "haro-0") run.fleet.Crash(&node);
  }
  run.fleet.world.Run(seconds(40));
  const auto snapshot = run.fleet.nodes[0].distribution->routing().snapshot();
  ASSERT_NE(snapshot, nullptr);
  std::set<std::string> services;
  for (const BackendTarget& target : snapshot->targets) services.insert(target.service);
  EXPECT_THAT(services, testing::ElementsAre("desk", "taller"));
}

TEST_P(Seeds, ALongPauseEndsServiceUntilConfirmedFreshAgain) {
  Settled run(GetParam());
  ASSERT_EQ(run.settled, "");
  auto& node = run.fleet.nodes[2];
  run.fleet.world.Pause(node.host);
  run.fleet.world.Run(seconds(8));
  EXPECT_TRUE(run.fleet.Confirm());
  // The pause is over, but the process has not run yet.
  EXPECT_EQ(node.distribution->routing().snapshot(), nullptr);
  run.fleet.world.Resume(node.host);
  EXPECT_EQ(run.fleet.Settle(seconds(20)), "");
  EXPECT_THAT(run.fleet.violations, testing::IsEmpty());
}

TEST_P(Seeds, ARestartInACutOffDataCentreServesNoLessThanItsPeersKnow) {
  Settled run(GetParam());
  ASSERT_EQ(run.settled, "");
  run.fleet.world.Cut("haro", "logrono");
  run.fleet.world.Cut("logrono", "haro");
  auto* node = run.fleet.NodeNamed("logrono-1");
  run.fleet.Crash(node);
  run.fleet.StartNode(node);
  run.fleet.world.Run(seconds(2));
  EXPECT_EQ(node->distribution->routing().snapshot(), nullptr);
  run.fleet.world.Run(seconds(15));
  const auto snapshot = node->distribution->routing().snapshot();
  ASSERT_NE(snapshot, nullptr);
  EXPECT_TRUE(IsSame(snapshot->version, run.fleet.LastVersion()));
}

INSTANTIATE_TEST_SUITE_P(Some, Seeds, testing::Range<std::uint64_t>(1, 9));

}  // namespace
}  // namespace quetzal::simulation
