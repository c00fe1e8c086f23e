#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "control/control_fakes.h"
#include "control/control_group_plan.h"
#include "control/control_group_reconciler.h"

namespace quetzal {
namespace {

using Json = nlohmann::json;

constexpr char kAdd[] =
    R"({"version":1,"add_control_instance":{"name":"d","address":"127.0.0.1:4"}})";
constexpr char kRemoveC[] = R"({"version":1,"remove_control_instance":"c"})";

std::uint16_t PortOf(char name) { return static_cast<std::uint16_t>(name - 'a' + 1); }

/// The leader "a" of three control instances, and its ControlGroupReconciler.
class ControlGroupTest : public testing::Test {
 protected:
  ControlGroupTest()
      : executor_(&clock_),
        control_("a", {"127.0.0.1", 1}, &log_, &network_, {}, &clock_, &executor_),
        reconciler_({&control_.agreement, &control_.machine, &executor_, &clock_,
                     &control_.events}) {
    control_.agreement.view.leading = true;
    control_.agreement.view.term = log_.term;
    for (const char name : {'a', 'b', 'c'}) {
      members().push_back(
          {std::string(1, name), {"127.0.0.1", PortOf(name)}, true, true});
    }
    reconciler_.Start();
  }

  std::vector<GroupMember>& members() { return control_.agreement.members; }

  Json Send(const std::string& method, const std::string& path,
            const std::string& id = "", const std::string& body = "") {
    AdminRequest request;
    request.method = method;
    request.path = path;
    request.query["id"] = id;
    request.body = body;
    std::string text;
    control_.api->Handle(request,
                         [&](const AdminResponse& answer) { text = answer.body; });
    executor_.Run();
    return Json::parse(text);
  }

  Json Declare(const std::string& id, const std::string& body) {
    return Send("POST", "/v1/intents", id, body);
  }
  Json Confirm(const std::string& id) {
    return Send("POST", "/v1/intents/" + id + "/confirm");
  }
  Json Show(const std::string& id) { return Send("GET", "/v1/intents/" + id); }
  Json Explain(const std::string& id) {
    AdminRequest request;
    request.method = "GET";
    request.path = "/v1/explain";
    request.query["intent"] = id;
    std::string text;
    control_.api->Handle(request,
                         [&](const AdminResponse& answer) { text = answer.body; });
    executor_.Run();
    return Json::parse(text);
  }
  void AdvanceOneSecond() { executor_.Advance(std::chrono::seconds(1)); }

  ManualClock clock_;
  ManualExecutor executor_;
  FakeLog log_;
  std::map<Endpoint, FakeRpc*> network_;
  ControlFixture control_;
  ControlGroupReconciler reconciler_;
};

int Code(ResultCode code) { return static_cast<int>(code); }

TEST_F(ControlGroupTest, AnAddedInstanceIsDoneOnceItVotes) {
  const Json plan = Declare("1-add", kAdd);
  EXPECT_EQ(plan["intent"]["steps"][1],
            "Before: 3 vote, 3 of them answer, 1 more may fail. After: 4 vote, 4 of them "
            "answer, 1 more may fail.");
  AdvanceOneSecond();
  EXPECT_TRUE(control_.agreement.changes.empty()) << "nothing changes before confirming";
  EXPECT_EQ(Confirm("1-add")["convergence"]["state"], "pending");
  EXPECT_EQ(Declare("2-c", kRemoveC)["code"], Code(ResultCode::kPlanRefused));
  const Json text = Explain("1-add")["text"];
  EXPECT_EQ(text.back(), "Pending: d is being asked to join.");
  EXPECT_EQ(text.dump().find("configuration"), std::string::npos) << text.dump();
  AdvanceOneSecond();
  ASSERT_EQ(members().size(), 4U);
  EXPECT_EQ(Show("1-add")["convergence"]["state"], "pending");
  members().back().votes = true;
  AdvanceOneSecond();
  EXPECT_EQ(control_.agreement.changes.size(), 1U);
  // A resend of either request is answered with the present state.
  EXPECT_EQ(Confirm("1-add")["convergence"]["state"], "done");
  EXPECT_EQ(Declare("1-add", kAdd)["convergence"]["state"], "done");
  EXPECT_EQ(control_.machine.version().index(), 0U) << "no configuration changed";
  EXPECT_EQ(Send("GET", "/v1/history")["history"][0]["intent"], "1-add");
}

TEST_F(ControlGroupTest, AnInstanceThatDoesNotJoinIsReportedAsNotRun) {
  control_.agreement.membership_code = ResultCode::kConnectFailed;
  Declare("1-add", kAdd);
  Confirm("1-add");
  AdvanceOneSecond();
  const Json answer = Confirm("1-add");
  EXPECT_EQ(answer["code"], Code(ResultCode::kNotRun));
  EXPECT_TRUE(answer["not_run"]);
  EXPECT_EQ(answer["message"], "Not run: no answer");
  control_.agreement.membership_code = ResultCode::kOk;
  AdvanceOneSecond();
  EXPECT_EQ(control_.agreement.changes.size(), 1U);
}

TEST_F(ControlGroupTest, AnUnknownOutcomeIsNotReportedAsNotRun) {
  for (const ResultCode code : {ResultCode::kLeadershipLost, ResultCode::kNoQuorum,
                                ResultCode::kOverloaded, ResultCode::kNotLeader}) {
    control_.agreement.membership_code = code;
    const std::string id = std::to_string(control_.machine.next_number()) + "-x";
    if (control_.machine.GroupChange()) {
      AdvanceOneSecond();
      EXPECT_EQ(Show("1-x")["convergence"]["state"], "pending");
      continue;
    }
    Declare(id, kRemoveC);
    Confirm(id);
    AdvanceOneSecond();
    EXPECT_EQ(Confirm(id)["convergence"]["state"], "pending");
  }
  control_.agreement.membership_code = ResultCode::kOk;
  AdvanceOneSecond();
  EXPECT_EQ(Confirm("1-x")["convergence"]["state"], "done");
  EXPECT_EQ(members().size(), 2U);
}

TEST_F(ControlGroupTest, ARefusalOfAnEarlierTermIsIgnored) {
  control_.agreement.membership_code = ResultCode::kConnectFailed;
  Declare("1-add", kAdd);
  Confirm("1-add");
  executor_.Advance(std::chrono::milliseconds(100));
  ASSERT_EQ(control_.agreement.changes.size(), 1U);
  ++log_.term;
  control_.agreement.view.term = log_.term;
  control_.agreement.membership_code = ResultCode::kOk;
  AdvanceOneSecond();
  EXPECT_EQ(control_.agreement.changes.size(), 2U);
  EXPECT_EQ(Show("1-add")["convergence"]["state"], "pending");
  // An outcome that was observed in another term is ignored.
  ControlEntry entry;
  entry.mutable_outcome()->set_id("1-add");
  entry.mutable_outcome()->set_term(log_.term - 1);
  log_.Commit(&control_.machine, entry.SerializeAsString());
  EXPECT_EQ(Show("1-add")["intent"]["state"], "confirmed");
}

TEST_F(ControlGroupTest, AGroupThatChangedMeanwhileMakesThePlanOutdated) {
  Declare("1-add", kAdd);
  members().pop_back();
  const Json answer = Confirm("1-add");
  EXPECT_EQ(answer["code"], Code(ResultCode::kPlanOutdated));
  AdvanceOneSecond();
  EXPECT_TRUE(control_.agreement.changes.empty());
}

TEST_F(ControlGroupTest, NoPlanLeavesAGroupWithoutALiveMajority) {
  members()[2].answers = false;
  EXPECT_EQ(Declare("1-b", R"({"version":1,"remove_control_instance":"b"})")["code"],
            Code(ResultCode::kPlanRefused));
  EXPECT_EQ(Declare("2-c", kRemoveC)["code"], 0);
  members()[1].answers = false;
  EXPECT_EQ(Confirm("2-c")["code"], Code(ResultCode::kNotRun));
  AdvanceOneSecond();
  EXPECT_TRUE(control_.agreement.changes.empty());
}

TEST_F(ControlGroupTest, NamesAddressesAndTheSizeOfTheGroupAreChecked) {
  const auto add = [this](const std::string& id, const std::string& name, int port) {
    return Declare(id, R"({"version":1,"add_control_instance":{"name":")" + name +
                           R"(","address":"127.0.0.1:)" + std::to_string(port) +
                           R"("}})")["code"];
  };
  EXPECT_EQ(add("1-name", "b", 9), Code(ResultCode::kPlanRefused));
  EXPECT_EQ(add("2-address", "e", 2), Code(ResultCode::kPlanRefused));
  for (const char name : {'d', 'e', 'f', 'g'}) {
    members().push_back({std::string(1, name), {"127.0.0.1", PortOf(name)}, true, true});
  }
  EXPECT_EQ(add("3-eighth", "h", 8), Code(ResultCode::kPlanRefused));
  EXPECT_EQ(Declare("4-none", R"({"version":1,"remove_control_instance":"x"})")["code"],
            Code(ResultCode::kPlanRefused));
  members() = {{"a", {"127.0.0.1", 1}, true, true}};
  EXPECT_EQ(Declare("5-last", R"({"version":1,"remove_control_instance":"a"})")["code"],
            Code(ResultCode::kPlanRefused));
  EXPECT_EQ(Declare("6-two", R"({"version":1,"leave":["n"],
                              "remove_control_instance":"a"})")["code"],
            Code(ResultCode::kIntentMalformed));
}

TEST_F(ControlGroupTest, AnInstanceThatNeverCatchesUpCanBeRemoved) {
  Declare("1-add", kAdd);
  Confirm("1-add");
  AdvanceOneSecond();
  members().back().answers = false;
  EXPECT_EQ(Declare("2-d", R"({"version":1,"remove_control_instance":"d"})")["code"], 0);
  EXPECT_EQ(Confirm("2-d")["convergence"]["state"], "pending");
  EXPECT_EQ(Show("1-add")["convergence"]["state"], "given_up");
  AdvanceOneSecond();
  EXPECT_EQ(Confirm("2-d")["convergence"]["state"], "done");
  EXPECT_EQ(members().size(), 3U);
}

TEST_F(ControlGroupTest, AChangeUnderWaySurvivesASnapshot) {
  Declare("1-c", kRemoveC);
  Confirm("1-c");
  control_.machine.RestoreSnapshot(log_.last(), control_.machine.TakeSnapshot());
  AdvanceOneSecond();
  EXPECT_EQ(Confirm("1-c")["convergence"]["state"], "done");
}

}  // namespace
}  // namespace quetzal
