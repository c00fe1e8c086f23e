#include "configuration/rollout_change.h"

#include <gtest/gtest.h>

#include "base/result_code.h"
#include "configuration/plan.h"
#include "configuration/rollout_list.h"

namespace quetzal {
namespace {

Configuration OneService() {
  Configuration configuration;
  configuration.add_services()->set_name("desk");
  return configuration;
}

IntentContent Start(const std::string& version, const std::string& service = "desk") {
  IntentContent content;
  content.mutable_rollout()->set_service(service);
  content.mutable_rollout()->set_version(version);
  content.mutable_rollout()->set_duration_ms(60'000);
  return content;
}

IntentContent RollBack() {
  IntentContent content;
  content.mutable_rollout()->set_service("desk");
  content.mutable_rollout()->set_roll_back(true);
  return content;
}

ResultCode Refusal(const Configuration& base, const IntentContent& content) {
  try {
    MakePlan(base, content);
    return ResultCode::kOk;
  } catch (const Error& error) {
    return error.code();
  }
}

TEST(RolloutChangeTest, AStartIsPlanned) {
  const Plan plan = MakePlan(OneService(), Start("v2"));
  ASSERT_EQ(plan.changes.size(), 1U);
  EXPECT_NE(plan.Describe().front().find("version v2"), std::string::npos);
  const Rollout* rollout = FindRollout(plan.result, "desk");
  ASSERT_NE(rollout, nullptr);
  EXPECT_EQ(rollout->state(), ROLLOUT_RUNNING);
  EXPECT_TRUE(MakePlan(plan.result, Start("v2")).changes.empty())
      << "in progress already";
  EXPECT_EQ(Refusal(plan.result, Start("v3")), ResultCode::kPlanRefused);
}

// Guards against a start that is dropped silently because its service does not exist.
TEST(RolloutChangeTest, ImpossibleChangesAreRefused) {
  EXPECT_EQ(Refusal(OneService(), Start("v2", "elsewhere")), ResultCode::kPlanRefused);
  EXPECT_EQ(Refusal(OneService(), Start("a\nb")), ResultCode::kPlanRefused);
  EXPECT_EQ(Refusal(OneService(), RollBack()), ResultCode::kPlanRefused);
}

TEST(RolloutChangeTest, OnlyARolloutInProgressIsRolledBack) {
  Plan plan = MakePlan(OneService(), Start("v2"));
  Configuration base = MakePlan(plan.result, RollBack()).result;
  EXPECT_EQ(FindRollout(base, "desk")->state(), ROLLOUT_ROLLED_BACK);
  EXPECT_TRUE(MakePlan(base, RollBack()).changes.empty());
  EXPECT_EQ(MakePlan(base, Start("v2")).changes.size(), 1U)
      << "an operator may repeat a rollout that was rolled back";
  base.mutable_rollouts(0)->set_state(ROLLOUT_COMPLETE);
  EXPECT_EQ(Refusal(base, RollBack()), ResultCode::kPlanRefused);
}

// Guards against a removed service whose rollout makes the configuration invalid.
TEST(RolloutChangeTest, ARemovedServiceTakesItsRolloutWithIt) {
  const Configuration base = MakePlan(OneService(), Start("v2")).result;
  IntentContent content;
  content.add_remove_services("desk");
  EXPECT_EQ(MakePlan(base, content).result.rollouts_size(), 0);
}

}  // namespace
}  // namespace quetzal
