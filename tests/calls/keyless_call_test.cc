// Requests that carry no key: non-idempotent ones run once at most, and routes limit the
// backend servers that one request may reach.
#include <gtest/gtest.h>

#include "calls/call_dialect.h"
#include "calls/world.h"

namespace quetzal {
namespace {

using std::chrono::milliseconds;

class KeylessCallTest : public testing::Test {
 protected:
  KeylessCallTest() {
    for (Route& route : *world_.configuration.mutable_routes()) {
      route.set_keyless(true);
      route.set_attempts(2);
      route.set_objective_ms(500);
    }
    world_.Distribute();
  }

  std::shared_ptr<CallerLog> Order(std::size_t node, const std::string& body) {
    return world_.Send(node, "POST", "/orders", "", body);
  }
  int AllRuns() const {
    int all = 0;
    for (const auto& server : world_.servers) all += server->all_runs();
    return all;
  }
  void SetAll(Behaviour behaviour) {
    for (const auto& server : world_.servers) server->behaviour = behaviour;
  }

  World world_{4, 2};
};

TEST_F(KeylessCallTest, AnOrderNeedsNoKey) {
  const auto log = Order(0, "hoops");
  world_.Run(milliseconds(50));
  EXPECT_TRUE(log->told_done());
  EXPECT_EQ(world_.runs("hoops"), 1);
}

TEST_F(KeylessCallTest, AnOrderThatMayHaveRunIsNotSentAgain) {
  SetAll(Behaviour::kReadAndClose);
  const auto log = Order(0, "hoops");
  world_.Run(milliseconds(200));
  EXPECT_EQ(world_.runs("hoops"), 1);
  EXPECT_FALSE(log->told_not_run());
  EXPECT_EQ(log->result(), static_cast<int>(ResultCode::kOutcomeUnknown));
}

TEST_F(KeylessCallTest, AnOrderWhoseAnswerIsCutIsNotSentAgain) {
  SetAll(Behaviour::kCutAnswer);
  const auto log = Order(0, "hoops");
  world_.Run(milliseconds(200));
  EXPECT_EQ(world_.runs("hoops"), 1);
  EXPECT_FALSE(log->told_done());
}

TEST_F(KeylessCallTest, AReadIsSentToAsManyServersAsItsRouteAllows) {
  SetAll(Behaviour::kReadAndClose);
  world_.Report(0, "report");
  world_.Run(milliseconds(200));
  EXPECT_EQ(world_.runs("report"), 2);
}

TEST_F(KeylessCallTest, AReadIsTriedElsewhereAfterAServersError) {
  SetAll(Behaviour::kAnswer);
  world_.servers[0]->status = "500";
  for (int n = 0; n < 8; ++n) {
    const auto log = world_.Report(n % 4, "report " + std::to_string(n));
    world_.Run(milliseconds(50));
    EXPECT_EQ(log->status(), "200");
  }
}

TEST_F(KeylessCallTest, AnOrdersErrorIsItsAnswer) {
  for (const auto& server : world_.servers) server->status = "500";
  const auto log = Order(0, "hoops");
  world_.Run(milliseconds(50));
  EXPECT_EQ(log->status(), "500");
  EXPECT_EQ(AllRuns(), 1);
}

// Pattern: some servers are full while others have room.
TEST_F(KeylessCallTest, AFreeSlotAnywhereIsFound) {
  SetAll(Behaviour::kSlow);
  for (int n = 0; n < 7; ++n) world_.Report(0, "slow " + std::to_string(n));
  world_.Run(milliseconds(20));
  EXPECT_EQ(AllRuns(), 7) << "of eight slots";
  SetAll(Behaviour::kAnswer);
  const auto log = Order(1, "hoops");
  world_.Run(milliseconds(50));
  EXPECT_TRUE(log->told_done()) << log->body;
}

// Pattern: all are full, and for longer than the objective.
TEST_F(KeylessCallTest, WhatCannotBeServedInTimeIsRefusedAtOnce) {
  // The nodes learn that a request takes 400 ms.
  for (const auto& server : world_.servers) server->service_time = milliseconds(400);
  for (int round = 0; round < 3; ++round) {
    for (int n = 0; n < 8; ++n) world_.Report(n % 4, std::to_string(100 * round + n));
    world_.Run(milliseconds(500));
  }
  for (int n = 0; n < 16; ++n) world_.Report(n % 4, "load " + std::to_string(n));
  world_.Run(milliseconds(10));
  const auto log = Order(1, "hoops");
  world_.Run(milliseconds(30));
  EXPECT_TRUE(log->told_not_run());
  EXPECT_EQ(world_.runs("hoops"), 0);
  EXPECT_NE(HeaderValue(log->headers, "retry-after"), "");
}

// Patterns: one server fails what it runs while the others are full, or cannot be
// reached.
class KeylessNotRunTest : public KeylessCallTest {
 protected:
  /// Sends reads to node 0 and checks that none is told "not run" after it has run.
  void CheckReads() {
    world_.servers[0]->behaviour = Behaviour::kReadAndClose;
    std::vector<std::shared_ptr<CallerLog>> logs;
    for (int n = 0; n < 40; ++n) {
      logs.push_back(world_.Report(0, "read " + std::to_string(n)));
      world_.Run(milliseconds(20));
    }
    world_.Run(std::chrono::seconds(6));
    int failed_after_a_run = 0;
    for (int n = 0; n < 40; ++n) {
      if (world_.runs("read " + std::to_string(n)) == 0) continue;
      EXPECT_FALSE(logs[n]->told_not_run()) << n;
      failed_after_a_run += logs[n]->result() != 0 ? 1 : 0;
    }
    EXPECT_GT(failed_after_a_run, 0);
  }
};

TEST_F(KeylessNotRunTest, TheOthersAreFull) {
  SetAll(Behaviour::kHang);
  world_.servers[0]->behaviour = Behaviour::kReadAndClose;
  for (int n = 0; n < 24; ++n) world_.Report(n % 4, "fills " + std::to_string(n));
  world_.Run(milliseconds(20));
  CheckReads();
}

TEST_F(KeylessNotRunTest, TheOthersCannotBeReached) {
  for (std::size_t n = 1; n < 4; ++n) world_.Kill(n);
  CheckReads();
}

// Pattern: one server fails what it runs, the other one is full beyond the time limit.
TEST_F(KeylessCallTest, AReadThatFailedBeforeItWaitedIsNotToldNotRun) {
  for (const std::size_t node : {0, 2, 3}) world_.SetState(node, SERVER_DOWN);
  world_.Distribute();
  world_.servers[1]->behaviour = Behaviour::kHang;
  for (int n = 0; n < 2; ++n) world_.Report(1, "fills " + std::to_string(n));
  world_.Run(milliseconds(20));
  world_.SetState(0, SERVER_UP);
  world_.Distribute();
  world_.servers[0]->status = "500";
  const auto log =
      world_.Send(0, "GET", "/reports/7", "", "read", {{"x-quetzal-deadline-ms", "300"}});
  world_.Run(milliseconds(400));
  EXPECT_EQ(world_.runs("read"), 1);
  EXPECT_TRUE(log->ended);
  EXPECT_FALSE(log->told_not_run()) << log->body;
}

// Pattern: changes in quick succession while servers are slow.
TEST_F(KeylessCallTest, ARequestUnderWayKeepsNoConfiguration) {
  SetAll(Behaviour::kSlow);
  const auto log = world_.Report(0, "slow");
  world_.Run(milliseconds(20));
  const std::weak_ptr<const Configuration> held = world_.routing.held->configuration;
  world_.Distribute();
  for (std::size_t n = 0; n < 4; ++n) world_.Report(n, "next");
  world_.Run(milliseconds(20));
  EXPECT_TRUE(held.expired());
  EXPECT_FALSE(log->ended);
}

TEST_F(KeylessCallTest, SharesAreKeptWhileAPartHasNoServer) {
  Service* other = world_.configuration.add_services();
  other->set_name("empty");
  for (Route& route : *world_.configuration.mutable_routes()) {
    route.set_fixed_shares(true);
    Target* target = route.add_targets();
    target->set_service("empty");
    target->set_weight(1);
  }
  world_.Distribute();
  int refused = 0;
  for (int n = 0; n < 200; ++n) {
    const auto log = world_.Report(0, std::to_string(n));
    world_.Run(milliseconds(20));
    refused += log->told_not_run() ? 1 : 0;
  }
  EXPECT_NEAR(refused, 100, 30);
}

}  // namespace
}  // namespace quetzal
