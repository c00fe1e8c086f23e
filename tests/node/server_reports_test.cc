#include "node/server_reports.h"

#include <deque>
#include <optional>

#include <gtest/gtest.h>

namespace quetzal {
namespace {

using std::chrono::milliseconds;

class ServerReportsTest : public testing::Test {
 protected:
  /// Sends a heartbeat; the result is set once it is answered.
  std::shared_ptr<std::optional<ResultCode>> Beat(std::uint64_t sequence, bool leaving,
                                                  milliseconds start_time = {}) {
    ServerHeartbeat heartbeat;
    heartbeat.id = "i-1";
    heartbeat.service = "desk";
    heartbeat.slots = 6;
    heartbeat.sequence = sequence;
    heartbeat.start_time = start_time;
    heartbeat.leaving = leaving;
    auto answer = std::make_shared<std::optional<ResultCode>>();
    reports_.Heartbeat(heartbeat, [answer](ResultCode code) { *answer = code; });
    return answer;
  }
  std::shared_ptr<std::optional<ResultCode>> Leave(
      std::optional<milliseconds> start_time = std::nullopt) {
    auto answer = std::make_shared<std::optional<ResultCode>>();
    reports_.Leave("i-1", start_time, [answer](ResultCode code) { *answer = code; });
    return answer;
  }

  ManualClock clock_;
  NullEventLog events_;
  BackendServerMonitor monitor_{std::chrono::seconds(6), &clock_, &events_,
                                [](const LocalBackendServer&) {}};
  std::deque<std::function<void(bool)>> waits_;
  ServerReports reports_{&monitor_, [this](std::function<void(bool)> done) {
                           waits_.push_back(std::move(done));
                         }};
};

TEST_F(ServerReportsTest, AnOrdinaryHeartbeatIsAcknowledgedAtOnce) {
  EXPECT_EQ(*Beat(1, false), ResultCode::kOk);
  EXPECT_TRUE(waits_.empty());
}

// Guards against a departure that is acknowledged before others hold it.
TEST_F(ServerReportsTest, ADepartureIsAcknowledgedOnceOthersHoldIt) {
  const auto draining = Beat(1, true);
  const auto leave = Leave();
  ASSERT_EQ(waits_.size(), 2U);
  EXPECT_FALSE(draining->has_value());
  EXPECT_FALSE(leave->has_value());
  EXPECT_EQ(monitor_.server().state, SERVER_LEAVING) << "it takes effect at once";
  for (const auto& wait : waits_) wait(true);
  EXPECT_EQ(*draining, ResultCode::kOk);
  EXPECT_EQ(*leave, ResultCode::kOk);
}

TEST_F(ServerReportsTest, ADepartureThatNobodyElseHoldsIsNotAcknowledged) {
  const auto answer = Leave();
  waits_.front()(false);
  EXPECT_EQ(*answer, ResultCode::kUnreachable);
}

TEST_F(ServerReportsTest, WhatTheMonitorRefusesIsNotAcknowledged) {
  const auto future = std::chrono::duration_cast<milliseconds>(
      clock_.WallNow().time_since_epoch() + std::chrono::hours(2));
  EXPECT_EQ(*Beat(1, false, future), ResultCode::kRequestMalformed);
  EXPECT_EQ(*Leave(future), ResultCode::kRequestMalformed);
  monitor_.Stop();
  EXPECT_EQ(*Beat(2, true), ResultCode::kNodeStopping);
  EXPECT_EQ(*Leave(), ResultCode::kNodeStopping);
  EXPECT_TRUE(waits_.empty());
}

}  // namespace
}  // namespace quetzal
