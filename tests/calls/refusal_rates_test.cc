// Callers that are refused in the same moment of an overload.
#include "calls/refusal_rates.h"

#include <gtest/gtest.h>

namespace quetzal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against callers that come back all together and are refused again.
TEST(RefusalRatesSpreadTest, RetryTimesAreSpreadAroundTheMean) {
  RefusalRates rates;
  const SteadyTime now{seconds(100)};
  for (int n = 0; n < 100; ++n) rates.Record("desk", n % 2 == 0, now);
  const Duration mean = rates.RetryAfter("desk", milliseconds(100), now);
  const Duration first = rates.RetryAfter("desk", milliseconds(100), now, 0);
  const Duration last = rates.RetryAfter("desk", milliseconds(100), now, 1);
  EXPECT_GE(first, milliseconds(500)) << "not at once";
  EXPECT_LT(first, mean);
  EXPECT_GT(last - first, milliseconds(900));
}

// Without refusals the wait for a slot is stated as it is.
TEST(RefusalRatesSpreadTest, WithoutAnOverloadTheWaitIsNotSpread) {
  RefusalRates rates;
  const SteadyTime now{seconds(100)};
  for (const double unit : {0.0, 0.5, 1.0}) {
    EXPECT_EQ(rates.RetryAfter("desk", milliseconds(100), now, unit), milliseconds(100));
  }
}

}  // namespace
}  // namespace quetzal
