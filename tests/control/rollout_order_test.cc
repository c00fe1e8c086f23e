// Orders and reads of rollouts through OrderService, on two control instances.
#include <gtest/gtest.h>

#include "base/result_code.h"
#include "configuration/rollout_list.h"
#include "control/control_fakes.h"
#include "control/order_service.h"

namespace quetzal {
namespace {

/// Control instances a, which leads, and b.
class RolloutOrderTest : public testing::Test {
 protected:
  struct Instance {
    Instance(const std::string& name, std::uint16_t port,
             const std::vector<Endpoint>& peers, RolloutOrderTest* test)
        : control(name, {"127.0.0.1", port}, &test->log_, &test->network_, {},
                  &test->clock_, &test->executor_),
          orders(
              {&control.agreement, &control.machine, &control.rpc, &control.rpc,
               &test->executor_, &test->clock_, &control.events},
              [peers] { return peers; }, 70) {
      orders.Start();
    }
    ControlFixture control;
    OrderService orders;
  };

  RolloutOrderTest() {
    a_.control.agreement.view.leading = true;
    b_.control.agreement.follower_read_code = ResultCode::kNotLeader;
    ConfigurationOrder order;
    order.number = 1;
    order.document = "document";
    order.configuration.add_services()->set_name("desk");
    a_.orders.Replace(order, [](ResultCode code, const std::string&) {
      EXPECT_EQ(code, ResultCode::kOk);
    });
    executor_.Run();
  }

  ResultCode Start(Instance* instance, const std::string& version,
                   std::chrono::milliseconds duration = std::chrono::seconds(60)) {
    ResultCode outcome = ResultCode::kInternalError;
    instance->orders.StartRollout(
        {"desk", version, duration},
        [&](ResultCode code, const std::string&) { outcome = code; });
    executor_.Run();
    return outcome;
  }
  std::string Read(Instance* instance, const std::string& service = "desk") {
    std::string text;
    instance->orders.ReadRollout(service, [&](ResultCode code, const Rollout& rollout) {
      text = code == ResultCode::kOk
                 ? rollout.version() + " " + RolloutStateText(rollout.state())
                 : std::string(InfoOf(code).name);
    });
    executor_.Run();
    return text;
  }

  ManualClock clock_;
  ManualExecutor executor_{&clock_};
  FakeLog log_;
  std::map<Endpoint, FakeRpc*> network_;
  Instance a_{"a", 1, {}, this};
  Instance b_{"b", 2, {{"127.0.0.1", 1}}, this};
};

TEST_F(RolloutOrderTest, AnyInstanceAcceptsAndReads) {
  EXPECT_EQ(Read(&b_), "rollout_unknown");
  EXPECT_EQ(Start(&b_, "v2"), ResultCode::kOk);
  EXPECT_EQ(Read(&a_), "v2 running");
  EXPECT_EQ(Read(&b_), "v2 running");
  EXPECT_EQ(Read(&a_, "elsewhere"), "rollout_unknown");
  const auto configuration = a_.control.machine.configuration();
  EXPECT_EQ(FindRollout(*configuration, "desk")->max_share_permille(), 70U);
}

TEST_F(RolloutOrderTest, AResentOrderIsAcknowledgedByAnyInstance) {
  EXPECT_EQ(Start(&a_, "v2"), ResultCode::kOk);
  EXPECT_EQ(Start(&b_, "v2"), ResultCode::kOk);
  EXPECT_EQ(Start(&b_, "v3"), ResultCode::kRolloutInProgress);
  EXPECT_EQ(Read(&a_), "v2 running");
}

// Guards against an unknown outcome that is reported as a refusal.
TEST_F(RolloutOrderTest, AnOrderWhoseAnswerWasLostIsAcknowledgedWhenSentAgain) {
  a_.control.agreement.next_outcomes = {ProposalOutcome::kCommitAnswerLost};
  EXPECT_EQ(Start(&a_, "v2"), ResultCode::kLeadershipLost);
  EXPECT_EQ(Start(&a_, "v2"), ResultCode::kOk);
  a_.control.agreement.next_outcomes = {ProposalOutcome::kCommitTwice};
  EXPECT_EQ(Start(&a_, "v2"), ResultCode::kOk);
  EXPECT_EQ(Read(&a_), "v2 running");
}

TEST_F(RolloutOrderTest, WithoutALeaderNothingIsAcceptedOrRead) {
  EXPECT_EQ(Start(&a_, "v2"), ResultCode::kOk);
  network_.clear();
  EXPECT_EQ(Start(&b_, "v3"), ResultCode::kUnreachable);
  EXPECT_EQ(Read(&b_), "unreachable");
  a_.control.agreement.view.leading = false;
  EXPECT_EQ(Read(&a_), "no_quorum");
}

// Guards against a duration that is cut to the 32 bits of the log entry and then
// accepted.
TEST_F(RolloutOrderTest, ADurationBeyondTheLimitIsRefused) {
  EXPECT_EQ(Start(&a_, "v2", std::chrono::milliseconds((1LL << 32) + 60'000)),
            ResultCode::kConfigurationInvalid);
  EXPECT_EQ(Start(&a_, "v2", std::chrono::milliseconds(0)),
            ResultCode::kConfigurationInvalid);
}

}  // namespace
}  // namespace quetzal
