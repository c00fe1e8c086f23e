// Calls into a full service: refused where they arrive, without asking each server again.
#include "calls/known_waits.h"

#include <gtest/gtest.h>

#include "calls/sim_cluster.h"

namespace quetzal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr SteadyTime kStart{seconds(100)};

TEST(KnownWaitsTest, AStatementRunsOutAsItsTimePasses) {
  KnownWaits waits;
  EXPECT_EQ(waits.Remaining("a", 0, kStart), Duration::zero());
  waits.Record("a", 0, milliseconds(200), kStart);
  EXPECT_EQ(waits.Remaining("a", 0, kStart + milliseconds(150)), milliseconds(50));
  EXPECT_EQ(waits.Remaining("a", 0, kStart + milliseconds(200)), Duration::zero());
  waits.Record("a", 0, seconds(60), kStart);
  EXPECT_EQ(waits.Remaining("a", 0, kStart + milliseconds(500)), Duration::zero())
      << "a long wait is not believed for long";
  waits.Record("a", 0, milliseconds(200), kStart);
  waits.Forget("a");
  EXPECT_EQ(waits.Remaining("a", 0, kStart), Duration::zero());
}

// Guards against urgent requests that are refused for the wait of patient ones.
TEST(KnownWaitsTest, AStatementSaysNothingOfMoreUrgentRequests) {
  KnownWaits waits;
  waits.Record("a", 1, milliseconds(200), kStart);
  EXPECT_EQ(waits.Remaining("a", 0, kStart), Duration::zero());
  EXPECT_EQ(waits.Remaining("a", 2, kStart), milliseconds(200));
  waits.Record("a", 900, milliseconds(300), kStart);
  EXPECT_EQ(waits.Remaining("a", 2, kStart), milliseconds(200));
  EXPECT_EQ(waits.Remaining("a", 3, kStart), milliseconds(300));
}

TEST(KnownWaitsTest, OneRequestInAPeriodAsksAllTheSame) {
  KnownWaits waits;
  EXPECT_TRUE(waits.TakeProbe("desk", kStart));
  EXPECT_FALSE(waits.TakeProbe("desk", kStart + milliseconds(10)));
  EXPECT_TRUE(waits.TakeProbe("other", kStart + milliseconds(10)));
  EXPECT_TRUE(waits.TakeProbe("desk", kStart + milliseconds(60)));
}

/// Four nodes whose servers have a slot each. Reports take 400 ms and may wait for 300
/// ms, so that they cannot be in time at a full server. All slots are taken.
class FullServiceTest : public testing::Test {
 protected:
  FullServiceTest() {
    for (Route& route : *cluster_.configuration.mutable_routes()) {
      if (route.name() == "reports") route.set_objective_ms(300);
    }
    cluster_.Distribute();
    for (const auto& server : cluster_.servers) server->service_time = milliseconds(400);
    for (int round = 0; round < 4; ++round) {
      for (int n = 0; n < 4; ++n) cluster_.GetReport(n, "train");
      cluster_.Run(milliseconds(900));
    }
    cluster_.net.should_drop = [this](const std::string& from, const std::string& /*to*/,
                                      const std::string& kind) {
      if (kind == "open" && from == cluster_.nodes[0].streams.address) ++opened_;
      return false;
    };
    for (int n = 0; n < 4; ++n) cluster_.GetReport(n, "load");
    cluster_.Run(milliseconds(20));
    // Asks all servers, and is refused.
    const auto first = cluster_.GetReport(0, "first");
    cluster_.Run(milliseconds(20));
    EXPECT_TRUE(first->reports_not_run());
    opened_ = 0;
  }

  SimCluster cluster_{4, 1};
  int opened_ = 0;  ///< Streams that the first node opened.
};

TEST_F(FullServiceTest, FurtherRequestsAreRefusedWithoutAskingTheServers) {
  std::vector<std::shared_ptr<AnswerRecorder>> all_received;
  for (int n = 0; n < 10; ++n) {
    all_received.push_back(cluster_.GetReport(0, "more"));
    cluster_.Run(milliseconds(4));
  }
  for (const auto& received : all_received) {
    EXPECT_TRUE(received->reports_not_run());
    EXPECT_NE(HeaderValue(received->headers, "retry-after"), "");
  }
  EXPECT_LE(opened_, 4) << "one request in 50 ms asks all servers";
  EXPECT_EQ(cluster_.runs("more"), 0);
}

// Guards against a node that refuses what the servers can take again.
TEST_F(FullServiceTest, RequestsAreServedAsSoonAsTheServersHaveRoom) {
  cluster_.Run(milliseconds(400));
  const auto received = cluster_.GetReport(0, "later");
  cluster_.Run(milliseconds(450));
  EXPECT_TRUE(received->has_server_answer()) << received->body;
}

// The run above a nested call is lost with it, so that it is queued even if it is late.
TEST_F(FullServiceTest, NestedCallsAreNotRefused) {
  cluster_.configuration.add_teams()->set_name("rioja");
  for (Route& route : *cluster_.configuration.mutable_routes()) route.set_is_public(true);
  cluster_.Distribute();
  const auto received = cluster_.GetReport(0, "nested");
  cluster_.Run(seconds(1));
  EXPECT_TRUE(received->has_server_answer()) << received->body;
}

}  // namespace
}  // namespace quetzal
