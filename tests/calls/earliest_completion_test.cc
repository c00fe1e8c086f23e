// Tests earliest_completion_selector.
//
// Load: servers of one service that differ in speed. Requests with a short objective are
// answered in time by the fast ones only.
#include <map>

#include <gtest/gtest.h>

#include "calls/target_selector.h"

namespace quetzal {
namespace {

constexpr double kFastMs = 260;
constexpr double kSlowMs = 490;

class EarliestCompletionTest : public testing::Test {
 protected:
  /// Share of the choices, in percent, that fall on servers for which `test` is true.
  template <class Test>
  double PercentWhere(Test test) {
    constexpr int kChoices = 4000;
    int hits = 0;
    for (int n = 0; n < kChoices; ++n) {
      if (test(selector_->Select(loads_, &random_))) ++hits;
    }
    return 100.0 * hits / kChoices;
  }

  /// Nine fast servers and four slow ones; the slow ones come last.
  void MakeUnevenServers(double fast_outstanding) {
    loads_.assign(9, {fast_outstanding, 12, kFastMs});
    loads_.insert(loads_.end(), 4, {1, 12, kSlowMs});
  }
  static bool IsSlow(std::size_t index) { return index >= 9; }

  std::unique_ptr<TargetSelector> selector_ =
      TargetSelectorRegistry::Instance().Create("earliest_completion");
  Random random_{5};
  std::vector<TargetLoad> loads_;
};

// Two random choices send one request in nine to a slow server although fast ones are
// free.
TEST_F(EarliestCompletionTest, SlowServersGetLittleWhileFastOnesHaveRoom) {
  MakeUnevenServers(8);
  EXPECT_LT(PercentWhere(IsSlow), 1.0);
}

// Without this, fast servers would be overloaded while slow ones are idle.
TEST_F(EarliestCompletionTest, SlowServersTakeOverWhenFastOnesAreFull) {
  MakeUnevenServers(36);
  EXPECT_GT(PercentWhere(IsSlow), 80.0);
}

// A fast server with one slot left is full when the requests of several nodes arrive, and
// they are refused while slow servers have free slots.
TEST_F(EarliestCompletionTest, NearlyFullFastServersYieldToSlowOnesWithRoom) {
  MakeUnevenServers(11);
  EXPECT_GT(PercentWhere(IsSlow), 80.0);
}

// With more than two choices, all nodes would send to the few servers whose last reports
// were the best, and fill them up.
TEST_F(EarliestCompletionTest, FullServersAreChosenLikeTwoChoices) {
  loads_.assign(10, {24, 12, kFastMs});
  loads_[0].outstanding = 20;
  // One of two random servers is the best one in 20% of the choices, one of five in 50%.
  EXPECT_NEAR(PercentWhere([](std::size_t n) { return n == 0; }), 20.0, 3.0);
}

// The fastest server would get all requests of all nodes between two of its reports.
TEST_F(EarliestCompletionTest, RequestsAreSpreadOverServersOfSimilarSpeed) {
  MakeUnevenServers(8);
  loads_[0].service_ms = kFastMs * 0.95;
  EXPECT_LT(PercentWhere([](std::size_t n) { return n == 0; }), 30.0);
}

// A server that has just started is cold, and would get the first request of all nodes
// at once.
TEST_F(EarliestCompletionTest, AServerOfUnknownSpeedCountsAsAverage) {
  MakeUnevenServers(8);
  loads_[0] = {0, 12, 0};
  const double percent = PercentWhere([](std::size_t n) { return n == 0; });
  EXPECT_LT(percent, 20.0);
}

TEST_F(EarliestCompletionTest, OneServerIsChosen) {
  loads_ = {{40, 12, kSlowMs}};
  EXPECT_EQ(selector_->Select(loads_, &random_), 0U);
}

}  // namespace
}  // namespace quetzal
