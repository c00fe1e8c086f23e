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
      route.set_objective_ms(500);
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

// A service with more requests than one of its servers takes. Guards against a server
// that gets many times the limit that it states.
TEST_F(ServerNoticesTest, AServerGetsNoMoreRequestsThanTheLimitThatItStates) {
  constexpr int kLimit = 5;
  constexpr std::chrono::seconds kWindow{4};
  FakeBackendServer& limited = *cluster_.servers[0];
  limited.extra_headers = {{NoticeDialect::kRateLimitField, std::to_string(kLimit)}};
  std::vector<int> runs;  // Of the limited server, after each step.
  int answered = 0;
  constexpr milliseconds kStep{20};
  for (int n = 0; n < 600; ++n) {
    const auto received = cluster_.GetReport(n % 2);
    cluster_.Run(kStep);
    runs.push_back(limited.total_runs());
    if (received->has_server_answer()) ++answered;
  }
  const std::size_t steps = kWindow / kStep;
  for (std::size_t n = steps; n + steps < runs.size(); ++n) {
    EXPECT_LE(runs[n + steps] - runs[n], 1.5 * kLimit * kWindow.count() + 5) << n;
    EXPECT_GE(runs[n + steps] - runs[n], 0.5 * kLimit * kWindow.count()) << n;
  }
  EXPECT_EQ(answered, 600) << "the other server has room";
}

// Guards against a node that forgets at its restart what its server takes, while other
// nodes have been told.
TEST_F(ServerNoticesTest, ALimitHoldsAcrossARestartOfTheNode) {
  constexpr int kLimit = 5;
  FakeBackendServer& limited = *cluster_.servers[0];
  limited.extra_headers = {{NoticeDialect::kRateLimitField, std::to_string(kLimit)}};
  limited.service_time = milliseconds(700);
  cluster_.servers[1]->service_time = milliseconds(400);
  const auto send = [this](Duration span) {
    for (Duration sent{}; sent < span; sent += milliseconds(10)) {
      cluster_.GetReport(1);
      cluster_.Run(milliseconds(10));
    }
  };
  send(std::chrono::seconds(4));
  cluster_.Kill(0);
  cluster_.Run(std::chrono::seconds(2));
  cluster_.Restart(0);
  const int before = limited.total_runs();
  send(std::chrono::seconds(1));
  EXPECT_LE(limited.total_runs() - before, 2 * kLimit);
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
