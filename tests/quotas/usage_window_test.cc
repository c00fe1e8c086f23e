#include "quotas/usage_window.h"

#include <gtest/gtest.h>

namespace quetzal {
namespace {

using std::chrono::milliseconds;

// A sum below the true one would let a team exceed its quota.
TEST(UsageWindowTest, SumNeverMissesAnEventOfTheLastFiveSeconds) {
  for (int offset = 0; offset < 250; offset += 10) {
    ManualClock clock;
    clock.Advance(milliseconds(offset));
    UsageWindow window;
    window.Add(3, clock.Now());
    clock.Advance(milliseconds(5000));
    EXPECT_EQ(window.Sum(clock.Now()), 3) << offset;
    clock.Advance(milliseconds(250));
    EXPECT_EQ(window.Sum(clock.Now()), 0) << offset;
  }
}

TEST(UsageWindowTest, SpreadEventsExpireEvenly) {
  ManualClock clock;
  UsageWindow window;
  window.Spread(42, clock.Now());
  EXPECT_NEAR(window.Sum(clock.Now()), 42, 0.01);
  clock.Advance(milliseconds(2500));
  EXPECT_NEAR(window.Sum(clock.Now()), 22, 0.1);
  clock.Advance(milliseconds(2750));
  EXPECT_NEAR(window.Sum(clock.Now()), 0, 0.01);
}

TEST(UsageWindowTest, LongPauseClearsTheWindow) {
  ManualClock clock;
  UsageWindow window;
  window.Add(7, clock.Now());
  clock.Advance(std::chrono::hours(100));
  EXPECT_EQ(window.Sum(clock.Now()), 0);
  window.Add(1, clock.Now());
  EXPECT_EQ(window.Sum(clock.Now()), 1);
}

}  // namespace
}  // namespace quetzal
