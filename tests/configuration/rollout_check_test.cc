#include "configuration/rollout_check.h"

#include <gtest/gtest.h>

#include "base/result_code.h"
#include "configuration/configuration_check.h"
#include "configuration/configuration_limits.h"
#include "configuration/rollout_list.h"

namespace quetzal {
namespace {

Rollout MakeRollout(const std::string& service) {
  Rollout rollout;
  rollout.set_service(service);
  rollout.set_version("v2");
  rollout.set_duration_ms(60'000);
  rollout.set_max_share_permille(100);
  return rollout;
}

Configuration TwoServices() {
  Configuration configuration;
  configuration.add_services()->set_name("desk");
  configuration.add_services()->set_name("shop");
  return configuration;
}

std::string FaultOf(const Rollout& rollout) {
  Configuration configuration = TwoServices();
  *configuration.add_rollouts() = rollout;
  try {
    CheckConfiguration(configuration);
    return "";
  } catch (const Error& error) {
    EXPECT_EQ(error.code(), ResultCode::kConfigurationInvalid);
    return error.what();
  }
}

// Guards against a rollout in the log that nodes cannot apply.
TEST(RolloutCheck, EachFieldIsChecked) {
  EXPECT_EQ(FaultOf(MakeRollout("desk")), "");
  EXPECT_NE(FaultOf(MakeRollout("elsewhere")), "");
  Rollout rollout = MakeRollout("desk");
  for (const std::string& version : {std::string(), std::string("a\nb"),
                                     std::string(kMaxServerVersionBytes + 1, 'v')}) {
    rollout.set_version(version);
    EXPECT_NE(FaultOf(rollout), "") << version;
  }
  rollout = MakeRollout("desk");
  for (const std::uint32_t duration : {0U, kMaxRolloutDurationMs + 1}) {
    rollout.set_duration_ms(duration);
    EXPECT_NE(FaultOf(rollout), "") << duration;
  }
  rollout = MakeRollout("desk");
  rollout.set_max_share_permille(kMaxRolloutSharePermille + 1);
  EXPECT_NE(FaultOf(rollout), "");
}

TEST(RolloutCheck, OneRolloutPerServiceInOrder) {
  Configuration configuration = TwoServices();
  *configuration.add_rollouts() = MakeRollout("shop");
  *configuration.add_rollouts() = MakeRollout("desk");
  EXPECT_THROW(CheckRollouts(configuration), Error);
  *configuration.mutable_rollouts(1) = MakeRollout("shop");
  EXPECT_THROW(CheckRollouts(configuration), Error) << "listed twice";
}

TEST(RolloutList, PutReplacesTheLastRolloutAndKeepsTheOrder) {
  Configuration configuration = TwoServices();
  PutRollout(MakeRollout("shop"), &configuration);
  PutRollout(MakeRollout("desk"), &configuration);
  Rollout next = MakeRollout("shop");
  next.set_version("v3");
  PutRollout(next, &configuration);
  EXPECT_NO_THROW(CheckRollouts(configuration));
  ASSERT_EQ(configuration.rollouts_size(), 2);
  EXPECT_EQ(FindRollout(configuration, "shop")->version(), "v3");
  EXPECT_EQ(FindRollout(configuration, "elsewhere"), nullptr);
}

TEST(RolloutList, RolloutsOfRemovedServicesAreDropped) {
  Configuration configuration = TwoServices();
  PutRollout(MakeRollout("shop"), &configuration);
  PutRollout(MakeRollout("desk"), &configuration);
  configuration.mutable_services()->DeleteSubrange(0, 1);
  RemoveOrphanedRollouts(&configuration);
  ASSERT_EQ(configuration.rollouts_size(), 1);
  EXPECT_EQ(configuration.rollouts(0).service(), "shop");
}

// Guards against a rollout that returns from an end state or skips the shift.
TEST(RolloutList, AllowedTransitions) {
  const std::vector<RolloutState> states = {ROLLOUT_RUNNING, ROLLOUT_SHIFTING,
                                            ROLLOUT_COMPLETE, ROLLOUT_ROLLED_BACK};
  std::vector<std::string> allowed;
  for (const RolloutState from : states) {
    for (const RolloutState to : states) {
      if (!IsAllowedTransition(from, to)) continue;
      allowed.push_back(std::string(RolloutStateText(from)) + ">" + RolloutStateText(to));
    }
  }
  EXPECT_EQ(allowed,
            (std::vector<std::string>{"running>shifting", "running>rolled_back",
                                      "shifting>complete", "shifting>rolled_back"}));
}

}  // namespace
}  // namespace quetzal
