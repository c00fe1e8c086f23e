#include "quotas/quota_exchange.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

namespace quetzal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Nodes of one data centre whose datagrams the test delivers, keeps or drops.
class QuotaExchangeTest : public testing::Test {
 protected:
  struct Node {
    std::unique_ptr<TeamLimiter> limiter;
    std::unique_ptr<QuotaExchange> exchange;
    std::vector<GossipDatagram> held;
    bool holds = false;  ///< Datagrams for it stay in its socket.
    bool lost = false;   ///< Datagrams from and to it are lost.
  };

  QuotaExchangeTest() {
    for (const char* name : {"a", "b", "c"}) Start(name, 1);
    Run(seconds(4));
  }

  void Start(const std::string& name, std::uint64_t incarnation) {
    Node& node = nodes_[name];
    node.limiter = std::make_unique<TeamLimiter>(&clock_, 1);
    node.exchange = std::make_unique<QuotaExchange>(
        QuotaIdentity{name, "d", incarnation}, node.limiter.get(), &clock_,
        [this, name](const std::string& to, const std::string& bytes) {
          GossipDatagram datagram;
          ASSERT_TRUE(datagram.ParseFromString(bytes));
          ASSERT_EQ(datagram.kind(), GOSSIP_QUOTA);
          if (nodes_[name].lost || nodes_[to].lost) return;
          queue_.emplace_back(to, datagram);
        });
    node.exchange->SetLimits({{"t", 10, 10}});
    std::vector<QuotaMember> members;
    for (const char* other : {"a", "b", "c"})
      members.push_back({other, "d", other, true});
    node.exchange->SetMembers(members, true);
  }

  void Run(Duration span) {
    for (Duration done{}; done < span; done += QuotaExchange::kTick) {
      clock_.Advance(QuotaExchange::kTick);
      for (auto& [name, node] : nodes_) {
        if (!node.holds) node.exchange->Tick();
      }
      auto queue = std::move(queue_);
      queue_.clear();
      for (auto& [to, datagram] : queue) {
        Node& node = nodes_[to];
        if (node.holds) {
          node.held.push_back(datagram);
        } else {
          node.exchange->OnDatagram(datagram);
        }
      }
    }
  }

  std::string Coordinator() { return nodes_["a"].exchange->coordinator(); }
  std::string AnotherThan(const std::string& name) { return name == "a" ? "b" : "a"; }

  ManualClock clock_;
  std::map<std::string, Node> nodes_;
  std::vector<std::pair<std::string, GossipDatagram>> queue_;
};

TEST_F(QuotaExchangeTest, AllNodesChooseOneCoordinatorAndGetGrants) {
  for (auto& [name, node] : nodes_) {
    EXPECT_EQ(node.exchange->coordinator(), Coordinator());
    EXPECT_TRUE(node.limiter->has_valid_grant()) << name;
  }
}

// Grants that waited in the socket of a frozen node must not count as new ones.
TEST_F(QuotaExchangeTest, DatagramsHeldDuringAFreezeRenewNothing) {
  Node& node = nodes_[AnotherThan(Coordinator())];
  node.holds = true;
  Run(milliseconds(900));
  ASSERT_FALSE(node.held.empty());
  clock_.Advance(seconds(2));
  for (const GossipDatagram& datagram : node.held) node.exchange->OnDatagram(datagram);
  EXPECT_FALSE(node.limiter->has_valid_grant());
}

// A restarted node starts without a grant, whatever is still on the way to its address.
TEST_F(QuotaExchangeTest, GrantsForAnEarlierProcessAreIgnored) {
  const std::string name = AnotherThan(Coordinator());
  nodes_[name].holds = true;
  Run(milliseconds(300));
  const auto held = std::exchange(nodes_[name].held, {});
  ASSERT_FALSE(held.empty());
  Start(name, 2);
  for (const GossipDatagram& datagram : held) nodes_[name].exchange->OnDatagram(datagram);
  EXPECT_FALSE(nodes_[name].limiter->has_valid_grant());
}

TEST_F(QuotaExchangeTest, GrantsOfOthersThanTheCoordinatorAreIgnored) {
  const std::string name = AnotherThan(Coordinator());
  nodes_[name].holds = true;
  Run(milliseconds(600));
  GossipDatagram grant;
  for (const GossipDatagram& datagram : nodes_[name].held) {
    if (datagram.quota().has_grant()) grant = datagram;
  }
  ASSERT_TRUE(grant.quota().has_grant());
  clock_.Advance(seconds(1));
  grant.set_sender("x");
  nodes_[name].exchange->OnDatagram(grant);
  EXPECT_FALSE(nodes_[name].limiter->has_valid_grant());
}

TEST_F(QuotaExchangeTest, NextMemberTakesOverFromASilentCoordinator) {
  const std::string first = Coordinator();
  nodes_[first].lost = true;
  Run(seconds(2));
  const std::string other = AnotherThan(first);
  EXPECT_NE(nodes_[other].exchange->coordinator(), first);
  EXPECT_TRUE(nodes_[other].limiter->has_valid_grant());
  // The first one is asked again, and answers.
  nodes_[first].lost = false;
  Run(seconds(12));
  EXPECT_EQ(nodes_[other].exchange->coordinator(), first);
  EXPECT_TRUE(nodes_[other].limiter->has_valid_grant());
}

TEST_F(QuotaExchangeTest, NodesThatDoNotKnowTheFleetGrantNothing) {
  for (const char* name : {"a", "b", "c"}) Start(name, 2);
  Run(milliseconds(900));
  for (auto& [name, node] : nodes_) EXPECT_FALSE(node.limiter->has_valid_grant());
  Run(seconds(2));
  for (auto& [name, node] : nodes_) EXPECT_TRUE(node.limiter->has_valid_grant()) << name;
}

// Malformed or foreign messages must not disturb a node.
TEST_F(QuotaExchangeTest, StrangeMessagesAreIgnored) {
  GossipDatagram datagram;
  datagram.set_kind(GOSSIP_QUOTA);
  datagram.set_sender("x");
  nodes_["a"].exchange->OnDatagram(datagram);
  datagram.mutable_quota()->mutable_usage()->add_usage()->set_team("t");
  nodes_["a"].exchange->OnDatagram(datagram);
  datagram.mutable_quota()->mutable_grant()->set_valid_ms(1u << 31);
  nodes_["a"].exchange->OnDatagram(datagram);
  Run(seconds(2));
  EXPECT_TRUE(nodes_["a"].limiter->has_valid_grant());
}

}  // namespace
}  // namespace quetzal
