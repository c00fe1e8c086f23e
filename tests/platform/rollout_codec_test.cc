#include "platform/rollout_codec.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "base/result_code.h"
#include "control/control_fakes.h"
#include "control/order_interface.h"

namespace quetzal {
namespace {

using platform::DecodeRolloutOrder;
using platform::EncodeRollout;
using platform::ServiceOfRolloutPath;

std::string Body(const std::string& version, const std::string& duration,
                 const std::string& service = "desk") {
  return R"({"service":")" + service + R"(","targetVersion":")" + version +
         R"(","durationS":)" + duration + "}";
}

TEST(RolloutCodec, AnOrderIsDecoded) {
  const RolloutOrder order = DecodeRolloutOrder(Body("v2", "2.5"));
  EXPECT_EQ(order.service, "desk");
  EXPECT_EQ(order.version, "v2");
  EXPECT_EQ(order.duration, std::chrono::milliseconds(2500));
}

TEST(RolloutCodec, AllFaultsAreReported) {
  for (const std::string& body :
       {std::string("{"), std::string("[]"), Body("", "60"), Body("v2", "-1"),
        Body("v2", "\"60\""), Body("v2", "60", ""), std::string("{}")}) {
    try {
      DecodeRolloutOrder(body);
      ADD_FAILURE() << body;
    } catch (const Error& error) {
      EXPECT_EQ(error.code(), ResultCode::kRequestMalformed);
    }
  }
}

TEST(RolloutCodec, AShiftingRolloutIsStillRunningForTheOperator) {
  Rollout rollout;
  rollout.set_version("v2");
  const std::map<RolloutState, std::string> texts = {
      {ROLLOUT_RUNNING, "running"},
      {ROLLOUT_SHIFTING, "running"},
      {ROLLOUT_COMPLETE, "complete"},
      {ROLLOUT_ROLLED_BACK, "rolled_back"}};
  for (const auto& [state, text] : texts) {
    rollout.set_state(state);
    const auto answer = nlohmann::json::parse(EncodeRollout(rollout));
    EXPECT_EQ(answer, (nlohmann::json{{"state", text}, {"targetVersion", "v2"}}));
  }
}

TEST(RolloutCodec, PathsOfReads) {
  EXPECT_EQ(ServiceOfRolloutPath("/api/rollouts/desk/get"), "desk");
  for (const char* path :
       {"/api/rollouts/get", "/api/rollouts//get", "/api/rollouts/a/b/get",
        "/api/rollouts/desk", "/api/config/get", ""}) {
    EXPECT_EQ(ServiceOfRolloutPath(path), "") << path;
  }
}

/// The platform's order interface on a control instance that leads.
class RolloutInterfaceTest : public testing::Test {
 protected:
  RolloutInterfaceTest() {
    control_.agreement.view.leading = true;
    orders_.Start();
    EXPECT_EQ(Ask("POST", "/api/config/put",
                  R"({"version":"00000007","baseVersion":"00000000","routes":[],)"
                  R"("services":[{"name":"desk"}]})")
                  .status,
              200);
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
  int Start(const std::string& body) {
    return Ask("POST", "/api/rollouts/start", body).status;
  }

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

TEST_F(RolloutInterfaceTest, StatusesOfOrders) {
  EXPECT_EQ(Ask("GET", "/api/rollouts/desk/get").status, 404);
  EXPECT_EQ(Start(Body("v2", "60")), 200);
  EXPECT_EQ(Start(Body("v2", "60")), 200) << "sent again";
  EXPECT_EQ(Start(Body("v3", "60")), 409);
  EXPECT_EQ(Start(Body("v2", "61")), 409);
  const AdminResponse read = Ask("GET", "/api/rollouts/desk/get");
  EXPECT_EQ(read.status, 200);
  EXPECT_EQ(nlohmann::json::parse(read.body)["state"], "running");
}

TEST_F(RolloutInterfaceTest, InvalidOrders) {
  EXPECT_EQ(Start("{"), 400);
  EXPECT_EQ(Start(Body("", "60")), 400);
  EXPECT_EQ(Start(Body("v2", "0")), 400);
  EXPECT_EQ(Start(Body("v2", "86400.001")), 400);
  EXPECT_EQ(Start(Body("v2", "60", "elsewhere")), 400);
  EXPECT_EQ(Start(Body("v2", "86400")), 200);
}

// Guards against a 4xx response while the outcome is unknown: the operator would give up.
TEST_F(RolloutInterfaceTest, UnknownOutcomes) {
  control_.agreement.next_outcomes = {ProposalOutcome::kLost,
                                      ProposalOutcome::kCommitAnswerLost};
  EXPECT_EQ(Start(Body("v2", "60")), 503);
  EXPECT_EQ(Start(Body("v2", "60")), 503);
  EXPECT_EQ(Start(Body("v2", "60")), 200);
  control_.agreement.view.leading = false;
  EXPECT_EQ(Ask("GET", "/api/rollouts/desk/get").status, 503);
  EXPECT_EQ(Start(Body("v3", "60")), 503);
}

}  // namespace
}  // namespace quetzal
