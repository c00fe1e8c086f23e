// Calls that backend servers make while they run other requests.
#include "calls/nested_call.h"

#include <map>

#include <gtest/gtest.h>

#include "calls/admission_control.h"
#include "calls/sim_cluster.h"
#include "configuration/credential.h"

namespace quetzal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against callers whose requests go before all others: where nobody needs a
// credential, public routes do not tell servers' calls from new requests.
TEST(NestedCallTest, OnlyPublicRoutesOfAConfigurationWithTeamsCount) {
  Route route;
  EXPECT_FALSE(IsNestedCall(route, /*has_teams=*/false));
  EXPECT_FALSE(IsNestedCall(route, /*has_teams=*/true));
  route.set_is_public(true);
  EXPECT_TRUE(IsNestedCall(route, /*has_teams=*/true));
  EXPECT_FALSE(IsNestedCall(route, /*has_teams=*/false));
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

/// Two nodes with one slot and a queue of four each. Reports of a team and lookups of
/// backend servers take 100 ms and have an objective of 500 ms.
class NestedCallPathTest : public testing::Test {
 protected:
  NestedCallPathTest() {
    Configuration& configuration = cluster_.configuration;
    configuration.mutable_services(0)->set_queue(4);
    Team* team = configuration.add_teams();
    team->set_name("rioja");
    team->add_credential_digests(CredentialDigest("k-rioja"));
    Route lookups;
    for (Route& route : *configuration.mutable_routes()) {
      if (route.name() != "reports") continue;
      route.set_objective_ms(500);
      lookups = route;
    }
    lookups.set_name("lookups");
    lookups.set_path_prefix("/lookups");
    lookups.set_is_public(true);
    *configuration.add_routes() = lookups;
    cluster_.Distribute();
    for (auto& server : cluster_.servers) {
      server->service_time = milliseconds(100);
      server->on_run = [this](const std::string& /*path*/, const std::string& body) {
        started_.push_back(body);
      };
    }
    // Both nodes learn the service time of both routes.
    for (int n = 0; n < 4; ++n) {
      SendReport("train", "5000", n % 2);
      cluster_.Run(milliseconds(150));
      SendNested("train", "5000", n % 2);
      cluster_.Run(milliseconds(150));
    }
    started_.clear();
  }

  std::shared_ptr<AnswerRecorder> SendReport(const std::string& body,
                                             const std::string& remaining_ms,
                                             int node = 0) {
    return cluster_.Send(
        node, "GET", "/reports/1", "", body,
        {{"authorization", "Bearer k-rioja"}, {"x-quetzal-deadline-ms", remaining_ms}});
  }
  std::shared_ptr<AnswerRecorder> SendNested(const std::string& body,
                                             const std::string& remaining_ms,
                                             int node = 0) {
    return cluster_.Send(node, "GET", "/lookups/1", "", body,
                         {{"x-quetzal-deadline-ms", remaining_ms}});
  }

  SimCluster cluster_{2, 1};
  std::vector<std::string> started_;
};

// All servers are full when a server makes a call.
TEST_F(NestedCallPathTest, ACallOfAServerStartsBeforeRequestsOfCallers) {
  for (const char* body : {"a", "b"}) SendReport(body, "5000");
  cluster_.Run(milliseconds(10));
  for (const char* body : {"c", "d"}) SendReport(body, "5000");
  cluster_.Run(milliseconds(20));
  const auto nested = SendNested("nested", "5000");
  cluster_.Run(seconds(1));
  ASSERT_EQ(started_.size(), 5U);
  EXPECT_EQ(started_[2], "nested");
  EXPECT_TRUE(nested->has_server_answer());
}

// A server passes on the rest of its own time, which is 400 ms of 5 s: no earlier attempt
// of the call has spent the difference.
TEST_F(NestedCallPathTest, AShortRemainingTimeOfANestedCallIsNoEarlierAttempt) {
  SendReport("long", "5000");
  cluster_.Run(seconds(1));
  for (const char* body : {"a", "b"}) SendReport(body, "5000");
  cluster_.Run(milliseconds(10));
  const auto nested = SendNested("nested", "400");
  const auto repeated = SendReport("repeated", "400");
  cluster_.Run(seconds(1));
  EXPECT_TRUE(nested->has_server_answer());
  EXPECT_FALSE(repeated->has_server_answer()) << "its objective has passed";
}

// The mark is between nodes only.
TEST_F(NestedCallPathTest, TheMarkIsNotForwardedToServers) {
  SendNested("nested", "5000");
  cluster_.Run(seconds(1));
  for (const auto& server : cluster_.servers) {
    EXPECT_EQ(HeaderValue(server->last_headers, "x-qz-nested"), "");
  }
}

}  // namespace
}  // namespace quetzal
