// Calls that backend servers make while they run other requests.
#include "calls/nested_call.h"

#include <map>

#include <gtest/gtest.h>

#include "calls/admission_control.h"
#include "calls/sim_cluster.h"

namespace quetzal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(NestedCallTest, OnlyTheAddressOfTheOwnServerCounts) {
  LocalBackendServer server;
  EXPECT_FALSE(IsNestedCall("", server)) << "neither address is known";
  server.address = {"10.0.1.1", 9000};
  EXPECT_TRUE(IsNestedCall("10.0.1.1", server));
  EXPECT_FALSE(IsNestedCall("10.0.1.11", server));
  EXPECT_FALSE(IsNestedCall("10.0.1.", server));
  EXPECT_FALSE(IsNestedCall("", server));
}

// Guards against new requests that go first because callers and servers share a machine.
TEST(NestedCallTest, LoopbackAddressesNeverCount) {
  LocalBackendServer server;
  for (const char* address : {"127.0.0.1", "127.0.1.1", "::1"}) {
    server.address = {address, 9000};
    EXPECT_FALSE(IsNestedCall(address, server)) << address;
  }
}

TEST(NestedCallTest, TheMarkTravelsBetweenNodesOnlyWhenItIsSet) {
  CallHead head;
  head.method = "GET";
  head.path = "/";
  EXPECT_EQ(HeaderValue(EncodeCall(head, {}), "x-qz-nested"), "");
  EXPECT_FALSE(DecodeCall(EncodeCall(head, {}))->nested);
  head.nested = true;
  EXPECT_TRUE(DecodeCall(EncodeCall(head, {}))->nested);
}

/// A server with one slot, which runs a request of 100 ms, and a queue of four.
class NestedAdmissionTest : public testing::Test {
 protected:
  NestedAdmissionTest() {
    AdmissionLimits limits;
    limits.state = SERVER_UP;
    limits.slots = 1;
    limits.queue = 4;
    control_.SetLimits(limits, clock_.Now());
    Offer(100, false, 0, seconds(5), seconds(5));
    Finish();
    Offer(101, false, 0, seconds(5), seconds(5));
  }

  void Offer(std::uint64_t id, bool nested, std::uint32_t priority, Duration objective,
             Duration deadline) {
    AdmissionRequest request;
    request.id = id;
    request.nested = nested;
    request.priority = priority;
    request.objective = clock_.Now() + objective;
    request.deadline = clock_.Now() + deadline;
    request.work = "read";
    Record(control_.Offer(request, clock_.Now()));
  }
  void Finish() { Record(control_.Finish("read", milliseconds(100), clock_.Now())); }
  void Record(const AdmissionControl::Decisions& decisions) {
    for (const AdmissionDecision& decision : decisions) {
      decisions_[decision.id] = decision.code;
    }
  }
  ResultCode CodeOf(std::uint64_t id) {
    return decisions_.count(id) == 0 ? ResultCode::kPending : decisions_[id];
  }

  ManualClock clock_;
  AdmissionControl control_;
  std::map<std::uint64_t, ResultCode> decisions_;
};

// A burst of urgent requests over a nested call: the run above the call is lost if the
// call waits behind them.
TEST_F(NestedAdmissionTest, ANestedCallGoesBeforeUrgentRequests) {
  for (const int id : {1, 2, 3}) Offer(id, false, 0, seconds(5), seconds(5));
  Offer(4, true, 9, milliseconds(250), milliseconds(600));
  EXPECT_EQ(CodeOf(4), ResultCode::kPending);
  Finish();
  EXPECT_EQ(CodeOf(4), ResultCode::kOk);
  EXPECT_EQ(CodeOf(1), ResultCode::kPending);
}

// Calls into a full service: new requests are shed for nested calls, never the opposite.
TEST_F(NestedAdmissionTest, AFullQueueShedsNewRequestsForNestedCalls) {
  for (const int id : {1, 2, 3, 4}) Offer(id, false, 0, seconds(5), seconds(5));
  Offer(5, true, 9, seconds(5), seconds(5));
  EXPECT_EQ(CodeOf(5), ResultCode::kPending);
  EXPECT_EQ(CodeOf(4), ResultCode::kShed);
  for (const int id : {6, 7, 8}) Offer(id, true, 9, seconds(5), seconds(5));
  Offer(9, false, 0, seconds(5), seconds(5));
  EXPECT_EQ(CodeOf(9), ResultCode::kServerFull);
  Offer(10, true, 9, seconds(5), seconds(5));
  EXPECT_EQ(CodeOf(10), ResultCode::kServerFull) << "the queue stays bounded";
}

// Nested calls into a server that became slow: they are late for their own objective, but
// the run above them is not lost yet.
TEST_F(NestedAdmissionTest, OnlyTheDeadlineEndsTheWaitOfANestedCall) {
  Offer(1, true, 0, milliseconds(150), milliseconds(600));
  EXPECT_EQ(CodeOf(1), ResultCode::kPending) << "100 ms of wait and 100 ms of work";
  Offer(2, false, 0, seconds(5), seconds(5));
  Offer(3, true, 0, milliseconds(250), milliseconds(270));
  EXPECT_EQ(CodeOf(3), ResultCode::kShed) << "it would not end before its deadline";
  clock_.Advance(milliseconds(400));
  Finish();
  EXPECT_EQ(CodeOf(1), ResultCode::kOk);
}

/// Two nodes with one slot and a queue of four each. Reports take 100 ms and have an
/// objective of 500 ms.
class NestedCallPathTest : public testing::Test {
 protected:
  NestedCallPathTest() {
    cluster_.configuration.mutable_services(0)->set_queue(4);
    for (Route& route : *cluster_.configuration.mutable_routes()) {
      if (route.name() == "reports") route.set_objective_ms(500);
    }
    cluster_.Distribute();
    for (auto& server : cluster_.servers) {
      server->service_time = milliseconds(100);
      server->on_run = [this](const std::string& /*path*/, const std::string& body) {
        started_.push_back(body);
      };
    }
    // Both nodes learn the service time.
    for (int n = 0; n < 4; ++n) {
      cluster_.GetReport(n % 2, "train");
      cluster_.Run(milliseconds(150));
    }
    started_.clear();
  }

  std::shared_ptr<AnswerRecorder> SendFrom(const std::string& address,
                                           const std::string& body,
                                           const std::string& remaining_ms) {
    return cluster_.Send(
        0, "GET", "/reports/1", "", body,
        {{":remote-address", address}, {"x-quetzal-deadline-ms", remaining_ms}});
  }

  SimCluster cluster_{2, 1};
  std::vector<std::string> started_;
};

// All servers are full when a server makes a call.
TEST_F(NestedCallPathTest, ACallOfTheOwnServerStartsBeforeRequestsOfCallers) {
  for (const char* body : {"a", "b"}) cluster_.GetReport(0, body);
  cluster_.Run(milliseconds(10));
  for (const char* body : {"c", "d"}) SendFrom("10.9.0.1", body, "5000");
  cluster_.Run(milliseconds(20));
  const auto nested = SendFrom("10.0.1.1", "nested", "5000");
  cluster_.Run(seconds(1));
  ASSERT_EQ(started_.size(), 5U);
  EXPECT_EQ(started_[2], "nested");
  EXPECT_TRUE(nested->has_server_answer());
}

// A server passes on the rest of its own time, which is 400 ms of 5 s: no earlier attempt
// of the call has spent the difference.
TEST_F(NestedCallPathTest, AShortRemainingTimeOfANestedCallIsNoEarlierAttempt) {
  SendFrom("10.9.0.1", "long", "5000");
  cluster_.Run(seconds(1));
  for (const char* body : {"a", "b"}) cluster_.GetReport(0, body);
  cluster_.Run(milliseconds(10));
  const auto nested = SendFrom("10.0.1.1", "nested", "400");
  const auto repeated = SendFrom("10.9.0.1", "repeated", "400");
  cluster_.Run(seconds(1));
  EXPECT_TRUE(nested->has_server_answer());
  EXPECT_FALSE(repeated->has_server_answer()) << "its objective has passed";
}

// Callers can neither state the address nor have it forwarded.
TEST_F(NestedCallPathTest, TheAddressIsNotForwarded) {
  SendFrom("10.0.1.1", "nested", "5000");
  cluster_.Run(seconds(1));
  for (const auto& server : cluster_.servers) {
    EXPECT_EQ(HeaderValue(server->last_headers, ":remote-address"), "");
    EXPECT_EQ(HeaderValue(server->last_headers, "x-qz-nested"), "");
  }
}

}  // namespace
}  // namespace quetzal
