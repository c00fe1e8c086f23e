#include "control/rollout_counts.h"

#include <gtest/gtest.h>

namespace quetzal {
namespace {

using std::chrono::milliseconds;

VersionCounts Counts(std::uint64_t answered, std::uint64_t failed,
                     const std::string& route = "r", bool new_version = true) {
  VersionCounts counts;
  counts.set_route(route);
  counts.set_new_version(new_version);
  counts.set_answered(answered);
  counts.set_failed(failed);
  counts.set_time_ms(answered * 10);
  return counts;
}

class RolloutCountsTest : public testing::Test {
 protected:
  const ResponseCounts& Whole(const std::string& route = "r") {
    return counts_.evidence().whole.at(route).new_version;
  }
  RolloutCounts counts_;
};

TEST_F(RolloutCountsTest, ReportsOfAllNodesAreAddedByRouteAndSide) {
  counts_.AddReport("n1", 1,
                    {Counts(5, 1), Counts(7, 0, "s"), Counts(90, 2, "r", false)});
  counts_.AddReport("n2", 1, {Counts(3, 0)});
  EXPECT_EQ(Whole().answered, 8U);
  EXPECT_EQ(Whole().failed, 1U);
  EXPECT_EQ(Whole().time_ms, 80U);
  EXPECT_EQ(Whole("s").answered, 7U);
  EXPECT_EQ(counts_.evidence().whole.at("r").old_version.answered, 90U);
}

// Guards against failures that a restarted node takes out of the sums, and against
// reports of its former incarnation that arrive late and are counted again.
TEST_F(RolloutCountsTest, TheCountsOfFormerIncarnationsRemain) {
  counts_.AddReport("n1", 1, {Counts(5, 40)});
  counts_.AddReport("n1", 2, {});
  EXPECT_EQ(Whole().failed, 40U);
  counts_.AddReport("n1", 2, {Counts(2, 3)});
  EXPECT_EQ(Whole().failed, 43U);
  counts_.AddReport("n1", 1, {Counts(6, 41)});
  EXPECT_EQ(Whole().failed, 43U);
  EXPECT_TRUE(counts_.Knows("n1", 2));
  EXPECT_FALSE(counts_.Knows("n1", 1));
}

// Guards against reports that overtake each other on different paths.
TEST_F(RolloutCountsTest, AnOlderReportAddsNothing) {
  counts_.AddReport("n1", 1, {Counts(50, 4)});
  counts_.AddReport("n1", 1, {Counts(30, 2)});
  EXPECT_EQ(Whole().answered, 50U);
  counts_.AddReport("n1", 1, {Counts(51, 4)});
  EXPECT_EQ(Whole().answered, 51U);
  EXPECT_EQ(Whole().failed, 4U);
}

TEST_F(RolloutCountsTest, SecondsHoldTheGrowthAndAreBounded) {
  ManualClock clock;
  counts_.Tick(clock.Now());
  for (std::uint64_t i = 1; i <= 400; ++i) {
    counts_.AddReport("n1", 1, {Counts(i, 0)});
    clock.Advance(milliseconds(200));
    counts_.Tick(clock.Now());
  }
  const auto& seconds = counts_.evidence().seconds;
  EXPECT_EQ(seconds.size(), RolloutCounts::kMaxSeconds);
  EXPECT_EQ(seconds.front().at("r").new_version.answered, 5U);
  EXPECT_EQ(Whole().answered, 400U);
}

// Guards against a new leader that takes the failures of the whole rollout for those of
// one second.
TEST_F(RolloutCountsTest, ABaselineIsPartOfTheWholeOnly) {
  counts_.AddBaseline("n1", 1, {Counts(50, 4)});
  EXPECT_EQ(Whole().failed, 4U);
  EXPECT_TRUE(counts_.evidence().seconds.back().empty());
  counts_.AddReport("n1", 1, {Counts(50, 5)});
  EXPECT_EQ(counts_.evidence().seconds.back().at("r").new_version.failed, 1U);
}

}  // namespace
}  // namespace quetzal
