// What a backend server says of itself in its answers: that it leaves, and how many
// requests it takes.
#include <gtest/gtest.h>

#include "calls/notice_dialect.h"
#include "calls/sim_cluster.h"

namespace quetzal {
namespace {

using std::chrono::milliseconds;

class ServerNoticesTest : public ::testing::Test {
 protected:
  ServerNoticesTest() {
    for (Route& route : *cluster_.configuration.mutable_routes()) {
      route.set_keyless(true);
    }
    cluster_.Distribute();
  }

  NoticeDialect dialect_;
  SimCluster cluster_{2, 20, &dialect_};
};

// Guards against requests to a server whose answers say that it leaves.
TEST_F(ServerNoticesTest, AServerThatSaysThatItLeavesGetsNoFurtherRequests) {
  FakeBackendServer& leaving = *cluster_.servers[0];
  leaving.extra_headers = {{NoticeDialect::kLeavingField, "1"}};
  while (leaving.total_runs() == 0) {
    cluster_.GetReport(0);
    cluster_.Run(milliseconds(20));
  }
  for (int n = 0; n < 40; ++n) {
    const auto received = cluster_.GetReport(n % 2);
    cluster_.Run(milliseconds(20));
    EXPECT_TRUE(received->has_server_answer());
  }
  EXPECT_EQ(leaving.total_runs(), 1);
}

// Guards against answers whose notice is withheld from the caller.
TEST_F(ServerNoticesTest, TheCallerGetsTheNotice) {
  for (const auto& server : cluster_.servers) {
    server->extra_headers = {{NoticeDialect::kLeavingField, "1"}};
  }
  const auto received = cluster_.GetReport(0);
  cluster_.Run(milliseconds(20));
  EXPECT_EQ(HeaderValue(received->headers, NoticeDialect::kLeavingField), "1");
}

TEST_F(ServerNoticesTest, ALimitHoldsAsLongAsAnswersStateIt) {
  for (const auto& server : cluster_.servers) {
    server->extra_headers = {{NoticeDialect::kRateLimitField, "5"}};
  }
  cluster_.GetReport(0);
  cluster_.Run(milliseconds(20));
  const auto limit = [this](std::size_t n) {
    return cluster_.nodes[n].path->counts().rate_limit;
  };
  ASSERT_TRUE(limit(0) || limit(1));
  EXPECT_EQ(limit(0).value_or(5), 5);
  for (const auto& server : cluster_.servers) server->extra_headers.clear();
  for (int n = 0; n < 10; ++n) {
    cluster_.GetReport(n % 2);
    cluster_.Run(milliseconds(500));
  }
  EXPECT_FALSE(limit(0) || limit(1));
}

}  // namespace
}  // namespace quetzal
