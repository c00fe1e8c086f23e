// Patterns: an instance is frozen, or a data centre is cut off without a reset. Requests
// that their admitting node has not received run elsewhere, also non-idempotent ones, and
// few of them find out.
#include <gtest/gtest.h>

#include "calls/call_dialect.h"
#include "calls/load_table.h"
#include "calls/world.h"

namespace quetzal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class SilentInstanceTest : public testing::Test {
 protected:
  SilentInstanceTest() {
    for (Route& route : *world_.configuration.mutable_routes()) {
      route.set_keyless(true);
      route.set_attempts(2);
      route.set_objective_ms(1000);
    }
    world_.Distribute();
  }

  std::shared_ptr<CallerLog> Order(std::size_t node, const std::string& body) {
    return world_.Send(node, "POST", "/orders", "", body);
  }
  const std::string& Host(std::size_t node) const {
    return world_.nodes[node].streams.address;
  }
  /// The backend servers of these nodes take no work; the nodes serve callers.
  void TakeDown(std::initializer_list<std::size_t> nodes) {
    for (const std::size_t node : nodes) world_.SetState(node, SERVER_DOWN);
    world_.Distribute();
  }

  World world_{8, 4};  // Even nodes in haro, odd ones in logrono.
};

TEST_F(SilentInstanceTest, AnOrderRunsElsewhereOnce) {
  TakeDown({0, 4, 6});
  world_.net.Block(Host(0), Host(2));
  const auto log = Order(0, "hoops");
  world_.Run(milliseconds(500));
  EXPECT_TRUE(log->told_done()) << log->body;
  EXPECT_EQ(world_.runs("hoops"), 1);
  // What was held up on the way arrives after all.
  world_.net.Heal();
  world_.Run(seconds(2));
  EXPECT_EQ(world_.runs("hoops"), 1);
}

TEST_F(SilentInstanceTest, WithoutAnotherInstanceTheOrderIsNotRun) {
  TakeDown({0, 1, 3, 4, 5, 6, 7});
  world_.net.Block(Host(0), Host(2));
  const auto log = Order(0, "hoops");
  world_.Run(milliseconds(500));
  EXPECT_TRUE(log->told_not_run()) << log->body;
  EXPECT_EQ(world_.runs("hoops"), 0);
}

TEST_F(SilentInstanceTest, AnOrderLostAfterItsConfirmationIsNotSentAgain) {
  TakeDown({0, 4, 6});
  world_.servers[2]->behaviour = Behaviour::kHang;
  const auto log = Order(0, "hoops");
  world_.Run(milliseconds(50));
  ASSERT_EQ(world_.runs("hoops"), 1);
  world_.net.CutStreams(Host(0), Host(2));
  world_.Run(milliseconds(50));
  EXPECT_FALSE(log->told_not_run());
  EXPECT_EQ(log->result(), static_cast<int>(ResultCode::kAnswerCut));
  EXPECT_EQ(world_.runs("hoops"), 1);
}

TEST_F(SilentInstanceTest, AnOrderWhoseConfirmationIsLostFreesItsSlotAndDoesNotRun) {
  TakeDown({0, 4, 6});
  world_.net.lose = [this](const std::string& from, const std::string& to,
                           const std::string& what) {
    return from == Host(0) && to == Host(2) && (what == "data" || what == "end");
  };
  const auto log = Order(0, "hoops");
  world_.Run(milliseconds(300));
  EXPECT_EQ(world_.nodes[2].path->counts().in_flight, 1u);
  world_.Run(milliseconds(700));
  EXPECT_EQ(world_.nodes[2].path->counts().in_flight, 0u);
  EXPECT_EQ(world_.servers[2]->all_runs(), 0);
  EXPECT_TRUE(log->told_done()) << "run by another instance: " << log->body;
  EXPECT_EQ(world_.runs("hoops"), 1);
}

TEST_F(SilentInstanceTest, ARequestWhoseCallerLeftBeforeItsConfirmationDoesNotRun) {
  TakeDown({0, 4, 6});
  const auto log = Order(0, "hoops");
  world_.Run(std::chrono::microseconds(800));  // On its way to the admitting node.
  log->stream->Reset();
  world_.Run(seconds(1));
  EXPECT_EQ(world_.runs("hoops"), 0);
  EXPECT_EQ(world_.nodes[2].path->counts().in_flight, 0u);
}

TEST_F(SilentInstanceTest, ARequestThatWaitsElsewhereAtItsTimeLimitHasNotRun) {
  TakeDown({0, 1, 3, 4, 5, 6, 7});
  world_.servers[2]->behaviour = Behaviour::kHang;
  for (int n = 0; n < 4; ++n) Order(0, "fills " + std::to_string(n));
  world_.Run(milliseconds(20));
  const auto log =
      world_.Send(0, "POST", "/orders", "", "hoops", {{"x-quetzal-deadline-ms", "400"}});
  world_.Run(milliseconds(500));
  EXPECT_TRUE(log->told_not_run()) << log->body;
  EXPECT_EQ(world_.runs("hoops"), 0);
}

// Pattern: the other data centre is cut off and the own one has no server left.
TEST_F(SilentInstanceTest, FewRequestsFindOutThatADataCentreIsCutOff) {
  TakeDown({0, 2, 4, 6});
  for (const std::size_t node : {1, 3, 5, 7}) world_.net.Block(Host(0), Host(node));
  int opened = 0;
  world_.net.lose = [&](const std::string& from, const std::string&,
                        const std::string& what) {
    opened += from == Host(0) && what == "open" ? 1 : 0;
    return false;
  };
  for (int n = 0; n < 40; ++n) {
    Order(0, "hoops " + std::to_string(n));
    world_.Run(milliseconds(50));
  }
  // Those of the first 0.3 s, and one in each half second after them.
  EXPECT_LE(opened, 14);
  world_.net.Heal();
  world_.Run(milliseconds(600));
  int served = 0;
  for (int n = 0; n < 20; ++n) {
    const auto log = Order(0, "after " + std::to_string(n));
    world_.Run(milliseconds(50));
    served += log->told_done() ? 1 : 0;
  }
  EXPECT_EQ(served, 20);
}

class SilentTargetsTest : public testing::Test {
 protected:
  SilentTargetsTest() {
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

TEST_F(SilentTargetsTest, ASilentInstanceIsTriedByOneRequestInEachPeriod) {
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

TEST_F(SilentTargetsTest, ThreeSilentInstancesSpeakForTheirDataCentre) {
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

TEST_F(SilentTargetsTest, OneThatIsHeardShowsThatTheDataCentreIsNotCutOff) {
  for (int n = 0; n < 3; ++n) {
    loads_.Begin(targets_[n]);
    loads_.End(targets_[n], AttemptEnd::kUnresponsive);
    loads_.Report(targets_[3], {0, 0, 20, milliseconds(5)});
  }
  for (int n = 0; n < 8; ++n) EXPECT_EQ(Choose(), &targets_[3]);
}

}  // namespace
}  // namespace quetzal
