#include "calls/finished_requests.h"

#include <gtest/gtest.h>

namespace quetzal {
namespace {

TEST(FinishedRequestsTest, EachFinishedRunCountsOnce) {
  FinishedRequests finished(5);
  const RequestIdentity poll("GET", "h", "/poll", {});
  EXPECT_FALSE(finished.Take(poll));
  finished.Add(poll);
  EXPECT_FALSE(finished.Take(RequestIdentity("GET", "h", "/other", {})));
  EXPECT_TRUE(finished.Take(poll));
  EXPECT_FALSE(finished.Take(poll));
}

TEST(FinishedRequestsTest, LaterRequestsReplaceEarlierOnes) {
  FinishedRequests finished(5);
  const RequestIdentity first("GET", "h", "/0", {});
  finished.Add(first);
  for (int n = 1; n < 100'000; ++n) {
    finished.Add(RequestIdentity("GET", "h", "/" + std::to_string(n), {}));
  }
  EXPECT_FALSE(finished.Take(first));
}

}  // namespace
}  // namespace quetzal
