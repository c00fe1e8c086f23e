// An instance freezes, or a data centre is cut off without connection resets. A request
// that the admitting node has not received runs on another one, also when it is not
// idempotent, and only a few requests are delayed before the others avoid the
// unresponsive instances.
#include <gtest/gtest.h>

#include "calls/call_dialect.h"
#include "calls/load_table.h"
#include "calls/sim_cluster.h"

namespace quetzal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class UnresponsiveInstanceTest : public testing::Test {
 protected:
  UnresponsiveInstanceTest() {
    for (Route& route : *cluster_.configuration.mutable_routes()) {
      route.set_keyless(true);
      route.set_attempts(2);
      route.set_objective_ms(1000);
    }
    cluster_.Distribute();
  }

  std::shared_ptr<AnswerRecorder> PostOrder(std::size_t node, const std::string& body) {
    return cluster_.Send(node, "POST", "/orders", "", body);
  }
  const std::string& Host(std::size_t node) const {
    return cluster_.nodes[node].streams.address;
  }
  /// Marks the backend servers of these nodes as down; the nodes still serve callers.
  void TakeDown(std::initializer_list<std::size_t> nodes) {
    for (const std::size_t node : nodes) cluster_.SetState(node, SERVER_DOWN);
    cluster_.Distribute();
  }

  SimCluster cluster_{8, 4};  // Even nodes in haro, odd ones in logrono.
};

TEST_F(UnresponsiveInstanceTest, AnUnacknowledgedOrderRunsOnceElsewhere) {
  TakeDown({0, 4, 6});
  cluster_.net.Block(Host(0), Host(2));
  const auto received = PostOrder(0, "hoops");
  cluster_.Run(milliseconds(500));
  EXPECT_TRUE(received->has_server_answer()) << received->body;
  EXPECT_EQ(cluster_.runs("hoops"), 1);
  // After Heal no late message may run the order again.
  cluster_.net.Heal();
  cluster_.Run(seconds(2));
  EXPECT_EQ(cluster_.runs("hoops"), 1);
}

TEST_F(UnresponsiveInstanceTest, WithoutAnotherInstanceTheOrderIsNotRun) {
  TakeDown({0, 1, 3, 4, 5, 6, 7});
  cluster_.net.Block(Host(0), Host(2));
  const auto received = PostOrder(0, "hoops");
  cluster_.Run(milliseconds(500));
  EXPECT_TRUE(received->reports_not_run()) << received->body;
  EXPECT_EQ(cluster_.runs("hoops"), 0);
}

TEST_F(UnresponsiveInstanceTest, AnOrderLostAfterItsConfirmationIsNotRetried) {
  TakeDown({0, 4, 6});
  cluster_.servers[2]->behaviour = Behaviour::kHang;
  const auto received = PostOrder(0, "hoops");
  cluster_.Run(milliseconds(50));
  ASSERT_EQ(cluster_.runs("hoops"), 1);
  cluster_.net.CutStreams(Host(0), Host(2));
  cluster_.Run(milliseconds(50));
  EXPECT_FALSE(received->reports_not_run());
  EXPECT_EQ(received->result(), static_cast<int>(ResultCode::kAnswerCut));
  EXPECT_EQ(cluster_.runs("hoops"), 1);
}

TEST_F(UnresponsiveInstanceTest,
       AnOrderWhoseConfirmationIsLostFreesItsSlotAndDoesNotRun) {
  TakeDown({0, 4, 6});
  cluster_.net.should_drop = [this](const std::string& from, const std::string& to,
                                    const std::string& kind) {
    return from == Host(0) && to == Host(2) && (kind == "data" || kind == "end");
  };
  const auto received = PostOrder(0, "hoops");
  cluster_.Run(milliseconds(300));
  EXPECT_EQ(cluster_.nodes[2].path->counts().in_flight, 1u);
  cluster_.Run(milliseconds(700));
  EXPECT_EQ(cluster_.nodes[2].path->counts().in_flight, 0u);
  EXPECT_EQ(cluster_.servers[2]->total_runs(), 0);
  EXPECT_TRUE(received->has_server_answer())
      << "run by another instance: " << received->body;
  EXPECT_EQ(cluster_.runs("hoops"), 1);
}

TEST_F(UnresponsiveInstanceTest, ARequestCancelledBeforeItsConfirmationDoesNotRun) {
  TakeDown({0, 4, 6});
  const auto received = PostOrder(0, "hoops");
  cluster_.Run(std::chrono::microseconds(800));  // On its way to the admitting node.
  received->stream->Reset();
  cluster_.Run(seconds(1));
  EXPECT_EQ(cluster_.runs("hoops"), 0);
  EXPECT_EQ(cluster_.nodes[2].path->counts().in_flight, 0u);
}

TEST_F(UnresponsiveInstanceTest, ARequestQueuedAtItsTimeLimitIsReportedAsNotRun) {
  TakeDown({0, 1, 3, 4, 5, 6, 7});
  cluster_.servers[2]->behaviour = Behaviour::kHang;
  for (int n = 0; n < 4; ++n) PostOrder(0, "fills " + std::to_string(n));
  cluster_.Run(milliseconds(20));
  const auto received = cluster_.Send(0, "POST", "/orders", "", "hoops",
                                      {{"x-quetzal-deadline-ms", "400"}});
  cluster_.Run(milliseconds(500));
  EXPECT_TRUE(received->reports_not_run()) << received->body;
  EXPECT_EQ(cluster_.runs("hoops"), 0);
}

// The other data centre is cut off and the local one has no server left.
TEST_F(UnresponsiveInstanceTest, FewRequestsTryADataCentreThatIsCutOff) {
  TakeDown({0, 2, 4, 6});
  for (const std::size_t node : {1, 3, 5, 7}) cluster_.net.Block(Host(0), Host(node));
  int opened = 0;
  cluster_.net.should_drop = [&](const std::string& from, const std::string&,
                                 const std::string& kind) {
    opened += from == Host(0) && kind == "open" ? 1 : 0;
    return false;
  };
  for (int n = 0; n < 40; ++n) {
    PostOrder(0, "hoops " + std::to_string(n));
    cluster_.Run(milliseconds(50));
  }
  // The requests of the first 0.3 s, then one in each half second.
  EXPECT_LE(opened, 14);
  cluster_.net.Heal();
  cluster_.Run(milliseconds(600));
  int served = 0;
  for (int n = 0; n < 20; ++n) {
    const auto received = PostOrder(0, "after " + std::to_string(n));
    cluster_.Run(milliseconds(50));
    served += received->has_server_answer() ? 1 : 0;
  }
  EXPECT_EQ(served, 20);
}

class UnresponsiveTargetsTest : public testing::Test {
 protected:
  UnresponsiveTargetsTest() {
    for (int n = 0; n < 4; ++n) {
      targets_.push_back({"logrono-" + std::to_string(n),
                          "logrono",
                          1,
                          {"10.0.0.1", 7000},
                          "desk",
                          20,
                          SERVER_UP});
    }
  }

  const BackendTarget* Choose() {
    std::vector<const BackendTarget*> all;
    for (const BackendTarget& target : targets_) all.push_back(&target);
    ChoiceOptions options;
    options.data_centre = "haro";
    return loads_.Choose(all, options);
  }

  ManualClock clock_;
  Random random_{7};
  LoadTable loads_{&clock_, &random_};
  std::vector<BackendTarget> targets_;
};

TEST_F(UnresponsiveTargetsTest, AnUnresponsiveInstanceIsProbedByOneRequestPerPeriod) {
  loads_.Begin(targets_[0]);
  loads_.End(targets_[0], AttemptEnd::kUnresponsive);
  for (int n = 0; n < 50; ++n) EXPECT_NE(Choose(), &targets_[0]);
  clock_.Advance(milliseconds(500));
  int chosen = 0;
  for (int n = 0; n < 50; ++n) chosen += Choose() == &targets_[0] ? 1 : 0;
  EXPECT_EQ(chosen, 1);
  loads_.Report(targets_[0], {0, 0, 20, milliseconds(5)});
  chosen = 0;
  for (int n = 0; n < 50; ++n) chosen += Choose() == &targets_[0] ? 1 : 0;
  EXPECT_GT(chosen, 1);
}

TEST_F(UnresponsiveTargetsTest,
       ThreeUnresponsiveInstancesMakeTheirDataCentreUnreachable) {
  for (int n = 0; n < 3; ++n) {
    EXPECT_NE(Choose(), nullptr);
    loads_.Begin(targets_[n]);
    loads_.End(targets_[n], AttemptEnd::kUnresponsive);
  }
  EXPECT_EQ(Choose(), nullptr);
  clock_.Advance(milliseconds(500));
  EXPECT_NE(Choose(), nullptr);
  EXPECT_EQ(Choose(), nullptr);
  loads_.Report(targets_[3], {0, 0, 20, milliseconds(5)});
  for (int n = 0; n < 8; ++n) EXPECT_NE(Choose(), nullptr);
}

TEST_F(UnresponsiveTargetsTest, AResponsiveInstanceKeepsItsDataCentreReachable) {
  for (int n = 0; n < 3; ++n) {
    loads_.Begin(targets_[n]);
    loads_.End(targets_[n], AttemptEnd::kUnresponsive);
    loads_.Report(targets_[3], {0, 0, 20, milliseconds(5)});
  }
  for (int n = 0; n < 8; ++n) EXPECT_EQ(Choose(), &targets_[3]);
}

}  // namespace
}  // namespace quetzal
