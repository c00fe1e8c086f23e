// The slots of a server and its queue, shared by teams.
#include "calls/team_shares.h"

#include <map>

#include <gtest/gtest.h>

#include "calls/admission_control.h"
#include "calls/route_index.h"

namespace quetzal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(TeamSharesTest, ExcessCountsFromTheShareOfTheTeamsThatWantSlots) {
  TeamShares shares;
  for (int n = 0; n < 3; ++n) shares.Start("a", 1);
  shares.Start("b", 1);
  shares.BeginRanking(4);
  shares.AddQueued("a", 1);
  shares.AddQueued("b", 1);
  EXPECT_EQ(shares.NextExcess("a"), 1) << "three of four slots, its share is two";
  EXPECT_EQ(shares.NextExcess("b"), 0);
  EXPECT_EQ(shares.NextExcess("b"), 0);
  EXPECT_EQ(shares.NextExcess("b"), 1);
  EXPECT_EQ(shares.NextExcess(""), 0);
  shares.EndRanking();
}

// Guards against memory that grows with the number of teams.
TEST(TeamSharesTest, OnlyTeamsWithRequestsAreKept) {
  TeamShares shares;
  shares.Start("", 1);
  EXPECT_EQ(shares.size(), 0U);
  for (int n = 0; n < 1000; ++n) {
    const std::string team = std::to_string(n);
    shares.Start(team, 1);
    shares.BeginRanking(4);
    shares.AddQueued("queued " + team, 0);
    shares.EndRanking();
    shares.End(team);
    shares.End(team);
  }
  EXPECT_EQ(shares.size(), 0U);
}

TEST(RouteIndexTest, TheWeightOfATeamIsItsQuota) {
  auto configuration = std::make_shared<Configuration>();
  EXPECT_EQ(RouteIndex(configuration).TeamWeight("a"), 1);
  for (const auto& [name, rate] :
       std::map<std::string, double>{{"a", 30}, {"b", 10}, {"c", 0}}) {
    Team* team = configuration->add_teams();
    team->set_name(name);
    team->set_requests_per_second(rate);
  }
  const RouteIndex index(configuration);
  EXPECT_EQ(index.TeamWeight("a"), 30);
  EXPECT_EQ(index.TeamWeight("c"), 20) << "the mean quota";
  EXPECT_EQ(index.TeamWeight("unknown"), 20);
}

/// A server with four slots and a queue of eight, whose requests take 100 ms.
class TeamAdmissionTest : public testing::Test {
 protected:
  TeamAdmissionTest() {
    AdmissionLimits limits;
    limits.state = SERVER_UP;
    limits.slots = 4;
    limits.queue = 8;
    control_.SetLimits(limits, clock_.Now());
  }

  std::uint64_t Offer(const std::string& team, double weight = 1,
                      std::uint32_t priority = 0) {
    AdmissionRequest request;
    request.id = ++last_id_;
    request.priority = priority;
    request.deadline = clock_.Now() + seconds(60);
    request.work = "read";
    request.team = team;
    request.team_weight = weight;
    teams_[request.id] = team;
    Record(control_.Offer(request, clock_.Now()));
    return request.id;
  }
  void FinishOldest() {
    clock_.Advance(milliseconds(25));
    Record(control_.Finish("read", milliseconds(100), clock_.Now()));
  }
  void Record(const AdmissionControl::Decisions& decisions) {
    for (const AdmissionDecision& decision : decisions) {
      EXPECT_EQ(codes_.count(decision.id), 0U) << "decided twice";
      codes_[decision.id] = decision.code;
      if (decision.code == ResultCode::kOk) ++served_[teams_[decision.id]];
    }
  }
  ResultCode CodeOf(std::uint64_t id) {
    return codes_.count(id) == 0 ? ResultCode::kPending : codes_[id];
  }

  ManualClock clock_;
  AdmissionControl control_;
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, std::string> teams_;
  std::map<std::uint64_t, ResultCode> codes_;
  std::map<std::string, int> served_;
};

// One team of many floods: it fills the slots and the queue before the others come.
TEST_F(TeamAdmissionTest, AFloodOfOneTeamGivesWayToTheOthers) {
  for (int n = 0; n < 20; ++n) Offer("flood");
  const std::uint64_t other = Offer("other");
  EXPECT_EQ(CodeOf(other), ResultCode::kPending)
      << "a queued request of the flood is shed";
  EXPECT_EQ(control_.queued(), 8U);
  FinishOldest();
  EXPECT_EQ(CodeOf(other), ResultCode::kOk);
}

TEST_F(TeamAdmissionTest, AFloodIsServedWhenNoOtherTeamWaits) {
  for (int n = 0; n < 12; ++n) Offer("flood");
  for (int n = 0; n < 8; ++n) FinishOldest();
  EXPECT_EQ(served_["flood"], 12);
}

TEST_F(TeamAdmissionTest, PriorityGoesBeforeShares) {
  for (int n = 0; n < 8; ++n) Offer("flood");
  const std::uint64_t other = Offer("other", 1, 1);
  FinishOldest();
  EXPECT_EQ(CodeOf(other), ResultCode::kPending);
}

// Ten teams flood at ten times of what fits.
TEST_F(TeamAdmissionTest, TenFloodsGetEqualShares) {
  for (int round = 0; round < 400; ++round) {
    for (int n = 0; n < 10; ++n) Offer("team-" + std::to_string((n + round) % 10));
    FinishOldest();
  }
  for (const auto& [team, served] : served_) EXPECT_NEAR(served, 40, 6) << team;
}

// Two floods whose quotas differ by a factor of three.
TEST_F(TeamAdmissionTest, SharesFollowTheWeights) {
  for (int round = 0; round < 400; ++round) {
    Offer("small", 1);
    Offer("large", 3);
    FinishOldest();
  }
  EXPECT_NEAR(served_["large"], 300, 30);
  EXPECT_NEAR(served_["small"], 100, 30);
}

// A thousand small teams beside a large one that has a quarter of the quotas and of the
// requests; twice as many requests come as fit.
TEST_F(TeamAdmissionTest, AThousandSmallTeamsAndALargeOneAreServedAlike) {
  std::map<bool, int> offered;
  for (int round = 0; round < 2000; ++round) {
    for (int n = 0; n < 2; ++n) {
      const bool large = (2 * round + n) % 4 == 0;
      ++offered[large];
      if (large) {
        Offer("large", 333);
      } else {
        Offer("small-" + std::to_string((2 * round + n) * 7 % 1000), 1);
      }
    }
    FinishOldest();
  }
  int small = 0;
  for (const auto& [team, served] : served_) {
    if (team != "large") small += served;
  }
  const double large_share = static_cast<double>(served_["large"]) / offered[true];
  const double small_share = static_cast<double>(small) / offered[false];
  EXPECT_NEAR(large_share, small_share, 0.25);
}

}  // namespace
}  // namespace quetzal
