// Servers that become slow, noticed by the requests that run.
#include "calls/running_requests.h"

#include <optional>

#include <gtest/gtest.h>

#include "calls/admission_control.h"

namespace quetzal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr SteadyTime kStart{seconds(100)};

TEST(RunningRequestsTest, RequestsOfUsualAgeShowNoSlowServer) {
  RunningRequests running;
  EXPECT_EQ(running.Slowdown(kStart), 1);
  for (int n = 0; n < 12; ++n) {
    running.Add(n, milliseconds(100), kStart + n * milliseconds(10));
  }
  EXPECT_EQ(running.mean_expected(), milliseconds(100));
  EXPECT_EQ(running.Slowdown(kStart + milliseconds(150)), 1);
  EXPECT_NEAR(running.Slowdown(kStart + milliseconds(450)), 4, 0.2);
}

// Guards against answers that stream for hours, beside which the server is fast.
TEST(RunningRequestsTest, AFewRequestsThatNeverEndShowNoSlowServer) {
  RunningRequests running;
  for (int n = 0; n < 5; ++n) running.Add(n, milliseconds(100), kStart);
  const SteadyTime later = kStart + std::chrono::hours(1);
  for (int n = 5; n < 12; ++n) running.Add(n, milliseconds(100), later);
  EXPECT_EQ(running.Slowdown(later + milliseconds(50)), 1);
}

TEST(RunningRequestsTest, TooFewRequestsAndUnknownTimesShowNothing) {
  RunningRequests running;
  for (int n = 0; n < 8; ++n) running.Add(n, Duration::zero(), kStart);
  for (int n = 8; n < 11; ++n) running.Add(n, milliseconds(10), kStart);
  EXPECT_EQ(running.Slowdown(kStart + seconds(9)), 1);
  EXPECT_EQ(running.mean_expected(), milliseconds(10));
}

TEST(RunningRequestsTest, RemovedRequestsNoLongerCount) {
  RunningRequests running;
  for (int n = 0; n < 6; ++n) running.Add(n, milliseconds(100), kStart + milliseconds(n));
  running.Remove(3);
  running.Remove(3);
  for (int n = 0; n < 2; ++n) running.RemoveOldest();
  EXPECT_EQ(running.mean_expected(), milliseconds(100));
  EXPECT_EQ(running.Slowdown(kStart + seconds(9)), 1) << "three are left";
  for (int n = 0; n < 4; ++n) running.RemoveOldest();
  EXPECT_EQ(running.mean_expected(), Duration::zero());
}

/// A server with twelve slots. Orders take 290 ms, calls 57 ms.
class SpeedEstimateTest : public testing::Test {
 protected:
  SpeedEstimateTest() {
    AdmissionLimits limits;
    limits.state = SERVER_UP;
    limits.slots = 12;
    limits.queue = 24;
    control_.SetLimits(limits, clock_.Now());
    for (std::uint64_t n = 0; n < 50; ++n) {
      Offer(2 * n, "order", seconds(5));
      control_.Finish(2 * n, "order", milliseconds(290), clock_.Now());
      Offer(2 * n + 1, "call", seconds(5));
      control_.Finish(2 * n + 1, "call", milliseconds(57), clock_.Now());
    }
  }

  std::optional<AdmissionDecision> Offer(std::uint64_t id, const std::string& work,
                                         Duration objective,
                                         std::optional<Duration> max_wait = {}) {
    AdmissionRequest request;
    request.id = id;
    request.objective = clock_.Now() + objective;
    request.deadline = clock_.Now() + seconds(5);
    request.max_wait = max_wait;
    request.work = work;
    for (const auto& decision : control_.Offer(request, clock_.Now())) {
      if (decision.id == id) return decision;
    }
    return std::nullopt;
  }

  ManualClock clock_;
  AdmissionControl control_;
};

// All slots run orders after many short calls: the time until a slot is free follows from
// the orders. The mean over all requests would be too low.
TEST_F(SpeedEstimateTest, TheWaitForASlotFollowsFromTheWorkThatRuns) {
  for (std::uint64_t id = 200; id < 212; ++id) Offer(id, "order", seconds(5));
  const auto refusal = Offer(300, "order", seconds(5), Duration::zero());
  ASSERT_TRUE(refusal);
  EXPECT_NEAR(static_cast<double>(refusal->retry_after.count()), 290e6 / 12, 0.2e6);
}

// The server becomes five times slower. The first slow order ends after 1450 ms; until
// then, orders would be queued that cannot be in time.
TEST_F(SpeedEstimateTest, ASlowServerIsNoticedBeforeItsFirstRequestEnds) {
  for (std::uint64_t id = 200; id < 212; ++id) Offer(id, "order", seconds(5));
  Offer(212, "order", seconds(5));
  clock_.Advance(milliseconds(700));
  EXPECT_GT(control_.load(clock_.Now()).service_time, milliseconds(350))
      << "other nodes learn of it too";
  const auto decision = Offer(213, "order", milliseconds(600));
  ASSERT_TRUE(decision);
  EXPECT_EQ(decision->code, ResultCode::kShed);
  for (std::uint64_t id = 200; id < 212; ++id) {
    control_.Finish(id, "order", milliseconds(700), clock_.Now());
  }
  EXPECT_LT(control_.load(clock_.Now()).service_time, seconds(1));
}

}  // namespace
}  // namespace quetzal
