#include <iostream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "simulation/sim_fleet.h"

namespace quetzal::simulation {
namespace {

FleetShape SmallShape() {
  return {{{"haro", 9}, {"logrono", 3}}, {"haro", "logrono", "cenicero"}, 8};
}

TEST(Fleet, StartsAndConverges) {
  SimFleet fleet(1, SmallShape());
  fleet.StartAll();
  for (auto& node : fleet.nodes) fleet.Announce(&node, SERVER_UP);
  EXPECT_EQ(fleet.Settle(seconds(10)), "");
  EXPECT_TRUE(fleet.Confirm());
  EXPECT_EQ(fleet.Settle(seconds(1)), "");
  EXPECT_THAT(fleet.violations, testing::IsEmpty());
}

// Counts simulated bytes with headers, one datagram or frame per message, without TCP
// acknowledgements.
TEST(Fleet, TrafficStaysLowWhenIdleAndPerChange) {
  SimFleet fleet(6,
                 {{{"haro", 40}, {"logrono", 20}}, {"haro", "logrono", "cenicero"}, 8});
  fleet.StartAll();
  ASSERT_EQ(fleet.Settle(seconds(30)), "");
  fleet.world.Run(seconds(30));
  const auto bytes = [&] {
    return fleet.world.datagram_bytes + fleet.world.stream_bytes;
  };
  const auto nodes = static_cast<double>(fleet.nodes.size());
  auto before = bytes();
  fleet.world.Run(seconds(60));
  const double idle = static_cast<double>(bytes() - before) / nodes / 60;
  before = bytes();
  EXPECT_TRUE(fleet.Confirm());
  fleet.world.Run(seconds(10));
  const double change = static_cast<double>(bytes() - before) / nodes - 10 * idle;
  std::cout << "idle " << idle << " bytes/s a node, a change " << change
            << " bytes a node\n";
  EXPECT_LT(idle, 500);
  EXPECT_LT(change, 1500);
}

// One relay misses a change, so the relays of a data centre have applied different
// versions when it is cut off.
TEST(Fleet, MembersOfACutOffDataCentreConvergeOnTheirLatestVersion) {
  SimFleet fleet(5, {{{"haro", 12}}, {"logrono", "cenicero", "najera"}, 8});
  fleet.StartAll();
  ASSERT_EQ(fleet.Settle(seconds(30)), "");
  fleet.world.Run(seconds(20));
  auto* behind = fleet.Relay("haro");
  ASSERT_NE(behind, nullptr);
  for (const char* place : {"logrono", "cenicero", "najera"}) {
    fleet.world.Cut(place, behind->host->name);
  }
  EXPECT_TRUE(fleet.Confirm());
  fleet.world.Run(milliseconds(10));
  EXPECT_FALSE(
      IsSame(behind->distribution->routing().snapshot()->version, fleet.LastVersion()));
  for (const char* place : {"logrono", "cenicero", "najera"}) {
    fleet.world.Cut(place, "haro");
    fleet.world.Cut("haro", place);
  }
  fleet.world.Run(seconds(10));
  for (const auto& node : fleet.nodes) {
    const auto snapshot = node.distribution->routing().snapshot();
    ASSERT_NE(snapshot, nullptr) << node.host->name;
    EXPECT_TRUE(IsSame(snapshot->version, fleet.LastVersion())) << node.host->name;
  }
  EXPECT_THAT(fleet.violations, testing::IsEmpty());
}

}  // namespace
}  // namespace quetzal::simulation
