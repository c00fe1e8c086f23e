#include "node/backend_server_monitor.h"

#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "base/result_code.h"

namespace quetzal {
namespace {

constexpr std::chrono::seconds kTimeout{3};
constexpr char kAnnouncement[] =
    R"({"service":"bodega-desk","address":"127.0.0.1:9001","slots":20,"connections":130})";

class BackendServerMonitorTest : public ::testing::Test {
 protected:
  ResultCode CodeOf(const std::string& json) {
    try {
      monitor_.Announce(json);
    } catch (const Error& error) {
      return error.code();
    }
    return ResultCode::kOk;
  }

  ManualClock clock_;
  NullEventLog events_;
  std::vector<ServerState> states_;
  BackendServerMonitor monitor_{
      kTimeout, &clock_, &events_,
      [this](const LocalBackendServer& server) { states_.push_back(server.state); }};
};

TEST_F(BackendServerMonitorTest, RepeatedAnnouncementsAreOneChange) {
  for (int n = 0; n < 5; ++n) {
    monitor_.Announce(kAnnouncement);
    clock_.Advance(std::chrono::seconds(2));
    monitor_.Tick();
  }
  EXPECT_EQ(states_, std::vector<ServerState>{SERVER_UP});
  EXPECT_EQ(monitor_.server().slots, 20U);
  EXPECT_EQ(monitor_.server().address, (Endpoint{"127.0.0.1", 9001}));
}

TEST_F(BackendServerMonitorTest, DownOnceAfterTheTimeoutAndUpAtTheNextAnnouncement) {
  monitor_.Announce(kAnnouncement);
  clock_.Advance(kTimeout);
  monitor_.Tick();
  monitor_.Tick();
  monitor_.Announce(kAnnouncement);
  EXPECT_EQ(states_, (std::vector<ServerState>{SERVER_UP, SERVER_DOWN, SERVER_UP}));
}

// Guards against a replaced server that keeps the version of the former one.
TEST_F(BackendServerMonitorTest, TheVersionIsThatOfTheLatestHeartbeat) {
  ServerHeartbeat heartbeat;
  heartbeat.id = "i-1";
  heartbeat.service = "desk";
  heartbeat.slots = 18;
  heartbeat.version = "v1";
  heartbeat.sequence = 1;
  monitor_.RecordHeartbeat(heartbeat);
  EXPECT_EQ(monitor_.server().version, "v1");
  heartbeat.id = "i-2";
  heartbeat.start_time = std::chrono::milliseconds(1);
  heartbeat.version = "v2";
  monitor_.RecordHeartbeat(heartbeat);
  EXPECT_EQ(monitor_.server().version, "v2");
  EXPECT_EQ(states_.size(), 2U) << "the observer did not hear of the version";
  heartbeat.version.clear();
  heartbeat.sequence = 2;
  monitor_.RecordHeartbeat(heartbeat);
  EXPECT_EQ(monitor_.server().version, "");
}

TEST_F(BackendServerMonitorTest, StopMarksLeavingAndRefusesAnnouncements) {
  monitor_.Announce(kAnnouncement);
  monitor_.Stop();
  EXPECT_EQ(CodeOf(kAnnouncement), ResultCode::kNodeStopping);
  EXPECT_EQ(states_, (std::vector<ServerState>{SERVER_UP, SERVER_LEAVING}));
}

/// Start times of incarnations.
constexpr std::chrono::milliseconds kFirstStart{100};
constexpr std::chrono::milliseconds kSecondStart{200};
constexpr std::chrono::milliseconds kThirdStart{300};

class HeartbeatOrderTest : public BackendServerMonitorTest {
 protected:
  void RecordFormerDeparture(const std::string& id,
                             std::chrono::milliseconds last_start) {
    ServerObservations former;
    former.mutable_departure()->set_id(id);
    former.mutable_departure()->set_last_start_ms(last_start.count());
    monitor_.RecordFormerObservations(former);
  }
  void SendHeartbeat(const std::string& id, std::chrono::milliseconds start_time,
                     std::uint64_t sequence, bool leaving = false) {
    ServerHeartbeat heartbeat;
    heartbeat.id = id;
    heartbeat.service = "bodega-desk";
    heartbeat.address = {"127.0.0.1", 9001};
    heartbeat.slots = 20;
    heartbeat.start_time = start_time;
    heartbeat.sequence = sequence;
    heartbeat.leaving = leaving;
    monitor_.RecordHeartbeat(heartbeat);
  }
  ServerState state() const { return monitor_.server().state; }
};

TEST_F(HeartbeatOrderTest, ALateHeartbeatOfAFormerIncarnationChangesNothing) {
  SendHeartbeat("i-2", kSecondStart, 1);
  SendHeartbeat("i-1", kFirstStart, 9, true);
  EXPECT_EQ(monitor_.server().id, "i-2");
  EXPECT_EQ(state(), SERVER_UP);
}

TEST_F(HeartbeatOrderTest, ReorderedHeartbeatsOfALeavingIncarnation) {
  SendHeartbeat("i-1", kFirstStart, 5, true);
  SendHeartbeat("i-1", kFirstStart, 4);
  EXPECT_EQ(state(), SERVER_LEAVING);
  SendHeartbeat("i-1", kFirstStart, 6);
  EXPECT_EQ(state(), SERVER_LEAVING) << "a leaving incarnation stays leaving";
}

TEST_F(HeartbeatOrderTest, ALaterStartWithTheSameIdIsANewIncarnation) {
  SendHeartbeat("i-1", kFirstStart, 50, true);
  SendHeartbeat("i-1", kThirdStart, 1);
  EXPECT_EQ(state(), SERVER_UP);
}

TEST_F(HeartbeatOrderTest, LeavesOfOtherIncarnationsAreIgnored) {
  SendHeartbeat("i-2", kSecondStart, 1);
  monitor_.RecordLeave("i-1");
  EXPECT_EQ(state(), SERVER_UP);
  monitor_.RecordLeave("i-2");
  EXPECT_EQ(state(), SERVER_LEAVING);
}

// Guards against requests to a server whose leave came before its node knew it.
TEST_F(HeartbeatOrderTest, ALeaveBeforeTheFirstHeartbeatHolds) {
  monitor_.RecordLeave("i-1");
  SendHeartbeat("i-1", kFirstStart, 19);
  EXPECT_EQ(state(), SERVER_LEAVING);
}

// Guards against a server that stays out of use for good after its predecessor left.
// Guards against a late leave that takes out the server that started again under its id.
TEST_F(HeartbeatOrderTest, ALateLeaveOfAnEarlierStartChangesNothing) {
  SendHeartbeat("i-1", kSecondStart, 1);
  monitor_.RecordLeave("i-1", kFirstStart);
  EXPECT_EQ(state(), SERVER_UP);
  monitor_.RecordLeave("i-1", kSecondStart);
  EXPECT_EQ(state(), SERVER_LEAVING);
  SendHeartbeat("i-1", kThirdStart, 1);
  EXPECT_EQ(state(), SERVER_UP);
}

TEST_F(HeartbeatOrderTest, ALaterStartWithTheIdOfADepartedServerIsUsed) {
  monitor_.RecordLeave("i-1");
  clock_.Advance(std::chrono::seconds(5));
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      clock_.WallNow().time_since_epoch());
  SendHeartbeat("i-1", now, 1);
  EXPECT_EQ(state(), SERVER_UP);
}

// Guards against a server that is used again after the restart of its node.
TEST_F(HeartbeatOrderTest, ADepartureThatAnEarlierRunAcknowledgedHolds) {
  RecordFormerDeparture("i-1", kFirstStart);
  EXPECT_EQ(monitor_.server().observations->departure().id(), "i-1")
      << "known to the next run, too";
  SendHeartbeat("i-1", kFirstStart, 19);
  EXPECT_EQ(state(), SERVER_LEAVING);
  SendHeartbeat("i-2", kSecondStart, 1);
  EXPECT_EQ(state(), SERVER_UP);
}

// Guards against the loss of a departure when a member tells of an earlier one.
// Guards against a late heartbeat that arrives before other members have told what the
// earlier run had acknowledged.
TEST_F(HeartbeatOrderTest, AServerIsNotUsedBeforeFormerDeparturesAreKnown) {
  monitor_.AwaitFormerObservations();
  SendHeartbeat("i-1", kFirstStart, 4);
  EXPECT_EQ(state(), SERVER_STARTING);
  RecordFormerDeparture("i-1", kFirstStart);
  EXPECT_EQ(state(), SERVER_LEAVING);
  monitor_.FormerObservationsKnown();
  EXPECT_EQ(state(), SERVER_LEAVING);
  SendHeartbeat("i-1", kSecondStart, 1);
  EXPECT_EQ(state(), SERVER_UP) << "it started again under its id";
}

// Guards against observations of a new run that replace a departure which only other
// members know of.
TEST_F(HeartbeatOrderTest, NothingIsPublishedInPlaceOfFormerDepartures) {
  monitor_.AwaitFormerObservations();
  SendHeartbeat("i-1", kFirstStart, 4);
  monitor_.Acquit({10, {1, 2}});
  EXPECT_FALSE(monitor_.server().observations);
  RecordFormerDeparture("i-1", kFirstStart);
  monitor_.FormerObservationsKnown();
  ASSERT_TRUE(monitor_.server().observations);
  EXPECT_EQ(monitor_.server().observations->departure().id(), "i-1");
  EXPECT_EQ(monitor_.server().observations->acquittals_size(), 1);
}

TEST_F(HeartbeatOrderTest, AServerIsUsedOnceFormerDeparturesAreKnown) {
  monitor_.AwaitFormerObservations();
  SendHeartbeat("i-1", kFirstStart, 4);
  monitor_.FormerObservationsKnown();
  EXPECT_EQ(state(), SERVER_UP);
  SendHeartbeat("i-1", kFirstStart, 5);
  EXPECT_EQ(states_, (std::vector<ServerState>{SERVER_STARTING, SERVER_UP}));
}

TEST_F(HeartbeatOrderTest, AFormerDepartureDoesNotReplaceALaterOne) {
  SendHeartbeat("i-2", kSecondStart, 1, true);
  RecordFormerDeparture("i-1", kFirstStart);
  EXPECT_EQ(monitor_.server().observations->departure().id(), "i-2");
  SendHeartbeat("i-1", kFirstStart, 19);
  EXPECT_EQ(monitor_.server().id, "i-2");
}

// Guards against requests to a server whose answers say that it leaves.
TEST_F(HeartbeatOrderTest, AnAnswerThatSaysThatTheServerLeavesHolds) {
  SendHeartbeat("i-2", kSecondStart, 1);
  monitor_.RecordLeavingAnswer("i-1");
  EXPECT_EQ(state(), SERVER_UP) << "an answer of its predecessor";
  monitor_.RecordLeavingAnswer("i-2");
  EXPECT_EQ(state(), SERVER_LEAVING);
  SendHeartbeat("i-2", kSecondStart, 2);
  EXPECT_EQ(state(), SERVER_LEAVING);
}

// Guards against a server in use that has said that it leaves, in a heartbeat that was
// overtaken.
TEST_F(HeartbeatOrderTest, AnOvertakenHeartbeatThatLeavesCounts) {
  SendHeartbeat("i-1", kFirstStart, 6);
  SendHeartbeat("i-1", kFirstStart, 5, true);
  EXPECT_EQ(state(), SERVER_LEAVING);
}

// Guards against a heartbeat of another writer that makes all later ones count as late.
TEST_F(HeartbeatOrderTest, AHeartbeatFromTheFutureIsMalformed) {
  SendHeartbeat("i-1", kFirstStart, 1);
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      clock_.WallNow().time_since_epoch());
  EXPECT_THROW(SendHeartbeat("i-1", now + std::chrono::hours(2), 1), Error);
  SendHeartbeat("i-1", kFirstStart, 2, true);
  EXPECT_EQ(state(), SERVER_LEAVING);
  SendHeartbeat("i-2", now + std::chrono::seconds(5), 1);
  EXPECT_EQ(state(), SERVER_UP) << "clocks differ by seconds";
}

TEST_F(HeartbeatOrderTest, AnUnreachableServerIsDownUntilTheNextHeartbeat) {
  SendHeartbeat("i-2", kSecondStart, 1);
  monitor_.MarkUnreachable();
  EXPECT_EQ(state(), SERVER_DOWN);
  SendHeartbeat("i-2", kSecondStart, 2);
  EXPECT_EQ(state(), SERVER_UP);
}

TEST_F(BackendServerMonitorTest, MarkLeavingWithoutAServerChangesNothing) {
  monitor_.MarkLeaving();
  monitor_.Tick();
  EXPECT_TRUE(states_.empty());
}

TEST_F(BackendServerMonitorTest, MalformedAnnouncementsChangeNothing) {
  for (const char* json :
       {"", "[]", "{", R"({"service":"a"})",
        R"({"service":"","address":"127.0.0.1:1","slots":1,"connections":1})",
        R"({"service":"a","address":"localhost:1","slots":1,"connections":1})",
        R"({"service":"a","address":"127.0.0.1:1","slots":0,"connections":1})",
        R"({"service":"a","address":"127.0.0.1:1","slots":-1,"connections":1})",
        R"({"service":"a","address":"127.0.0.1:1","slots":1.5,"connections":1})",
        R"({"service":7,"address":"127.0.0.1:1","slots":1,"connections":1})"}) {
    EXPECT_EQ(CodeOf(json), ResultCode::kRequestMalformed) << json;
  }
  EXPECT_TRUE(states_.empty());
}

TEST_F(BackendServerMonitorTest, ArbitraryBytesAreAcceptedOrMalformed) {
  EXPECT_TRUE(rc::check([this](const std::string& bytes) {
    const ResultCode code = CodeOf(bytes);
    RC_ASSERT(code == ResultCode::kOk || code == ResultCode::kRequestMalformed);
  }));
}

}  // namespace
}  // namespace quetzal
