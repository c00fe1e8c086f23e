#include "base/hybrid_clock.h"

#include <gtest/gtest.h>

#include "base/result_code.h"

namespace quetzal {
namespace {

TEST(HybridClockTest, EffectIsLaterThanCauseWhenWallClocksDiffer) {
  ManualClock ahead;
  ahead.SkewWall(std::chrono::hours(2));
  ManualClock behind;
  HybridClock sender(&ahead);
  HybridClock receiver(&behind);
  const HybridTime sent = sender.Tick();
  const HybridTime received = receiver.Observe(sent);
  EXPECT_LT(sent, received);
  EXPECT_LT(received, receiver.Tick());
}

TEST(HybridClockTest, TextRoundTrip) {
  const HybridTime time{123456, 7};
  EXPECT_EQ(ParseHybridTime(time.ToString()), time);
  EXPECT_THROW(ParseHybridTime("12"), Error);
  EXPECT_THROW(ParseHybridTime("12.x"), Error);
}

}  // namespace
}  // namespace quetzal
