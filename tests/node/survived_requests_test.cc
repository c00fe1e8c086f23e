#include "node/survived_requests.h"

#include <gtest/gtest.h>

namespace quetzal {
namespace {

using std::chrono::seconds;

class SurvivedRequestsTest : public testing::Test {
 protected:
  /// The request ran in crashes with these ids.
  static CrashingRequests CauseOf(const std::vector<std::uint64_t>& crashes) {
    std::vector<CrashReport> reports;
    for (const std::uint64_t id : crashes) {
      CrashReport report;
      report.id = id;
      report.requests = {{7, 10}};
      reports.push_back(report);
    }
    return CrashingRequests(reports);
  }

  ManualClock clock_;
  SurvivedRequests survived_{&clock_};
};

TEST_F(SurvivedRequestsTest, ARequestThatNoServerAnsweredIsNotExcused) {
  survived_.Record({7, 11});
  EXPECT_TRUE(survived_.Excuse(CauseOf({1, 2, 3})).empty());
}

TEST_F(SurvivedRequestsTest, OneThatAnotherServerAnsweredIsExcusedFromTheseCrashes) {
  survived_.Record({7, 10});
  clock_.Advance(seconds(2));
  const auto acquittals = survived_.Excuse(CauseOf({1, 2, 3}));
  ASSERT_EQ(acquittals.size(), 1U);
  EXPECT_EQ(acquittals[0].digest, 10U);
  EXPECT_EQ(acquittals[0].crashes, (std::vector<std::uint64_t>{1, 2, 3}));
  EXPECT_TRUE(survived_.Excuse(CauseOf({1, 2, 3})).empty()) << "once";
}

TEST_F(SurvivedRequestsTest, ReportsOfTheSameMomentMayArriveLater) {
  survived_.Record({7, 10});
  EXPECT_EQ(survived_.Excuse(CauseOf({1, 2, 3})).size(), 1U);
  clock_.Advance(seconds(4));
  EXPECT_EQ(survived_.Excuse(CauseOf({4, 5})).size(), 1U);
}

// Guards against a request that crashes some of the servers and is answered by others:
// it would never be shut out.
TEST_F(SurvivedRequestsTest, LaterCrashesAreNotExcused) {
  survived_.Record({7, 10});
  EXPECT_EQ(survived_.Excuse(CauseOf({1, 2})).size(), 1U);
  clock_.Advance(seconds(6));
  survived_.Record({7, 10});
  EXPECT_TRUE(survived_.Excuse(CauseOf({3, 4})).empty());
  clock_.Advance(kCrashRetention);
  survived_.Record({7, 10});
  EXPECT_EQ(survived_.Excuse(CauseOf({5, 6})).size(), 1U);
}

TEST_F(SurvivedRequestsTest, AnAnswerOfLongAgoExcusesNothing) {
  survived_.Record({7, 10});
  clock_.Advance(seconds(31));
  EXPECT_TRUE(survived_.Excuse(CauseOf({1, 2, 3})).empty());
}

}  // namespace
}  // namespace quetzal
