// Requests without an idempotency key: a non-idempotent one runs at most once, and the
// route limits how many backend servers one request is sent to.
#include <gtest/gtest.h>

#include "calls/call_dialect.h"
#include "calls/sim_cluster.h"

namespace quetzal {
namespace {

using std::chrono::milliseconds;

class KeylessCallTest : public testing::Test {
 protected:
  KeylessCallTest() {
    for (Route& route : *cluster_.configuration.mutable_routes()) {
      route.set_keyless(true);
      route.set_attempts(2);
      route.set_objective_ms(500);
    }
    cluster_.Distribute();
  }

  std::shared_ptr<AnswerRecorder> PostOrder(std::size_t node, const std::string& body) {
    return cluster_.Send(node, "POST", "/orders", "", body);
  }
  int TotalRuns() const {
    int all = 0;
    for (const auto& server : cluster_.servers) all += server->total_runs();
    return all;
  }
  void SetAll(Behaviour behaviour) {
    for (const auto& server : cluster_.servers) server->behaviour = behaviour;
  }

  SimCluster cluster_{4, 2};
};

TEST_F(KeylessCallTest, AnOrderWithoutAKeyIsServed) {
  const auto received = PostOrder(0, "hoops");
  cluster_.Run(milliseconds(50));
  EXPECT_TRUE(received->has_server_answer());
  EXPECT_EQ(cluster_.runs("hoops"), 1);
}

TEST_F(KeylessCallTest, AnOrderThatMayHaveRunIsNotRetried) {
  SetAll(Behaviour::kRunAndClose);
  const auto received = PostOrder(0, "hoops");
  cluster_.Run(milliseconds(200));
  EXPECT_EQ(cluster_.runs("hoops"), 1);
  EXPECT_FALSE(received->reports_not_run());
  EXPECT_EQ(received->result(), static_cast<int>(ResultCode::kOutcomeUnknown));
}

TEST_F(KeylessCallTest, AnOrderWhoseAnswerIsCutIsNotRetried) {
  SetAll(Behaviour::kCutAnswer);
  const auto received = PostOrder(0, "hoops");
  cluster_.Run(milliseconds(200));
  EXPECT_EQ(cluster_.runs("hoops"), 1);
  EXPECT_FALSE(received->has_server_answer());
}

TEST_F(KeylessCallTest, TheRouteLimitsTheAttemptsOfARead) {
  SetAll(Behaviour::kRunAndClose);
  cluster_.GetReport(0, "report");
  cluster_.Run(milliseconds(200));
  EXPECT_EQ(cluster_.runs("report"), 2);
}

TEST_F(KeylessCallTest, AReadIsRetriedElsewhereAfterAServerError) {
  SetAll(Behaviour::kAnswer);
  cluster_.servers[0]->status = "500";
  for (int n = 0; n < 8; ++n) {
    const auto received = cluster_.GetReport(n % 4, "report " + std::to_string(n));
    cluster_.Run(milliseconds(50));
    EXPECT_EQ(received->status(), "200");
  }
}

TEST_F(KeylessCallTest, AnOrderIsNotRetriedAfterAServerError) {
  for (const auto& server : cluster_.servers) server->status = "500";
  const auto received = PostOrder(0, "hoops");
  cluster_.Run(milliseconds(50));
  EXPECT_EQ(received->status(), "500");
  EXPECT_EQ(TotalRuns(), 1);
}

// Some servers are full while others have free slots.
TEST_F(KeylessCallTest, AFreeSlotOnAnyServerIsFound) {
  SetAll(Behaviour::kSlow);
  for (int n = 0; n < 7; ++n) cluster_.GetReport(0, "slow " + std::to_string(n));
  cluster_.Run(milliseconds(20));
  EXPECT_EQ(TotalRuns(), 7) << "seven of eight slots must be in use";
  SetAll(Behaviour::kAnswer);
  const auto received = PostOrder(1, "hoops");
  cluster_.Run(milliseconds(50));
  EXPECT_TRUE(received->has_server_answer()) << received->body;
}

// All servers are full for longer than the latency objective.
TEST_F(KeylessCallTest, ARequestThatCannotBeServedInTimeIsRefusedAtOnce) {
  // The nodes learn that a request takes 400 ms.
  for (const auto& server : cluster_.servers) server->service_time = milliseconds(400);
  for (int round = 0; round < 3; ++round) {
    for (int n = 0; n < 8; ++n)
      cluster_.GetReport(n % 4, std::to_string(100 * round + n));
    cluster_.Run(milliseconds(500));
  }
  for (int n = 0; n < 16; ++n) cluster_.GetReport(n % 4, "load " + std::to_string(n));
  cluster_.Run(milliseconds(10));
  const auto received = PostOrder(1, "hoops");
  cluster_.Run(milliseconds(30));
  EXPECT_TRUE(received->reports_not_run());
  EXPECT_EQ(cluster_.runs("hoops"), 0);
  EXPECT_NE(HeaderValue(received->headers, "retry-after"), "");
}

// One server fails its requests while the others are full or unreachable.
class KeylessNotRunTest : public KeylessCallTest {
 protected:
  /// Sends reads to node 0. None that has run may be answered with "not run".
  void CheckReads() {
    cluster_.servers[0]->behaviour = Behaviour::kRunAndClose;
    std::vector<std::shared_ptr<AnswerRecorder>> all_received;
    for (int n = 0; n < 40; ++n) {
      all_received.push_back(cluster_.GetReport(0, "read " + std::to_string(n)));
      cluster_.Run(milliseconds(20));
    }
    cluster_.Run(std::chrono::seconds(6));
    int failed_after_a_run = 0;
    for (int n = 0; n < 40; ++n) {
      if (cluster_.runs("read " + std::to_string(n)) == 0) continue;
      EXPECT_FALSE(all_received[n]->reports_not_run()) << n;
      failed_after_a_run += all_received[n]->result() != 0 ? 1 : 0;
    }
    EXPECT_GT(failed_after_a_run, 0);
  }
};

TEST_F(KeylessNotRunTest, TheOthersAreFull) {
  SetAll(Behaviour::kHang);
  cluster_.servers[0]->behaviour = Behaviour::kRunAndClose;
  for (int n = 0; n < 24; ++n) cluster_.GetReport(n % 4, "fills " + std::to_string(n));
  cluster_.Run(milliseconds(20));
  CheckReads();
}

TEST_F(KeylessNotRunTest, TheOthersCannotBeReached) {
  for (std::size_t n = 1; n < 4; ++n) cluster_.Kill(n);
  CheckReads();
}

// The first server fails the request; the other one is full until after the time limit.
TEST_F(KeylessCallTest, AReadThatFailedBeforeItWasQueuedIsNotReportedAsNotRun) {
  for (const std::size_t node : {0, 2, 3}) cluster_.SetState(node, SERVER_DOWN);
  cluster_.Distribute();
  cluster_.servers[1]->behaviour = Behaviour::kHang;
  for (int n = 0; n < 2; ++n) cluster_.GetReport(1, "fills " + std::to_string(n));
  cluster_.Run(milliseconds(20));
  cluster_.SetState(0, SERVER_UP);
  cluster_.Distribute();
  cluster_.servers[0]->status = "500";
  const auto received = cluster_.Send(0, "GET", "/reports/7", "", "read",
                                      {{"x-quetzal-deadline-ms", "300"}});
  cluster_.Run(milliseconds(400));
  EXPECT_EQ(cluster_.runs("read"), 1);
  EXPECT_TRUE(received->ended);
  EXPECT_FALSE(received->reports_not_run()) << received->body;
}

// Configuration changes in quick succession while servers are slow must not keep every
// old configuration in memory.
TEST_F(KeylessCallTest, ARequestInFlightKeepsNoConfigurationAlive) {
  SetAll(Behaviour::kSlow);
  const auto received = cluster_.GetReport(0, "slow");
  cluster_.Run(milliseconds(20));
  const std::weak_ptr<const Configuration> old_configuration =
      cluster_.routing.current->configuration;
  cluster_.Distribute();
  for (std::size_t n = 0; n < 4; ++n) cluster_.GetReport(n, "next");
  cluster_.Run(milliseconds(20));
  EXPECT_TRUE(old_configuration.expired());
  EXPECT_FALSE(received->ended);
}

TEST_F(KeylessCallTest, FixedSharesAreKeptWhileOneServiceHasNoServer) {
  Service* other = cluster_.configuration.add_services();
  other->set_name("empty");
  for (Route& route : *cluster_.configuration.mutable_routes()) {
    route.set_fixed_shares(true);
    Target* target = route.add_targets();
    target->set_service("empty");
    target->set_weight(1);
  }
  cluster_.Distribute();
  int refused = 0;
  for (int n = 0; n < 200; ++n) {
    const auto received = cluster_.GetReport(0, std::to_string(n));
    cluster_.Run(milliseconds(20));
    refused += received->reports_not_run() ? 1 : 0;
  }
  EXPECT_NEAR(refused, 100, 30);
}

}  // namespace
}  // namespace quetzal
