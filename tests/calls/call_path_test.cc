#include "calls/call_path.h"

#include <algorithm>

#include <gtest/gtest.h>

#include "calls/sim_cluster.h"

namespace quetzal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

int Number(ResultCode code) { return static_cast<int>(code); }

TEST(CallPathTest, IdempotentRequestIsServedByEveryNode) {
  SimCluster cluster(4);
  for (std::size_t n = 0; n < 4; ++n) {
    auto received = cluster.GetReport(n, "body-" + std::to_string(n));
    cluster.Run(milliseconds(50));
    EXPECT_EQ(received->status(), "200");
    EXPECT_EQ(received->body, "done");
    EXPECT_TRUE(received->has_server_answer());
    EXPECT_EQ(cluster.runs("body-" + std::to_string(n)), 1);
  }
}

TEST(CallPathTest, AnswerToTheCallerHasNoInternalFields) {
  SimCluster cluster(2);
  auto received = cluster.GetReport(0);
  cluster.Run(milliseconds(50));
  for (const auto& [name, value] : received->headers) {
    EXPECT_NE(name.substr(0, 5), "x-qz-") << name;
  }
  EXPECT_EQ(HeaderValue(cluster.servers[0]->last_headers, "host"), "desk.example");
}

TEST(CallPathTest, OrderRunsOnceAndResendsGetTheSameAnswer) {
  SimCluster cluster(4);
  cluster.servers[0]->answer = cluster.servers[2]->answer = "order 17";
  auto first = cluster.PostOrder(0, "k1", "hoops");
  cluster.Run(milliseconds(100));
  EXPECT_EQ(first->body, "order 17");
  for (std::size_t n = 0; n < 4; ++n) {
    auto again = cluster.PostOrder(n, "k1", "hoops");
    cluster.Run(milliseconds(100));
    EXPECT_EQ(again->body, "order 17");
    EXPECT_EQ(HeaderValue(again->headers, "x-quetzal-replayed"), "1");
  }
  EXPECT_EQ(cluster.runs("hoops"), 1);
}

TEST(CallPathTest, TimedOutOrderIsAnsweredOnceAndItsOutcomeLoggedLater) {
  SimCluster cluster(1);
  cluster.servers[0]->service_time = milliseconds(200);
  auto late = cluster.Send(0, "POST", "/orders", "k1", "hoops",
                           {{"x-quetzal-deadline-ms", "80"}});
  cluster.Run(milliseconds(400));
  EXPECT_EQ(late->result(), Number(ResultCode::kDeadlineExceeded));
  std::string events;
  for (const std::string& line : cluster.lines) {
    const std::string event = line.substr(line.find("call."));
    // Leaves out the arbitrary id of the attempt.
    events +=
        event.substr(0, std::min(event.find(" attempt"), event.find(" peer"))) + "; ";
  }
  EXPECT_EQ(events,
            "call.accepted key=k1 code=0; call.admitted key=k1; "
            "call.delivered key=k1 code=5006; call.resolved key=k1 code=0; ");
}

TEST(CallPathTest, EachOrderIsSentOnAFreshConnection) {
  SimCluster cluster(1);
  cluster.PostOrder(0, "k1", "hoops");
  cluster.Run(milliseconds(100));
  EXPECT_EQ(HeaderValue(cluster.servers[0]->last_headers, ":connection"), "fresh");
  cluster.GetReport(0);
  cluster.Run(milliseconds(100));
  EXPECT_EQ(HeaderValue(cluster.servers[0]->last_headers, ":connection"), "");
}

TEST(CallPathTest, RefusalsCarryTheirResultCode) {
  SimCluster cluster(2);
  auto no_key = cluster.PostOrder(0, "", "hoops");
  auto no_route = cluster.Send(0, "GET", "/other", "", "");
  auto hops = cluster.Send(0, "GET", "/reports", "", "", {{"x-quetzal-hops", "12"}});
  cluster.Run(milliseconds(50));
  EXPECT_EQ(no_key->result(), Number(ResultCode::kKeyRequired));
  EXPECT_EQ(no_route->result(), Number(ResultCode::kNoRoute));
  EXPECT_EQ(hops->result(), Number(ResultCode::kHopLimit));
  EXPECT_TRUE(no_key->reports_not_run());
  cluster.routing.current = nullptr;
  auto starting = cluster.GetReport(0);
  cluster.Run(milliseconds(50));
  EXPECT_EQ(starting->result(), Number(ResultCode::kNodeStarting));
  EXPECT_EQ(HeaderValue(starting->headers, "retry-after"), "1");
  EXPECT_EQ(cluster.servers[0]->total_runs() + cluster.servers[1]->total_runs(), 0);
}

TEST(CallPathTest, OrderThatDiffersInItsLastByteIsAReuseOfTheKey) {
  SimCluster cluster(2);
  const std::string body(CallOptions().keyed_body_bytes, 'b');
  auto first = cluster.PostOrder(0, "k1", body);
  cluster.Run(milliseconds(100));
  EXPECT_TRUE(first->has_server_answer()) << first->body;
  std::string other = body;
  other.back() = 'c';
  auto reused = cluster.PostOrder(1, "k1", other);
  auto again = cluster.PostOrder(1, "k1", body);
  cluster.Run(milliseconds(100));
  EXPECT_EQ(reused->result(), Number(ResultCode::kKeyReused));
  EXPECT_EQ(HeaderValue(again->headers, "x-quetzal-replayed"), "1");
  EXPECT_EQ(cluster.servers[0]->total_runs() + cluster.servers[1]->total_runs(), 1);
}

TEST(CallPathTest, OrderOverTheBodyLimitDoesNotRun) {
  SimCluster cluster(1);
  const std::string body(CallOptions().keyed_body_bytes + 1, 'b');
  auto with_length = cluster.PostOrder(0, "k1", body);
  cluster.Run(milliseconds(100));
  auto without_length =
      cluster.SendPieces(0, "/orders", "k1", {body.substr(0, 1000), body});
  cluster.Run(milliseconds(100));
  EXPECT_EQ(with_length->result(), Number(ResultCode::kBodyTooLarge));
  EXPECT_EQ(with_length->status(), "413");
  EXPECT_TRUE(with_length->reports_not_run());
  EXPECT_EQ(without_length->result(), Number(ResultCode::kBodyTooLarge));
  EXPECT_EQ(cluster.servers[0]->total_runs(), 0);
  EXPECT_TRUE(cluster.records.empty());
  EXPECT_EQ(cluster.nodes[0].path->counts().in_flight, 0U);
}

TEST(CallPathTest, LeavingServerGetsNoRequestsThoughRoutingStillListsIt) {
  SimCluster cluster(4);
  cluster.SetState(0, SERVER_LEAVING);
  for (int n = 0; n < 50; ++n) {
    auto received = cluster.GetReport(n % 4);
    cluster.Run(milliseconds(20));
    EXPECT_TRUE(received->has_server_answer());
  }
  EXPECT_EQ(cluster.servers[0]->total_runs(), 0);
}

TEST(CallPathTest, RouteSkipsAServiceWithoutInstances) {
  SimCluster cluster(2);
  cluster.configuration.add_services()->set_name("kiln");
  for (Route& route : *cluster.configuration.mutable_routes()) {
    Target* target = route.add_targets();
    target->set_service("kiln");
    target->set_weight(1000);
  }
  cluster.Distribute();
  for (int n = 0; n < 20; ++n) {
    auto report = cluster.GetReport(n % 2);
    auto order = cluster.PostOrder(n % 2, "k" + std::to_string(n), "hoops");
    cluster.Run(milliseconds(50));
    EXPECT_TRUE(report->has_server_answer()) << report->body;
    EXPECT_TRUE(order->has_server_answer()) << order->body;
  }
  EXPECT_EQ(cluster.runs("hoops"), 20);
}

TEST(CallPathTest, SlotLimitHoldsAndTheQueueDrains) {
  SimCluster cluster(1, 6);
  std::vector<std::shared_ptr<AnswerRecorder>> all_received;
  for (int n = 0; n < 12; ++n) all_received.push_back(cluster.GetReport(0));
  cluster.Run(seconds(1));
  for (const auto& received : all_received) EXPECT_TRUE(received->has_server_answer());
  EXPECT_EQ(cluster.servers[0]->max_running, 6);
}

TEST(CallPathTest, RefusedRetryDoesNotHideThatTheFirstAttemptMayHaveRun) {
  SimCluster cluster(2);
  for (auto& server : cluster.servers) server->behaviour = Behaviour::kRunAndClose;
  auto received = cluster.GetReport(0, "report");
  cluster.Run(std::chrono::microseconds(1500));
  EXPECT_EQ(cluster.servers[0]->total_runs() + cluster.servers[1]->total_runs(), 1);
  cluster.SetState(0, SERVER_LEAVING);
  cluster.SetState(1, SERVER_LEAVING);
  cluster.Run(seconds(1));
  EXPECT_EQ(cluster.runs("report"), 1);
  EXPECT_EQ(received->result(), Number(ResultCode::kAnswerCut));
  EXPECT_FALSE(received->reports_not_run());
}

/// Makes the backend server answer every request with 503 and Retry-After.
void SetOverloaded(FakeBackendServer* server) {
  server->status = "503";
  server->answer = "busy";
  server->extra_headers = {{"retry-after", "7"}};
}

TEST(CallPathTest, OverloadedServersReportIsServedByAnother) {
  SimCluster cluster(2);
  SetOverloaded(cluster.servers[0].get());
  for (int n = 0; n < 10; ++n) {
    auto received = cluster.GetReport(0, "report");
    cluster.Run(milliseconds(50));
    EXPECT_EQ(received->status(), "200");
    EXPECT_EQ(received->body, "done");
  }
  EXPECT_GT(cluster.servers[0]->total_runs(), 0);
  EXPECT_EQ(cluster.servers[1]->total_runs(), 10);
}

TEST(CallPathTest, CallerGetsTheLastAnswerOnceTheRetryBudgetIsSpent) {
  for (const bool sends_content_length : {true, false}) {
    SimCluster cluster(3);
    for (auto& server : cluster.servers) {
      SetOverloaded(server.get());
      server->sends_content_length = sends_content_length;
    }
    constexpr int kReports = 100;
    for (int n = 0; n < kReports; ++n) {
      auto received = cluster.GetReport(0);
      cluster.Run(milliseconds(50));
      EXPECT_EQ(received->answers, 1);
      EXPECT_EQ(received->status(), "503");
      EXPECT_EQ(received->body, "busy");
      EXPECT_EQ(HeaderValue(received->headers, "retry-after"), "7");
    }
    int runs = 0;
    for (auto& server : cluster.servers) runs += server->total_runs();
    // The budget starts with ten retries and earns one for every five requests.
    EXPECT_EQ(runs, kReports + 10 + kReports / 5);
  }
}

TEST(CallPathTest, RefusedRetryDoesNotReplaceTheServersAnswer) {
  SimCluster cluster(2);
  SetOverloaded(cluster.servers[0].get());
  cluster.SetState(1, SERVER_LEAVING);
  auto received = cluster.GetReport(0, "report");
  cluster.Run(seconds(1));
  EXPECT_EQ(received->status(), "503");
  EXPECT_EQ(received->body, "busy");
  EXPECT_FALSE(received->reports_not_run());
  EXPECT_EQ(cluster.runs("report"), 1);
}

TEST(CallPathTest, OrderRefusedByAnOverloadedServerIsNotRetried) {
  SimCluster cluster(2);
  for (auto& server : cluster.servers) SetOverloaded(server.get());
  auto received = cluster.PostOrder(0, "k1", "hoops");
  cluster.Run(seconds(1));
  EXPECT_EQ(received->status(), "503");
  EXPECT_EQ(HeaderValue(received->headers, "retry-after"), "7");
  EXPECT_EQ(cluster.runs("hoops"), 1);
}

TEST(CallPathTest, LongAnswerOfAnOverloadedServerIsRelayedWhole) {
  SimCluster cluster(2);
  SetOverloaded(cluster.servers[0].get());
  cluster.servers[0]->sends_content_length = false;
  cluster.servers[0]->answer = std::string(3 * CallOptions().answer_bytes, 'b');
  auto received = cluster.GetReport(0);
  cluster.Run(seconds(1));
  EXPECT_EQ(received->status(), "503");
  EXPECT_TRUE(received->whole());
  EXPECT_EQ(received->body, cluster.servers[0]->answer);
  EXPECT_EQ(cluster.servers[1]->total_runs(), 0);
}

TEST(CallPathTest, DrainFinishesTheRequestsInFlight) {
  SimCluster cluster(2);
  cluster.servers[0]->service_time = milliseconds(200);
  cluster.servers[1]->service_time = milliseconds(200);
  auto report = cluster.GetReport(0);
  auto order = cluster.PostOrder(0, "k1", "hoops");
  cluster.Run(milliseconds(20));
  bool done = false;
  cluster.nodes[0].path->Drain([&done] { done = true; });
  auto refused = cluster.GetReport(0);
  cluster.Run(milliseconds(100));
  EXPECT_FALSE(done);
  EXPECT_EQ(refused->result(), Number(ResultCode::kNodeStopping));
  EXPECT_EQ(HeaderValue(refused->headers, "connection"), "close");
  cluster.Run(milliseconds(400));
  EXPECT_TRUE(done);
  EXPECT_TRUE(report->has_server_answer());
  EXPECT_TRUE(order->has_server_answer());
}

}  // namespace
}  // namespace quetzal
