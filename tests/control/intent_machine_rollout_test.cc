// Rollouts in the replicated state (intent_machine_rollout.cc).
#include <gtest/gtest.h>

#include "base/delta_compression.h"
#include "base/result_code.h"
#include "configuration/rollout_list.h"
#include "control/intent_machine.h"
#include "control/order_content.h"

namespace quetzal {
namespace {

class IntentMachineRolloutTest : public testing::Test {
 protected:
  IntentMachineRolloutTest() {
    EXPECT_EQ(Replace(1, 0, {"desk", "shop"}), ResultCode::kOk);
  }

  ResultCode Apply(const ControlEntry& entry) {
    ControlResult result;
    result.ParseFromString(machine_.Apply({1, ++index_}, entry.SerializeAsString()));
    return ResultCodeFromInt(result.code());
  }
  ResultCode Replace(std::uint64_t number, std::uint64_t base,
                     const std::vector<std::string>& services) {
    ReplaceConfiguration order;
    order.set_number(number);
    order.set_base(base);
    ReplacedContent content;
    for (const std::string& name : services) {
      content.mutable_configuration()->add_services()->set_name(name);
    }
    order.set_digest(DigestOfDocument(content.document()));
    order.set_content(content.SerializeAsString());
    ControlEntry entry;
    *entry.mutable_replace() = machine_.Pack(order);
    return Apply(entry);
  }
  ResultCode Start(const std::string& service, const std::string& version,
                   std::uint32_t duration_ms = 60'000) {
    ControlEntry entry;
    entry.set_wall_micros(77);
    StartRollout* start = entry.mutable_start_rollout();
    start->set_service(service);
    start->set_version(version);
    start->set_duration_ms(duration_ms);
    start->set_max_share_permille(100);
    return Apply(entry);
  }
  ResultCode Advance(const std::string& service, const Version& started,
                     RolloutState state) {
    ControlEntry entry;
    AdvanceRollout* advance = entry.mutable_advance_rollout();
    advance->set_service(service);
    *advance->mutable_started() = started;
    advance->set_state(state);
    advance->set_reason("evidence");
    return Apply(entry);
  }
  Rollout Get(const std::string& service) const {
    const auto configuration = machine_.configuration();
    const Rollout* rollout = FindRollout(*configuration, service);
    return rollout == nullptr ? Rollout() : *rollout;
  }

  std::uint64_t index_ = 0;
  std::vector<std::uint64_t> published_;
  IntentMachine machine_{[this](const Version& version, const auto&) {
    published_.push_back(version.index());
  }};
};

TEST_F(IntentMachineRolloutTest, AStartedRolloutIsPublished) {
  EXPECT_EQ(Start("desk", "v2"), ResultCode::kOk);
  EXPECT_EQ(published_.back(), 2U);
  const Rollout rollout = Get("desk");
  EXPECT_EQ(rollout.state(), ROLLOUT_RUNNING);
  EXPECT_EQ(rollout.version(), "v2");
  EXPECT_EQ(rollout.started().index(), 2U);
  EXPECT_EQ(rollout.started_micros(), 77U);
  EXPECT_EQ(rollout.max_share_permille(), 100U);
}

// Guards against a resent order that starts a rollout again after its end.
TEST_F(IntentMachineRolloutTest, AResentOrderStartsNothing) {
  EXPECT_EQ(Start("desk", "v2"), ResultCode::kOk);
  const Version started = Get("desk").started();
  EXPECT_EQ(Start("desk", "v2"), ResultCode::kOk);
  EXPECT_EQ(Advance("desk", started, ROLLOUT_ROLLED_BACK), ResultCode::kOk);
  const std::size_t published = published_.size();
  EXPECT_EQ(Start("desk", "v2"), ResultCode::kOk);
  EXPECT_EQ(Get("desk").state(), ROLLOUT_ROLLED_BACK);
  EXPECT_EQ(published_.size(), published);
  EXPECT_EQ(Start("desk", "v2", 30'000), ResultCode::kOk) << "another duration";
  EXPECT_EQ(Get("desk").state(), ROLLOUT_RUNNING);
}

TEST_F(IntentMachineRolloutTest, OneRolloutPerServiceAtATime) {
  EXPECT_EQ(Start("desk", "v2"), ResultCode::kOk);
  EXPECT_EQ(Start("desk", "v3"), ResultCode::kRolloutInProgress);
  EXPECT_EQ(Start("desk", "v2", 1000), ResultCode::kRolloutInProgress);
  EXPECT_EQ(Start("shop", "v3"), ResultCode::kOk);
  EXPECT_EQ(Advance("desk", Get("desk").started(), ROLLOUT_SHIFTING), ResultCode::kOk);
  EXPECT_EQ(Start("desk", "v3"), ResultCode::kRolloutInProgress);
  EXPECT_EQ(Advance("desk", Get("desk").started(), ROLLOUT_COMPLETE), ResultCode::kOk);
  EXPECT_EQ(Start("desk", "v3"), ResultCode::kOk);
}

TEST_F(IntentMachineRolloutTest, InvalidOrdersChangeNothing) {
  const std::size_t published = published_.size();
  EXPECT_EQ(Start("elsewhere", "v2"), ResultCode::kConfigurationInvalid);
  EXPECT_EQ(Start("desk", ""), ResultCode::kConfigurationInvalid);
  EXPECT_EQ(Start("desk", "v2", 0), ResultCode::kConfigurationInvalid);
  EXPECT_EQ(Start("desk", "v2", 86'400'001), ResultCode::kConfigurationInvalid);
  EXPECT_EQ(published_.size(), published);
  EXPECT_EQ(Start("desk", "v2", 86'400'000), ResultCode::kOk) << "exactly a day";
}

// Guards against a decision of an earlier leader that ends a later rollout, and against a
// rollout that leaves an end state.
TEST_F(IntentMachineRolloutTest, OnlyTheNamedRolloutAdvances) {
  EXPECT_EQ(Start("desk", "v2"), ResultCode::kOk);
  const Version first = Get("desk").started();
  EXPECT_EQ(Advance("desk", first, ROLLOUT_COMPLETE), ResultCode::kPlanOutdated);
  EXPECT_EQ(Advance("shop", first, ROLLOUT_SHIFTING), ResultCode::kPlanOutdated);
  EXPECT_EQ(Advance("desk", first, ROLLOUT_ROLLED_BACK), ResultCode::kOk);
  EXPECT_EQ(Get("desk").reason(), "evidence");
  EXPECT_EQ(Advance("desk", first, ROLLOUT_SHIFTING), ResultCode::kPlanOutdated);
  EXPECT_EQ(Start("desk", "v3"), ResultCode::kOk);
  EXPECT_EQ(Advance("desk", first, ROLLOUT_ROLLED_BACK), ResultCode::kPlanOutdated);
  EXPECT_EQ(Get("desk").state(), ROLLOUT_RUNNING);
}

TEST_F(IntentMachineRolloutTest, AReplacedConfigurationKeepsRolloutsOfKeptServices) {
  EXPECT_EQ(Start("desk", "v2"), ResultCode::kOk);
  EXPECT_EQ(Start("shop", "v2"), ResultCode::kOk);
  const Rollout kept = Get("desk");
  EXPECT_EQ(Replace(2, 1, {"desk", "new"}), ResultCode::kOk);
  EXPECT_EQ(Get("desk").SerializeAsString(), kept.SerializeAsString());
  EXPECT_EQ(Get("shop").version(), "") << "dropped";
}

// Guards against operators that cannot roll back where orders replace the configuration,
// and against a plan that ends another rollout than the one it was made for.
TEST_F(IntentMachineRolloutTest, AnIntentRollsBackTheRolloutThatItsPlanNames) {
  const auto declare = [this](const std::string& id, const std::string& service) {
    ControlEntry entry;
    entry.mutable_declare()->set_id(id);
    RolloutIntent* rollout =
        entry.mutable_declare()->mutable_content()->mutable_rollout();
    rollout->set_service(service);
    rollout->set_roll_back(true);
    return Apply(entry);
  };
  const auto confirm = [this](const std::string& id) {
    ControlEntry entry;
    entry.mutable_confirm()->set_id(id);
    return Apply(entry);
  };
  EXPECT_EQ(declare("1-a", "desk"), ResultCode::kPlanRefused) << "none in progress";
  EXPECT_EQ(Start("desk", "v2"), ResultCode::kOk);
  EXPECT_EQ(declare("2-a", "desk"), ResultCode::kOk);
  EXPECT_EQ(declare("3-a", "desk"), ResultCode::kOk);
  EXPECT_EQ(confirm("2-a"), ResultCode::kOk);
  EXPECT_EQ(Get("desk").state(), ROLLOUT_ROLLED_BACK);
  EXPECT_EQ(published_.back(), index_);
  EXPECT_EQ(declare("4-a", "desk"), ResultCode::kOk) << "fulfilled already";
  EXPECT_EQ(Start("desk", "v3"), ResultCode::kOk);
  EXPECT_EQ(confirm("4-a"), ResultCode::kPlanOutdated);
  EXPECT_EQ(confirm("3-a"), ResultCode::kPlanOutdated);
  EXPECT_EQ(Get("desk").state(), ROLLOUT_RUNNING);
}

TEST_F(IntentMachineRolloutTest, AnIntentStartsARolloutOnce) {
  ControlEntry entry;
  entry.mutable_declare()->set_id("1-a");
  RolloutIntent* rollout = entry.mutable_declare()->mutable_content()->mutable_rollout();
  rollout->set_service("desk");
  rollout->set_version("v2");
  rollout->set_duration_ms(60'000);
  EXPECT_EQ(Apply(entry), ResultCode::kOk);
  ControlEntry confirm;
  confirm.set_wall_micros(99);
  confirm.mutable_confirm()->set_id("1-a");
  EXPECT_EQ(Apply(confirm), ResultCode::kOk);
  EXPECT_EQ(Get("desk").started().index(), index_);
  EXPECT_EQ(Get("desk").started_micros(), 99U);
  EXPECT_EQ(Get("desk").max_share_permille(), 100U);
  const Version started = Get("desk").started();
  EXPECT_EQ(Apply(confirm), ResultCode::kOk) << "sent again";
  EXPECT_EQ(Get("desk").started().index(), started.index());
}

TEST_F(IntentMachineRolloutTest, SnapshotsKeepRollouts) {
  EXPECT_EQ(Start("desk", "v2"), ResultCode::kOk);
  EXPECT_EQ(Advance("desk", Get("desk").started(), ROLLOUT_SHIFTING), ResultCode::kOk);
  IntentMachine restored(nullptr);
  restored.RestoreSnapshot({1, index_}, machine_.TakeSnapshot());
  const auto configuration = restored.configuration();
  ASSERT_NE(FindRollout(*configuration, "desk"), nullptr);
  EXPECT_EQ(FindRollout(*configuration, "desk")->state(), ROLLOUT_SHIFTING);
  EXPECT_EQ(restored.TakeSnapshot(), machine_.TakeSnapshot());
}

}  // namespace
}  // namespace quetzal
