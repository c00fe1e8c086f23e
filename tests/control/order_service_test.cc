#include "control/order_service.h"

#include <gtest/gtest.h>

#include "base/result_code.h"
#include "configuration/credential.h"
#include "control/control_fakes.h"
#include "control/report_json.h"

namespace quetzal {
namespace {

ConfigurationOrder MakeOrder(std::uint64_t number, std::uint64_t base,
                             const std::string& service = "desk") {
  ConfigurationOrder order;
  order.number = number;
  order.base = base;
  order.document = "document " + std::to_string(number) + " " + service;
  order.configuration.add_services()->set_name(service);
  return order;
}

/// Control instances a, which leads, and b.
class OrderServiceTest : public testing::Test {
 protected:
  struct Instance {
    Instance(const std::string& name, std::uint16_t port,
             const std::vector<Endpoint>& peers, OrderServiceTest* test)
        : control(name, {"127.0.0.1", port}, &test->log_, &test->network_, {},
                  &test->clock_, &test->executor_),
          orders({&control.agreement, &control.machine, &control.rpc, &control.rpc,
                  &test->executor_, &test->clock_, &control.events},
                 [peers] { return peers; }) {
      orders.Start();
    }
    ControlFixture control;
    OrderService orders;
  };

  OrderServiceTest() { a_.control.agreement.view.leading = true; }

  ResultCode Replace(Instance* instance, const ConfigurationOrder& order) {
    ResultCode outcome = ResultCode::kInternalError;
    instance->orders.Replace(
        order, [&](ResultCode code, const std::string&) { outcome = code; });
    executor_.Run();
    return outcome;
  }
  std::string Read(Instance* instance) {
    std::string text;
    instance->orders.Read([&](ResultCode code, const std::string& document) {
      text = code == ResultCode::kOk ? document : std::string(InfoOf(code).name);
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

TEST_F(OrderServiceTest, AnOrderIsPublishedAndReadBack) {
  EXPECT_EQ(Read(&a_), "pending");
  EXPECT_EQ(Replace(&a_, MakeOrder(4, 0)), ResultCode::kOk);
  EXPECT_EQ(a_.control.published.index(), 1U);
  EXPECT_EQ(Read(&a_), "document 4 desk");
}

// Guards against teams of an earlier order that stay, and against digests of keys in the
// report of the configuration.
TEST_F(OrderServiceTest, AnOrderReplacesTheTeams) {
  ConfigurationOrder order = MakeOrder(4, 0);
  Team* team = order.configuration.add_teams();
  team->set_name("rioja");
  team->add_credential_digests(CredentialDigest("k-1"));
  EXPECT_EQ(Replace(&a_, order), ResultCode::kOk);
  const auto configuration = a_.control.machine.configuration();
  ASSERT_EQ(configuration->teams_size(), 1);
  EXPECT_EQ(configuration->teams(0).credential_digests(0), CredentialDigest("k-1"));
  const ReportJson report = JsonOfConfiguration(*configuration);
  EXPECT_EQ(report["teams"][0]["credentials"], 1);
  EXPECT_FALSE(report["teams"][0].contains("credential_digests"));
  EXPECT_EQ(Replace(&a_, MakeOrder(5, 4)), ResultCode::kOk);
  EXPECT_EQ(a_.control.machine.configuration()->teams_size(), 0);
}

TEST_F(OrderServiceTest, ASharedCredentialIsRefused) {
  ConfigurationOrder order = MakeOrder(4, 0);
  for (const char* name : {"rioja", "soria"}) {
    Team* team = order.configuration.add_teams();
    team->set_name(name);
    team->add_credential_digests(CredentialDigest("k-1"));
  }
  EXPECT_EQ(Replace(&a_, order), ResultCode::kConfigurationInvalid);
  EXPECT_EQ(Read(&a_), "pending");
}

TEST_F(OrderServiceTest, AnInstanceThatDoesNotLeadForwards) {
  EXPECT_EQ(Replace(&b_, MakeOrder(4, 0)), ResultCode::kOk);
  EXPECT_EQ(Read(&a_), "document 4 desk");
  network_.clear();
  EXPECT_EQ(Replace(&b_, MakeOrder(5, 4)), ResultCode::kUnreachable);
}

TEST_F(OrderServiceTest, OneOfTwoOrdersOnTheSameBaseIsAccepted) {
  EXPECT_EQ(Replace(&a_, MakeOrder(4, 0)), ResultCode::kOk);
  EXPECT_EQ(Replace(&a_, MakeOrder(6, 4, "taller")), ResultCode::kOk);
  EXPECT_EQ(Replace(&b_, MakeOrder(6, 4, "desk")), ResultCode::kPlanOutdated);
  EXPECT_EQ(Read(&a_), "document 6 taller");
}

TEST_F(OrderServiceTest, AResentOrderIsAcknowledgedAlsoAfterLaterOnes) {
  EXPECT_EQ(Replace(&a_, MakeOrder(4, 0)), ResultCode::kOk);
  EXPECT_EQ(Replace(&a_, MakeOrder(6, 4)), ResultCode::kOk);
  EXPECT_EQ(Replace(&b_, MakeOrder(4, 0)), ResultCode::kOk);
  EXPECT_EQ(Read(&a_), "document 6 desk") << "it changes nothing";
  EXPECT_EQ(Replace(&a_, MakeOrder(4, 0, "other")), ResultCode::kPlanOutdated);
}

TEST_F(OrderServiceTest, AnOrderWhoseAnswerWasLostIsAcknowledgedWhenSentAgain) {
  a_.control.agreement.next_outcomes = {ProposalOutcome::kCommitAnswerLost};
  EXPECT_EQ(Replace(&a_, MakeOrder(4, 0)), ResultCode::kLeadershipLost);
  EXPECT_EQ(Replace(&a_, MakeOrder(4, 0)), ResultCode::kOk);
}

TEST_F(OrderServiceTest, NumbersOnlyGrow) {
  EXPECT_EQ(Replace(&a_, MakeOrder(4, 0)), ResultCode::kOk);
  EXPECT_EQ(Replace(&a_, MakeOrder(4, 4, "other")), ResultCode::kConfigurationInvalid);
  EXPECT_EQ(Replace(&a_, MakeOrder(3, 4)), ResultCode::kConfigurationInvalid);
}

TEST_F(OrderServiceTest, AnInvalidConfigurationIsNeverApplied) {
  ConfigurationOrder order = MakeOrder(4, 0);
  Route* route = order.configuration.add_routes();
  route->set_name("r");
  route->set_path_prefix("/r/");
  route->set_timeout_ms(100);
  route->add_targets()->set_service("unknown");
  EXPECT_EQ(Replace(&a_, order), ResultCode::kConfigurationInvalid);
  EXPECT_EQ(Read(&a_), "pending");
  EXPECT_EQ(a_.control.published.index(), 0U);
}

TEST_F(OrderServiceTest, SnapshotsKeepAcceptedOrders) {
  EXPECT_EQ(Replace(&a_, MakeOrder(4, 0)), ResultCode::kOk);
  EXPECT_EQ(Replace(&a_, MakeOrder(6, 4)), ResultCode::kOk);
  IntentMachine restored(nullptr);
  restored.RestoreSnapshot({1, 2}, a_.control.machine.TakeSnapshot());
  EXPECT_EQ(restored.document(), "document 6 desk");
  ControlEntry entry;
  entry.mutable_replace()->set_number(7);
  entry.mutable_replace()->set_base(4);  // Not the current order.
  ControlResult result;
  result.ParseFromString(restored.Apply({1, 3}, entry.SerializeAsString()));
  EXPECT_EQ(ResultCodeFromInt(result.code()), ResultCode::kPlanOutdated);
}

TEST_F(OrderServiceTest, AnIntentDoesNotRunWhereOrdersReplaceTheConfiguration) {
  EXPECT_EQ(Replace(&a_, MakeOrder(4, 0)), ResultCode::kOk);
  ControlEntry declare;
  declare.mutable_declare()->set_id("1-a");
  declare.mutable_declare()->mutable_content()->add_set_services()->set_name("new");
  a_.control.machine.Apply({1, 2}, declare.SerializeAsString());
  ControlEntry confirm;
  confirm.mutable_confirm()->set_id("1-a");
  ControlResult result;
  result.ParseFromString(a_.control.machine.Apply({1, 3}, confirm.SerializeAsString()));
  EXPECT_EQ(ResultCodeFromInt(result.code()), ResultCode::kNotRun);
  EXPECT_EQ(Read(&a_), "document 4 desk");
}

}  // namespace
}  // namespace quetzal
