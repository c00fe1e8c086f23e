// Tests node_distribution_core_quotas.
//
// Quotas in a fleet of real NodeDistributions on simulated sockets: guards the wiring
// between configuration, membership, datagrams and limiter.

#include <map>
#include <memory>

#include <gtest/gtest.h>

#include "quotas/team_limiter.h"
#include "simulation/sim_fleet.h"

namespace quetzal::simulation {
namespace {

Team MakeTeam(const std::string& name, double rate) {
  Team team;
  team.set_name(name);
  team.set_requests_per_second(rate);
  team.set_burst(rate);
  return team;
}

class QuotaDistributionTest : public testing::Test {
 protected:
  QuotaDistributionTest() : fleet_(7, {{{"haro", 4}, {"logrono", 3}}, {"haro"}, 100}) {
    fleet_.on_start = [this](SimFleet::Node* node,
                             NodeDistribution::Dependencies* dependencies) {
      auto& limiter = limiters_[node->host->name];
      limiter = std::make_unique<TeamLimiter>(&fleet_.world.clock, 3);
      dependencies->team_limiter = limiter.get();
    };
  }

  void Start() {
    fleet_.StartAll();
    ASSERT_EQ(fleet_.Settle(seconds(20)), "");
  }

  /// Admissions of all nodes in the given time, at `per_second` requests to each.
  int Admitted(const std::string& team, Duration span, int per_second) {
    int admitted = 0;
    const Duration step = Duration(seconds(1)) / per_second;
    for (Duration done{}; done < span; done += step) {
      fleet_.world.Run(step);
      for (auto& [name, limiter] : limiters_) admitted += limiter->Admit(team) ? 0 : 1;
    }
    return admitted;
  }

  std::map<std::string, std::unique_ptr<TeamLimiter>> limiters_;
  SimFleet fleet_;
};

TEST_F(QuotaDistributionTest, TeamIsHeldAtItsQuotaOverAllNodes) {
  fleet_.teams = {MakeTeam("t", 20)};
  Start();
  fleet_.world.Run(seconds(12));
  for (auto& node : fleet_.nodes) {
    EXPECT_NE(node.distribution->status().quota_coordinator, "") << node.host->name;
    EXPECT_TRUE(limiters_[node.host->name]->has_valid_grant()) << node.host->name;
  }
  // Seven nodes with 10 requests per second each ask for 3.5 times the rate.
  Admitted("t", seconds(5), 10);
  const int admitted = Admitted("t", seconds(5), 10);
  EXPECT_LE(admitted, (20 * 5 + 20) * 1.1 + 20);
  EXPECT_GE(admitted, 60);
}

TEST_F(QuotaDistributionTest, ExchangeEndsWithTheLastQuota) {
  fleet_.teams = {MakeTeam("t", 20)};
  Start();
  fleet_.world.Run(seconds(12));
  fleet_.teams = {MakeTeam("t", 0)};
  ASSERT_TRUE(fleet_.Confirm());
  fleet_.world.Run(seconds(3));
  for (auto& node : fleet_.nodes) {
    EXPECT_EQ(node.distribution->status().quota_coordinator, "");
  }
  EXPECT_EQ(Admitted("t", seconds(1), 100), 700);
}

// Quotas that begin while the nodes run must not refuse a team below its rate until the
// first grant arrives.
TEST_F(QuotaDistributionTest, QuotasBeginWithoutRefusals) {
  Start();
  fleet_.world.Run(seconds(12));
  fleet_.teams = {MakeTeam("t", 100)};
  ASSERT_TRUE(fleet_.Confirm());
  fleet_.world.Run(milliseconds(500));
  EXPECT_EQ(Admitted("t", seconds(10), 5), 350);
}

// A receiver of another build must not take a quota datagram for membership traffic.
TEST(QuotaDatagramTest, MembershipIgnoresQuotaDatagrams) {
  ManualClock clock;
  Random random(1);
  Member self;
  self.set_instance("a");
  self.set_data_centre("d");
  self.set_incarnation(1);
  Membership membership({}, self, {}, &clock, &random);
  const std::uint64_t revision = membership.revision();
  GossipDatagram datagram;
  datagram.set_kind(GOSSIP_QUOTA);
  datagram.set_sender("b");
  datagram.mutable_known()->set_index(9);
  Member* news = datagram.add_news();
  *news = self;
  news->set_instance("c");
  membership.OnDatagram({}, datagram.SerializeAsString());
  EXPECT_EQ(membership.revision(), revision);
  EXPECT_EQ(membership.known_version().index(), 0U);
  datagram.set_kind(static_cast<GossipKind>(77));
  membership.OnDatagram({}, datagram.SerializeAsString());
  EXPECT_NE(membership.known_version().index(), 0U);
}

}  // namespace
}  // namespace quetzal::simulation
