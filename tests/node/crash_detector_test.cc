// Which requests ran on a backend server when it ended.
#include "node/crash_detector.h"

#include <vector>

#include <gtest/gtest.h>

#include "node/backend_server_monitor.h"

namespace quetzal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class CrashDetectorTest : public ::testing::Test {
 protected:
  void Cut(const std::string& server, std::uint64_t request) {
    detector_.RecordCut({server, {1, request}, clock_.Now()});
  }
  std::vector<std::uint64_t> TakeRequests() {
    clock_.Advance(milliseconds(60));
    std::vector<std::uint64_t> requests;
    if (const auto crash = detector_.TakeCrash()) {
      for (const auto& request : crash->requests) requests.push_back(request.digest);
    }
    return requests;
  }

  ManualClock clock_;
  CrashDetector detector_{&clock_};
};

TEST_F(CrashDetectorTest, ReportsTheRequestsThatRanLatestFirst) {
  Cut("i-1", 1);
  clock_.Advance(milliseconds(2));
  Cut("i-1", 2);
  detector_.RecordEnd("i-1");
  Cut("i-1", 3);
  EXPECT_FALSE(detector_.TakeCrash()) << "more cuts may follow";
  EXPECT_EQ(TakeRequests(), (std::vector<std::uint64_t>{2, 3, 1}));
  EXPECT_TRUE(TakeRequests().empty());
}

// Guards against a request that is proven by a run that began before it was suspected.
TEST_F(CrashDetectorTest, RequestsOnTrialAreNamedFirst) {
  const auto cut = [this](std::uint64_t request, bool on_trial) {
    clock_.Advance(milliseconds(1));
    detector_.RecordCut({"i-1", {1, request}, clock_.Now(), false, on_trial, 7});
  };
  cut(1, true);
  cut(2, false);
  cut(3, true);
  cut(3, false);
  detector_.RecordEnd("i-1");
  clock_.Advance(milliseconds(60));
  const auto crash = detector_.TakeCrash();
  ASSERT_TRUE(crash);
  ASSERT_EQ(crash->requests.size(), 3U);
  EXPECT_EQ(crash->requests[0].digest, 1U);
  EXPECT_EQ(crash->on_trial, 1U);
  EXPECT_EQ(crash->software, 7U);
}

// Guards against lost or spoilt answers that count as crashes.
TEST_F(CrashDetectorTest, ACutWithoutAnEndIsNoCrash) {
  Cut("i-1", 1);
  EXPECT_TRUE(TakeRequests().empty());
  clock_.Advance(seconds(6));
  detector_.RecordEnd("i-1");
  EXPECT_TRUE(TakeRequests().empty());
}

TEST_F(CrashDetectorTest, ACutLongBeforeTheOthersIsNotOfTheCrash) {
  Cut("i-1", 1);
  clock_.Advance(seconds(1));
  Cut("i-1", 2);
  detector_.RecordEnd("i-1");
  EXPECT_EQ(TakeRequests(), (std::vector<std::uint64_t>{2}));
}

// Guards against polls that are blamed for running at every crash.
TEST_F(CrashDetectorTest, ARequestThatHasFinishedBeforeIsLeftOut) {
  Cut("i-1", 1);
  detector_.RecordCut({"i-1", {1, 1}, clock_.Now(), /*finished_before=*/true});
  Cut("i-1", 1);
  Cut("i-1", 2);
  detector_.RecordEnd("i-1");
  EXPECT_EQ(TakeRequests(), (std::vector<std::uint64_t>{2}));
}

TEST_F(CrashDetectorTest, CutsOfAnotherServerAreLeftOut) {
  Cut("i-1", 1);
  Cut("i-2", 2);
  detector_.RecordEnd("i-2");
  EXPECT_EQ(TakeRequests(), (std::vector<std::uint64_t>{2}));
}

class CrashEventTest : public ::testing::Test {
 protected:
  class Events final : public EventLog {
   public:
    void Emit(const Event& event) override {
      if (event.name == "server.crashed") crashed.push_back(event);
    }
    std::vector<Event> crashed;
  };

  CrashEventTest() { SendHeartbeat("i-1", 1000); }

  void SendHeartbeat(const std::string& id, int start_ms) {
    ServerHeartbeat heartbeat;
    heartbeat.id = id;
    heartbeat.service = "desk";
    heartbeat.start_time = milliseconds(start_ms);
    heartbeat.sequence = 1;
    monitor_.RecordHeartbeat(heartbeat);
  }
  void Settle() {
    clock_.Advance(milliseconds(60));
    monitor_.Tick();
  }

  ManualClock clock_;
  Events events_;
  BackendServerMonitor monitor_{seconds(3), &clock_, &events_,
                                [](const LocalBackendServer&) {}};
};

TEST_F(CrashEventTest, ARefusedConnectionAfterACutIsACrash) {
  monitor_.RecordCut({"i-1", {1, 0xabc}, clock_.Now()});
  monitor_.MarkUnreachable();
  Settle();
  ASSERT_EQ(events_.crashed.size(), 1u);
  EXPECT_EQ(events_.crashed[0].fields[0].second, "i-1");
  EXPECT_EQ(events_.crashed[0].fields[2].second, "0000000000000abc");
  EXPECT_EQ(monitor_.crashes(), 1u);
}

TEST_F(CrashEventTest, ASuccessorWithoutALeaveIsACrash) {
  monitor_.RecordCut({"i-1", {1, 2}, clock_.Now()});
  clock_.Advance(seconds(2));
  SendHeartbeat("i-2", 3000);
  Settle();
  EXPECT_EQ(events_.crashed.size(), 1u);
}

// Guards against planned stops that count as crashes.
TEST_F(CrashEventTest, AServerThatLeavesDoesNotCrash) {
  monitor_.RecordLeave("i-1");
  monitor_.RecordCut({"i-1", {1, 2}, clock_.Now()});
  monitor_.MarkUnreachable();
  Settle();
  SendHeartbeat("i-2", 3000);
  Settle();
  EXPECT_TRUE(events_.crashed.empty());
}

}  // namespace
}  // namespace quetzal
