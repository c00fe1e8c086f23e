#include "quotas/team_limiter.h"

#include <memory>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

namespace quetzal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TeamShare Share(const std::string& team, float per_second, float burst) {
  TeamShare share;
  share.set_team(team);
  share.set_per_second(per_second);
  share.set_burst(burst);
  return share;
}

class TeamLimiterTest : public testing::Test {
 protected:
  TeamLimiterTest() {
    limiter_.SetLimits({{"capped", 10, 10}, {"free", 0, 0}});
    limiter_.SetNodes(10);
  }

  void Grant(const std::vector<TeamShare>& shares) {
    limiter_.SetGrant(shares, clock_.Now() + milliseconds(700),
                      clock_.Now() + seconds(1));
  }

  /// Requests admitted at a steady rate of attempts.
  int Admitted(const std::string& team, Duration span, int per_second) {
    int admitted = 0;
    const Duration step = Duration(seconds(1)) / per_second;
    for (Duration done{}; done < span; done += step) {
      clock_.Advance(step);
      admitted += limiter_.Admit(team) ? 0 : 1;
    }
    return admitted;
  }

  ManualClock clock_;
  TeamLimiter limiter_{&clock_, 1};
};

// Unknown teams and teams without a limit must never get a 429.
TEST_F(TeamLimiterTest, TeamsWithoutALimitAreAdmitted) {
  for (int n = 0; n < 1000; ++n) {
    EXPECT_FALSE(limiter_.Admit("free"));
    EXPECT_FALSE(limiter_.Admit("other"));
  }
}

TEST_F(TeamLimiterTest, UnlistedTeamMayUseItsWholeQuotaAtOneNode) {
  Grant({});
  for (int n = 0; n < 60; ++n) EXPECT_FALSE(limiter_.Admit("capped")) << n;
  EXPECT_TRUE(limiter_.Admit("capped"));
}

TEST_F(TeamLimiterTest, ShareLimitsTheRate) {
  int admitted = 0;
  for (int n = 0; n < 20; ++n) {
    Grant({Share("capped", 2, 1)});
    admitted += Admitted("capped", milliseconds(500), 100);
  }
  EXPECT_NEAR(admitted, 20, 1);
}

// A node that was frozen must not admit anything by the grant that it still holds.
TEST_F(TeamLimiterTest, GrantIsExpiredAfterAPause) {
  Grant({});
  clock_.Advance(seconds(3));
  EXPECT_FALSE(limiter_.has_valid_grant());
  int admitted = 0;
  for (int n = 0; n < 100; ++n) admitted += limiter_.Admit("capped") ? 0 : 1;
  EXPECT_LE(admitted, 2);
}

TEST_F(TeamLimiterTest, NothingIsAdmittedBeforeTheNodesAreKnown) {
  limiter_.SetNodes(0);
  EXPECT_TRUE(limiter_.Admit("capped"));
}

// Load may jump everywhere while the coordinator is lost.
TEST_F(TeamLimiterTest, OverdueGrantAllowsLittleMoreThanBefore) {
  Grant({});
  EXPECT_EQ(Admitted("capped", milliseconds(650), 10), 7);
  clock_.Advance(milliseconds(50));
  EXPECT_LE(Admitted("capped", milliseconds(250), 200), 4);
}

// Saved tokens of many isolated nodes would exceed the quota of a small team many times.
TEST(TeamLimiterFleetTest, IsolatedNodesTogetherStayWithinTheQuota) {
  for (const double rate : {3.0, 35.0, 760.0}) {
    ManualClock clock;
    std::vector<std::unique_ptr<TeamLimiter>> nodes;
    const TeamLimit limit{"t", rate, rate};
    for (int n = 0; n < 93; ++n) {
      nodes.push_back(std::make_unique<TeamLimiter>(&clock, n + 1));
      nodes.back()->SetLimits({limit});
      nodes.back()->SetNodes(93);
    }
    clock.Advance(seconds(100));  // Nothing is saved up in this time.
    std::vector<int> steps;
    int largest = 0;
    int window = 0;
    for (int step = 0; step < 200; ++step) {
      clock.Advance(milliseconds(100));
      int admitted = 0;
      for (auto& node : nodes) {
        for (int n = 0; n < 10; ++n) admitted += node->Admit("t") ? 0 : 1;
      }
      steps.push_back(admitted);
      window += admitted - (step >= 50 ? steps[step - 50] : 0);
      largest = std::max(largest, window);
    }
    const double bound = WindowLimit(limit) * 1.1 + 20;
    std::printf("93 isolated nodes, rate %.0f: largest window %d, bound %.0f\n", rate,
                largest, bound);
    EXPECT_LE(largest, bound);
    EXPECT_GE(largest, WindowLimit(limit) / 3);
  }
}

TEST_F(TeamLimiterTest, RetryAfterIsJittered) {
  Grant({Share("capped", 1, 1)});
  while (!limiter_.Admit("capped")) {
  }
  const auto first = limiter_.Admit("capped");
  const auto second = limiter_.Admit("capped");
  ASSERT_TRUE(first && second);
  EXPECT_NE(*first, *second);
  EXPECT_GT(*first, Duration::zero());
  EXPECT_LE(*first, seconds(5));
}

// What was admitted before a limit began must be known when it begins.
TEST_F(TeamLimiterTest, CountsOutliveAChangeOfTheLimits) {
  for (int n = 0; n < 50; ++n) limiter_.Admit("free");
  limiter_.SetLimits({{"free", 10, 10}});
  const auto counts = limiter_.Counts();
  ASSERT_EQ(counts.size(), 1U);
  EXPECT_EQ(counts[0].admitted, 50U);
  EXPECT_EQ(counts[0].admitted_in_window, 50U);
}

TEST_F(TeamLimiterTest, SurgeIsReportedOnceAndOnlyForUnlimitedTeams) {
  Grant({});
  limiter_.Admit("capped");
  EXPECT_FALSE(limiter_.surging());
  for (int n = 0; n < 4; ++n) limiter_.Admit("capped");
  EXPECT_TRUE(limiter_.surging());
  limiter_.MarkReported();
  EXPECT_FALSE(limiter_.surging());
  Grant({Share("capped", 1, 1)});
  for (int n = 0; n < 9; ++n) limiter_.Admit("capped");
  EXPECT_FALSE(limiter_.surging());
}

TEST(TeamLimiterThreadTest, CallsFromSeveralThreadsAreCounted) {
  SystemClock clock;
  TeamLimiter limiter(&clock, 1);
  limiter.SetLimits({{"t", 1e6, 1e6}});
  limiter.SetNodes(1);
  std::vector<std::thread> threads;
  for (int n = 0; n < 4; ++n) {
    threads.emplace_back([&limiter] {
      for (int call = 0; call < 1000; ++call) limiter.Admit("t");
    });
  }
  for (int n = 0; n < 20; ++n) limiter.SetGrant({}, clock.Now(), clock.Now());
  for (std::thread& thread : threads) thread.join();
  EXPECT_EQ(limiter.Counts()[0].asked, 4000U);
}

}  // namespace
}  // namespace quetzal
