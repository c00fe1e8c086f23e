#include "base/token_bucket.h"

#include <gtest/gtest.h>

namespace quetzal {
namespace {

using std::chrono::milliseconds;

TEST(TokenBucketTest, GrantsTheRateAndSavesNoMoreThanTheBurst) {
  ManualClock clock;
  TokenBucket bucket(10, 2, 0, clock.Now());
  EXPECT_FALSE(bucket.Take(clock.Now()));
  EXPECT_EQ(bucket.WaitFor(1, clock.Now()), Duration(milliseconds(100)));
  EXPECT_EQ(bucket.WaitFor(3, clock.Now()), Duration(milliseconds(300)));
  clock.Advance(milliseconds(100));
  EXPECT_EQ(bucket.WaitFor(1, clock.Now()), Duration::zero());
  EXPECT_TRUE(bucket.Take(clock.Now()));
  clock.Advance(std::chrono::seconds(5));
  for (const bool granted : {true, true, false}) {
    EXPECT_EQ(bucket.Take(clock.Now()), granted);
  }
}

TEST(TokenBucketTest, ATokenIsThereAfterTheStatedWait) {
  ManualClock clock;
  TokenBucket bucket(3, 1, 0, clock.Now());
  for (int n = 0; n < 1000; ++n) {
    clock.Advance(bucket.WaitFor(1, clock.Now()));
    EXPECT_TRUE(bucket.Take(clock.Now())) << n;
  }
}

TEST(TokenBucketTest, AChangeOfTheRateKeepsTheSavedTokens) {
  ManualClock clock;
  TokenBucket bucket(10, 4, 3, clock.Now());
  bucket.SetRate(0, 2, clock.Now());
  EXPECT_TRUE(bucket.Take(clock.Now()));
  EXPECT_TRUE(bucket.Take(clock.Now()));
  EXPECT_FALSE(bucket.Take(clock.Now()));
  EXPECT_EQ(bucket.WaitFor(1, clock.Now()), Duration(std::chrono::hours(1)));
}

}  // namespace
}  // namespace quetzal
