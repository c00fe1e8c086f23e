#include "control/rollout_judge.h"

#include <gtest/gtest.h>

namespace quetzal {
namespace {

using std::chrono::seconds;

/// Responses of one second on one route.
struct Rate {
  ResponseCounts old_version;
  ResponseCounts new_version;
};

constexpr Rate kGood{{100, 1, 10'000}, {10, 0, 1000}};
constexpr Rate kFailing{{100, 1, 10'000}, {7, 3, 700}};
constexpr Rate kSlow{{100, 1, 10'000}, {10, 0, 4000}};
constexpr Rate kBothFailing{{70, 30, 7000}, {7, 3, 700}};
constexpr Rate kBothSlow{{100, 1, 40'000}, {10, 0, 4000}};

class RolloutJudgeTest : public testing::Test {
 protected:
  void Add(int count, const Rate& rate, const std::string& route = "r") {
    for (int i = 0; i < count; ++i) {
      const RouteResponses second{rate.old_version, rate.new_version};
      evidence_.whole[route].Add(second);
      evidence_.seconds.push_back({{route, second}});
      if (evidence_.seconds.size() > RolloutCounts::kMaxSeconds) {
        evidence_.seconds.pop_front();
      }
    }
  }
  /// Adds a second route in the same seconds.
  void AddRoute(const Rate& rate, const std::string& route) {
    const RouteResponses second{rate.old_version, rate.new_version};
    for (ResponsesByRoute& routes : evidence_.seconds) {
      routes[route].Add(second);
      evidence_.whole[route].Add(second);
    }
  }
  RolloutStep Judge(int since_start, int to_deadline,
                    RolloutState state = ROLLOUT_RUNNING, bool complete_reports = true) {
    const RolloutVerdict verdict = JudgeRollout({state, &evidence_, seconds(since_start),
                                                 seconds(to_deadline), complete_reports});
    reason_ = verdict.reason;
    return verdict.step;
  }

  RolloutEvidence evidence_;
  std::string reason_;
};

TEST_F(RolloutJudgeTest, AGoodVersionIsShiftedAtSixtyPercent) {
  Add(35, kGood);
  EXPECT_EQ(Judge(35, 25), RolloutStep::kWait);
  Add(1, kGood);
  EXPECT_EQ(Judge(36, 24), RolloutStep::kShift);
  EXPECT_NE(reason_, "");
}

TEST_F(RolloutJudgeTest, ABadVersionIsRolledBackAtOnce) {
  for (const Rate& rate : {kFailing, kSlow}) {
    evidence_ = {};
    Add(6, rate);
    EXPECT_EQ(Judge(6, 600), RolloutStep::kRollBack);
    EXPECT_NE(reason_.find("route r"), std::string::npos) << reason_;
  }
}

TEST_F(RolloutJudgeTest, AnOldVersionThatIsEquallyBadCondemnsNothing) {
  for (const Rate& rate : {kBothFailing, kBothSlow}) {
    evidence_ = {};
    Add(40, rate);
    EXPECT_EQ(Judge(40, 20), RolloutStep::kShift) << reason_;
  }
}

// Guards against good responses of the first minutes that hide a defect that began later.
TEST_F(RolloutJudgeTest, AVersionThatTurnsBadLateIsFoundInItsLastSeconds) {
  for (const Rate& rate : {kFailing, kSlow}) {
    evidence_ = {};
    Add(300, kGood);
    Add(6, rate);
    EXPECT_EQ(Judge(306, 294), RolloutStep::kRollBack);
  }
}

// Guards against three good routes that hide a bad one.
TEST_F(RolloutJudgeTest, OneBadRouteAmongGoodOnesIsFound) {
  Add(12, kGood, "a");
  for (const char* route : {"b", "c", "d"}) AddRoute(kGood, route);
  EXPECT_EQ(Judge(12, 48), RolloutStep::kWait);
  AddRoute({{20, 0, 2000}, {2, 1, 200}}, "e");
  EXPECT_EQ(Judge(12, 48), RolloutStep::kRollBack);
  EXPECT_NE(reason_.find("route e"), std::string::npos) << reason_;
}

// Guards against one killed or frozen server that condemns a good version.
TEST_F(RolloutJudgeTest, ABurstWithinTwoSecondsDoesNotCondemn) {
  for (const Rate& burst :
       {Rate{{100, 1, 10'000}, {4, 16, 400}}, Rate{{100, 1, 10'000}, {18, 0, 72'000}}}) {
    evidence_ = {};
    Add(20, kGood);
    Add(2, burst);
    EXPECT_EQ(Judge(22, 38), RolloutStep::kWait) << reason_;
    Add(20, kGood);
    EXPECT_EQ(Judge(42, 18), RolloutStep::kShift) << reason_;
  }
}

TEST_F(RolloutJudgeTest, WithTooFewResponsesItWaitsAndThenRollsBack) {
  Add(40, {{10, 0, 1000}, {0, 0, 0}});
  Add(1, {{10, 0, 1000}, {20, 0, 2000}});
  EXPECT_EQ(Judge(41, 19), RolloutStep::kWait);
  EXPECT_EQ(Judge(51, 9), RolloutStep::kRollBack);
  EXPECT_NE(reason_.find("20 responses"), std::string::npos) << reason_;
  evidence_ = {};
  EXPECT_EQ(Judge(0, 60), RolloutStep::kWait) << "no report yet";
  EXPECT_EQ(Judge(51, 9), RolloutStep::kRollBack) << "without evidence";
}

TEST_F(RolloutJudgeTest, WithoutResponsesOfTheOldVersionItRollsBack) {
  Add(40, {{0, 0, 0}, {20, 0, 2000}});
  EXPECT_EQ(Judge(40, 20), RolloutStep::kWait);
  EXPECT_EQ(Judge(51, 9), RolloutStep::kRollBack);
}

// Guards against a version that is shifted while it is neither clearly good nor bad.
TEST_F(RolloutJudgeTest, InDoubtItWaitsAndThenRollsBack) {
  Add(40, {{100, 0, 10'000}, {10, 0, 1600}});
  EXPECT_EQ(Judge(40, 20), RolloutStep::kWait);
  EXPECT_EQ(Judge(51, 9), RolloutStep::kRollBack);
  EXPECT_NE(reason_.find("doubt"), std::string::npos) << reason_;
}

TEST_F(RolloutJudgeTest, AVersionThatStopsAnsweringIsNotShifted) {
  Add(30, kGood);
  Add(10, {{100, 1, 10'000}, {0, 0, 0}});
  EXPECT_EQ(Judge(40, 20), RolloutStep::kWait);
  EXPECT_EQ(Judge(51, 9), RolloutStep::kRollBack);
}

// A rare route must not keep a good version from completing.
TEST_F(RolloutJudgeTest, ARouteWithFewResponsesDelaysTheShift) {
  Add(40, kGood);
  evidence_.whole["rare"] = {{500, 0, 50'000}, {3, 0, 300}};
  EXPECT_EQ(Judge(40, 20), RolloutStep::kWait);
  EXPECT_EQ(Judge(51, 9), RolloutStep::kShift);
}

TEST_F(RolloutJudgeTest, AfterTheDeadlineAnUndecidedRolloutIsRolledBack) {
  Add(70, kGood);
  EXPECT_EQ(Judge(61, -1), RolloutStep::kRollBack);
}

// Guards against a new leader that shifts before the nodes with the failures reported.
TEST_F(RolloutJudgeTest, ItDoesNotShiftBeforeAllNodesHaveReported) {
  Add(40, kGood);
  EXPECT_EQ(Judge(40, 20, ROLLOUT_RUNNING, false), RolloutStep::kWait);
  Add(6, kFailing);
  EXPECT_EQ(Judge(46, 14, ROLLOUT_RUNNING, false), RolloutStep::kRollBack)
      << "clear evidence needs no further report";
}

// Guards against a version that is bad under full load only and completes.
TEST_F(RolloutJudgeTest, AShiftedVersionIsStillWatched) {
  Add(40, kGood);
  Add(3, {{0, 0, 0}, {110, 1, 12'000}});
  EXPECT_EQ(Judge(43, 17, ROLLOUT_SHIFTING), RolloutStep::kWait) << reason_;
  EXPECT_EQ(Judge(43, -9, ROLLOUT_SHIFTING), RolloutStep::kWait)
      << "a missed deadline alone takes nothing back";
  Add(4, {{0, 0, 0}, {80, 30, 9000}});
  EXPECT_EQ(Judge(47, 13, ROLLOUT_SHIFTING), RolloutStep::kRollBack);
}

}  // namespace
}  // namespace quetzal
