#include <gtest/gtest.h>

#include "simulation/sim_fleet.h"

namespace quetzal::simulation {
namespace {

// A control instance that restarts applies its log entry by entry.
TEST(PublisherTest, ConfigurationsOfAReplayedLogAreSentAsOne) {
  SimFleet fleet(3, {{{"a", 1}}, {"a"}, 8});
  fleet.StartAll();
  ASSERT_EQ(fleet.Settle(seconds(20)), "");
  fleet.events.clear();
  for (int n = 0; n < 25; ++n) fleet.Confirm();
  EXPECT_EQ(fleet.Settle(seconds(5)), "");
  EXPECT_EQ(fleet.events["configuration.applied"], 1);
}

// All nodes restart at once; their links are narrow, those of the control instances wide.
TEST(PublisherTest, ANodeWithoutAConfigurationAsksAControlInstance) {
  SimFleet fleet(4, {{{"a", 12}}, {"a", "b", "c"}, 8});
  fleet.StartAll();
  ASSERT_EQ(fleet.Settle(seconds(20)), "");
  fleet.world.Run(seconds(5));
  for (auto& node : fleet.nodes) fleet.Crash(&node);
  for (auto& node : fleet.nodes) fleet.StartNode(&node);
  fleet.world.Run(milliseconds(250));
  EXPECT_TRUE(fleet.AllLiveNodes([](const SimFleet::Node& node) {
    return node.distribution->routing().snapshot() != nullptr;
  }));
  fleet.world.Run(seconds(4));
  std::size_t direct = 0;
  for (const auto& control : fleet.controls) direct += control.publisher->sessions();
  EXPECT_LE(direct, 4u) << "two relays, and one that a change of members may add";
}

}  // namespace
}  // namespace quetzal::simulation
