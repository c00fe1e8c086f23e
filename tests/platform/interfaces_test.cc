#include <deque>

#include <gtest/gtest.h>

#include "control/control_fakes.h"
#include "control/order_interface.h"
#include "node/server_interface.h"

namespace quetzal {
namespace {

constexpr char kOrder[] =
    R"({"version":"00000007","baseVersion":"00000000","routes":[],"services":[]})";

/// The platform's order interface on a control instance that leads.
class OrderInterfaceTest : public testing::Test {
 protected:
  OrderInterfaceTest() {
    control_.agreement.view.leading = true;
    orders_.Start();
  }

  AdminResponse Ask(const std::string& method, const std::string& path,
                    const std::string& body = "") {
    AdminRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    AdminResponse response;
    response.status = 0;
    interface_->Handle(request, [&](const AdminResponse& reply) { response = reply; });
    executor_.Run();
    return response;
  }
  int Put(const std::string& body) { return Ask("POST", "/api/config/put", body).status; }

  ManualClock clock_;
  ManualExecutor executor_{&clock_};
  FakeLog log_;
  std::map<Endpoint, FakeRpc*> network_;
  ControlFixture control_{"a", {"127.0.0.1", 1}, &log_,     &network_,
                          {},  &clock_,          &executor_};
  OrderService orders_{{&control_.agreement, &control_.machine, &control_.rpc,
                        &control_.rpc, &executor_, &clock_, &control_.events},
                       [] { return std::vector<Endpoint>(); }};
  std::unique_ptr<OrderInterface> interface_ =
      OrderInterfaceRegistry::Instance().Create("platform", &orders_);
};

TEST_F(OrderInterfaceTest, AnOrderIsReadBackAsItWasSent) {
  EXPECT_EQ(Ask("GET", "/api/config/get").status, 503)
      << "no configuration is active yet";
  EXPECT_EQ(Put(kOrder), 200);
  const AdminResponse read = Ask("GET", "/api/config/get");
  EXPECT_EQ(read.status, 200);
  EXPECT_EQ(read.body, kOrder);
  EXPECT_EQ(read.content_type, "application/json");
}

TEST_F(OrderInterfaceTest, OutcomesOfOrders) {
  EXPECT_EQ(Put("{"), 400);
  EXPECT_EQ(Put(kOrder), 200);
  EXPECT_EQ(Put(kOrder), 200) << "sent again";
  EXPECT_EQ(Put(R"({"version":"00000008","baseVersion":"00000001","routes":[],)"
                R"("services":[]})"),
            412);
  EXPECT_EQ(Put(R"({"version":"00000007","baseVersion":"00000007","routes":[],)"
                R"("services":[]})"),
            400);
  control_.agreement.next_outcomes = {ProposalOutcome::kLost};
  EXPECT_EQ(Put(R"({"version":"00000009","baseVersion":"00000007","routes":[],)"
                R"("services":[]})"),
            503)
      << "an unknown outcome must not be reported as a refusal";
}

TEST_F(OrderInterfaceTest, OrdersAreNeitherReadNorAcceptedWithoutAMajority) {
  EXPECT_EQ(Put(kOrder), 200);
  control_.agreement.view.leading = false;
  EXPECT_EQ(Ask("GET", "/api/config/get").status, 503);
  EXPECT_EQ(Put(kOrder), 503);
  EXPECT_EQ(Ask("GET", "/elsewhere").status, 404);
}

/// The platform's server interface on a node.
class ServerInterfaceTest : public testing::Test {
 protected:
  int SendHeartbeat(const std::string& state, int sequence,
                    const std::string& service = "desk") {
    return Ask("/api/instances/i-1/heartbeat",
               R"({"service":")" + service + R"(","addr":"10.0.0.9:80","slots":6,)" +
                   R"("state":")" + state + R"(","seq":)" + std::to_string(sequence) +
                   R"(,"born":5})");
  }
  int Ask(const std::string& path, const std::string& body) {
    AdminRequest request;
    request.method = "POST";
    request.path = path;
    request.body = body;
    int status = 0;
    interface_->HandleServer(request,
                             [&](const AdminResponse& reply) { status = reply.status; });
    return status;
  }
  int Readiness() {
    AdminRequest request;
    request.method = "GET";
    request.path = "/api/readyz";
    int status = 0;
    interface_->HandleReadiness(
        request, [&](const AdminResponse& reply) { status = reply.status; });
    return status;
  }

  ManualClock clock_;
  NullEventLog events_;
  BackendServerMonitor monitor_{std::chrono::seconds(6), &clock_, &events_,
                                [](const LocalBackendServer&) {}};
  std::deque<std::function<void(bool)>> holds_;  ///< Departures not yet held by others.
  bool held_ = true;                             ///< Others hold departures at once.
  ServerReports reports_{&monitor_, [this](std::function<void(bool)> done) {
                           if (held_) return done(true);
                           holds_.push_back(std::move(done));
                         }};
  bool ready_ = false;
  std::unique_ptr<ServerInterface> interface_ =
      ServerInterfaceRegistry::Instance().Create(
          "platform", {&reports_, "desk", [this] { return ready_; }});
};

TEST_F(ServerInterfaceTest, HeartbeatsAndLeavesReachTheMonitor) {
  EXPECT_EQ(SendHeartbeat("ready", 1), 200);
  EXPECT_EQ(monitor_.server().state, SERVER_UP);
  EXPECT_EQ(monitor_.server().id, "i-1");
  EXPECT_EQ(Ask("/api/instances/i-1/leave", ""), 200);
  EXPECT_EQ(monitor_.server().state, SERVER_LEAVING);
}

// Guards against an acknowledged leave that a late heartbeat takes back.
TEST_F(ServerInterfaceTest, AnAcknowledgedLeaveHoldsWithoutAnEarlierHeartbeat) {
  EXPECT_EQ(Ask("/api/instances/i-1/leave", ""), 200);
  EXPECT_EQ(SendHeartbeat("ready", 19), 200);
  EXPECT_EQ(monitor_.server().state, SERVER_LEAVING);
}

// Guards against an acknowledgement of which only this process knows: the next process of
// the node would use the server again.
TEST_F(ServerInterfaceTest, ADepartureIsAcknowledgedOnceOthersHoldIt) {
  held_ = false;
  EXPECT_EQ(SendHeartbeat("ready", 1), 200);
  EXPECT_EQ(Ask("/api/instances/i-1/leave", ""), 0) << "no answer yet";
  EXPECT_EQ(SendHeartbeat("draining", 2), 0);
  EXPECT_EQ(monitor_.server().state, SERVER_LEAVING) << "it takes effect at once";
  EXPECT_EQ(holds_.size(), 2U);
}

TEST_F(ServerInterfaceTest, ADepartureThatNobodyElseHoldsIsNotAcknowledged) {
  held_ = false;
  AdminRequest request{"POST", "/api/instances/i-1/leave", {}, ""};
  int status = 0;
  interface_->HandleServer(request,
                           [&](const AdminResponse& reply) { status = reply.status; });
  ASSERT_EQ(holds_.size(), 1U);
  holds_.front()(false);
  EXPECT_EQ(status, 503);
}

TEST_F(ServerInterfaceTest, InvalidRequestsChangeNothing) {
  EXPECT_EQ(SendHeartbeat("odd", 1), 400);
  EXPECT_EQ(SendHeartbeat("ready", 1, "another"), 400);
  EXPECT_EQ(Ask("/api/instances/i-1/heartbeat", "\xff{"), 400);
  EXPECT_EQ(Ask("/api/instances/i-1/dance", ""), 404);
  EXPECT_EQ(monitor_.server().state, SERVER_NONE);
}

TEST_F(ServerInterfaceTest, AStoppingNodeRefusesHeartbeats) {
  EXPECT_EQ(SendHeartbeat("ready", 1), 200);
  monitor_.Stop();
  EXPECT_EQ(SendHeartbeat("draining", 2), 503);
}

TEST_F(ServerInterfaceTest, ReadinessIsCheckedOnEachRequest) {
  EXPECT_EQ(Readiness(), 503);
  ready_ = true;
  EXPECT_EQ(Readiness(), 200);
}

}  // namespace
}  // namespace quetzal
