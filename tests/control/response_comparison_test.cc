#include "control/response_comparison.h"

#include <gtest/gtest.h>

namespace quetzal {
namespace {

TEST(ResponseComparison, TheTailIsThatOfFishersExactTest) {
  // Of all ways to choose 4 of 8 with 4 failed: 1 / 70 has all 4, (16 + 1) / 70 has 3
  // or 4.
  EXPECT_NEAR(FailureTail(4, 4, 0, 4), 1.0 / 70, 1e-9);
  EXPECT_NEAR(FailureTail(3, 4, 1, 4), 17.0 / 70, 1e-9);
  EXPECT_NEAR(FailureTail(0, 4, 4, 4), 1, 1e-9);
  // Guards against an overflow with the counts of a day.
  const double large = FailureTail(20'400, 2'000'000, 180'000, 18'000'000);
  EXPECT_GT(large, 1e-4);
  EXPECT_LT(large, 0.05);
}

TEST(ResponseComparison, Failures) {
  EXPECT_EQ(CompareFailures({0, 0, 0}, {0, 90, 0}), Comparison::kTooFew);
  EXPECT_EQ(CompareFailures({1000, 10, 0}, {5, 0, 0}), Comparison::kTooFew);
  EXPECT_EQ(CompareFailures({1000, 10, 0}, {99, 1, 0}), Comparison::kEqual);
  EXPECT_EQ(CompareFailures({1000, 10, 0}, {95, 5, 0}), Comparison::kUnclear);
  EXPECT_EQ(CompareFailures({1000, 10, 0}, {80, 20, 0}), Comparison::kBad);
  EXPECT_EQ(CompareFailures({800, 200, 0}, {80, 20, 0}), Comparison::kEqual)
      << "the old version is equally bad";
}

TEST(ResponseComparison, Times) {
  const ResponseCounts before{1000, 0, 100'000};
  EXPECT_EQ(CompareTimes(before, {9, 0, 9000}, 2), Comparison::kTooFew);
  EXPECT_EQ(CompareTimes(before, {100, 0, 11'000}, 2), Comparison::kEqual);
  EXPECT_EQ(CompareTimes(before, {100, 0, 18'000}, 2), Comparison::kUnclear);
  EXPECT_EQ(CompareTimes(before, {100, 0, 25'000}, 2), Comparison::kBad);
  EXPECT_EQ(CompareTimes(before, {100, 0, 25'000}, 4), Comparison::kUnclear);
  EXPECT_EQ(CompareTimes({1000, 0, 1000}, {1000, 0, 4000}, 2), Comparison::kEqual)
      << "3 ms are within the resolution of the sums and the network";
}

}  // namespace
}  // namespace quetzal
