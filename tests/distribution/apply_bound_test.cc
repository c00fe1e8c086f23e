// A confirmed change is in force at every node that reaches the majority of the control
// instances within a bound, whichever source in the chain from control instance over
// relay to node stops at the same time.
#include <functional>
#include <string>
#include <tuple>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "simulation/sim_fleet.h"

namespace quetzal::simulation {
namespace {

/// The platform's shortest configApplyS.
constexpr Duration kApplyBound = seconds(2);

struct Fleet {
  const char* name;
  FleetShape shape;
  std::size_t lost_controls;   ///< Control instances that may be lost at once.
  std::vector<int> delays_ms;  ///< From the fault to the change.
};

struct Fault {
  const char* name;
  std::function<void(SimFleet*, std::size_t lost_controls)> begin;
};

/// Separates the first control instances from the others, but from no node.
void IsolateControls(SimFleet* fleet, std::size_t count) {
  for (std::size_t a = 0; a < fleet->controls.size(); ++a) {
    for (std::size_t b = 0; b < fleet->controls.size(); ++b) {
      if ((a < count) == (b < count)) continue;
      fleet->world.Cut(fleet->controls[a].host->name, fleet->controls[b].host->name);
    }
  }
}

std::vector<Fleet> Fleets() {
  return {{"Small",
           {{{"a", 4}, {"b", 4}, {"c", 3}}, {"a", "b", "c"}, 8},
           1,
           {0, 300, 700, 1100, 1600}},
          {"Grown",
           {{{"a", 22}, {"b", 21}, {"c", 21}}, {"a", "b", "c"}, 8},
           1,
           {0, 300, 700, 1100, 1600}},
          {"Large",
           {{{"a", 38}, {"b", 38}, {"c", 38}, {"d", 38}, {"e", 38}},
            {"a", "b", "c", "d", "e"},
            8},
           2,
           {0, 700}}};
}

std::vector<Fault> Faults() {
  return {{"None", [](SimFleet*, std::size_t) {}},
          {"ControlsIsolated", IsolateControls},
          {"ControlsPaused",
           [](SimFleet* fleet, std::size_t count) {
             for (std::size_t n = 0; n < count; ++n) {
               fleet->world.Pause(fleet->controls[n].host);
             }
           }},
          {"ControlsKilled",
           [](SimFleet* fleet, std::size_t count) {
             for (std::size_t n = 0; n < count; ++n) fleet->Crash(&fleet->controls[n]);
           }},
          {"RelayPaused",
           [](SimFleet* fleet, std::size_t) {
             if (auto* relay = fleet->Relay("a")) fleet->world.Pause(relay->host);
           }},
          {"RelayCutFromControls", [](SimFleet* fleet, std::size_t) {
             auto* relay = fleet->Relay("a");
             if (relay == nullptr) return;
             for (const auto& control : fleet->controls) {
               fleet->world.Cut(control.host->name, relay->host->name);
               fleet->world.Cut(relay->host->name, control.host->name);
             }
           }}};
}

using Param = std::tuple<std::size_t, std::size_t>;

class ApplyBound : public testing::TestWithParam<Param> {};

TEST_P(ApplyBound, HoldsWhenASourceStops) {
  const Fleet shape = Fleets()[std::get<0>(GetParam())];
  const Fault fault = Faults()[std::get<1>(GetParam())];
  for (const int delay_ms : shape.delays_ms) {
    SCOPED_TRACE("change " + std::to_string(delay_ms) + " ms after the fault");
    SimFleet fleet(static_cast<std::uint64_t>(delay_ms) + 1, shape.shape);
    fleet.StartAll();
    ASSERT_EQ(fleet.Settle(seconds(60)), "");
    fleet.world.Run(seconds(10));
    fault.begin(&fleet, shape.lost_controls);
    fleet.world.Run(milliseconds(delay_ms));
    ASSERT_TRUE(fleet.Confirm());
    fleet.world.Run(kApplyBound);
    int late = 0;
    std::string names;
    for (const auto& node : fleet.nodes) {
      if (node.host->paused) continue;
      const auto snapshot = node.distribution->routing().snapshot();
      if (snapshot != nullptr && IsSame(snapshot->version, fleet.LastVersion())) continue;
      ++late;
      names += " " + node.host->name;
    }
    EXPECT_EQ(late, 0) << names;
    EXPECT_THAT(fleet.violations, testing::IsEmpty());
  }
}

INSTANTIATE_TEST_SUITE_P(Fleets, ApplyBound,
                         testing::Combine(testing::Range<std::size_t>(0, Fleets().size()),
                                          testing::Range<std::size_t>(0,
                                                                      Faults().size())),
                         [](const auto& it) {
                           return std::string(Fleets()[std::get<0>(it.param)].name) +
                                  Faults()[std::get<1>(it.param)].name;
                         });

}  // namespace
}  // namespace quetzal::simulation
