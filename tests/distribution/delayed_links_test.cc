// Changes reach every node over links with different delays and message loss, within a
// time limit, and no node returns to an older version.
#include <algorithm>
#include <iostream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "simulation/sim_fleet.h"

namespace quetzal::simulation {
namespace {

constexpr int kChanges = 20;

// A simulated link delays a message by up to a quarter more than its base delay, and a
// channel sends the next batch only after the last one has arrived. Without loss, a
// change is reported by all nodes within three such delays of at most 62.5 ms each.
struct Case {
  const char* name;
  double drop;
  Duration reported_limit;  ///< Simulated, for the slowest change.
};

class DelayedLinks : public testing::TestWithParam<Case> {
 protected:
  DelayedLinks()
      : fleet_(11, {{{"lensa-1", 12}, {"lensa-2", 9}, {"norte", 10}, {"sur", 4}},
                    {"lensa-1", "lensa-2", "lensa-3"},
                    8}) {
    const std::vector<std::string> lensa = {"lensa-1", "lensa-2", "lensa-3"};
    for (const std::string& from : lensa) {
      for (const std::string& to : lensa) {
        if (from != to) fleet_.world.SetDelay(from, to, std::chrono::microseconds(1500));
      }
      fleet_.world.SetDelay(from, "norte", milliseconds(50));
      fleet_.world.SetDelay(from, "sur", milliseconds(50));
    }
    fleet_.world.SetDelay("norte", "sur", milliseconds(50));
  }

  bool AllServe() const {
    return fleet_.AllLiveNodes([this](const SimFleet::Node& node) {
      const auto snapshot = node.distribution->routing().snapshot();
      return snapshot != nullptr && IsSame(snapshot->version, fleet_.LastVersion());
    });
  }
  bool AllReported() const {
    return fleet_.AllLiveNodes([this](const SimFleet::Node& node) {
      auto it = fleet_.acks().find(node.host->name);
      return it != fleet_.acks().end() &&
             IsSame(it->second.applied_version, fleet_.LastVersion());
    });
  }
  Duration Until(const std::function<bool()>& done, SteadyTime since) {
    while (!done() && fleet_.world.clock.Now() - since < seconds(30)) {
      fleet_.world.Run(std::chrono::microseconds(500));
    }
    return fleet_.world.clock.Now() - since;
  }

  SimFleet fleet_;
};

double Millis(Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

TEST_P(DelayedLinks, ChangesArriveEverywhereAndNoVersionIsReverted) {
  fleet_.StartAll();
  ASSERT_EQ(fleet_.Settle(seconds(30)), "");
  fleet_.world.Run(seconds(20));
  fleet_.world.conditions.drop_share = GetParam().drop;
  std::vector<Duration> served;
  std::vector<Duration> reported;
  for (int n = 0; n < kChanges; ++n) {
    const SteadyTime since = fleet_.world.clock.Now();
    ASSERT_TRUE(fleet_.Confirm());
    served.push_back(Until([this] { return AllServe(); }, since));
    reported.push_back(Until([this] { return AllReported(); }, since));
    fleet_.world.Run(seconds(1));
  }
  std::sort(served.begin(), served.end());
  std::sort(reported.begin(), reported.end());
  std::cout << GetParam().name << ": served p50 " << Millis(served[kChanges / 2])
            << " worst " << Millis(served.back()) << " ms, reported p50 "
            << Millis(reported[kChanges / 2]) << " worst " << Millis(reported.back())
            << " ms\n";
  EXPECT_GE(served.front(), milliseconds(50));
  EXPECT_GE(reported.front(), milliseconds(100));
  EXPECT_LE(reported.back(), GetParam().reported_limit);
  EXPECT_THAT(fleet_.violations, testing::IsEmpty());
}

INSTANTIATE_TEST_SUITE_P(Loss, DelayedLinks,
                         testing::Values(Case{"None", 0, milliseconds(190)},
                                         Case{"OnePercent", 0.01, seconds(1)},
                                         Case{"FivePercent", 0.05, seconds(2)},
                                         Case{"TwentyPercent", 0.2, seconds(10)}),
                         [](const auto& it) { return it.param.name; });

}  // namespace
}  // namespace quetzal::simulation
