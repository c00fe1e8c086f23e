#include "control/key_group_planner.h"

#include <gtest/gtest.h>

#include "configuration/configuration_check.h"
#include "control/control_fakes.h"
#include "keys/key_acceptor.h"

namespace quetzal {
namespace {

class KeyGroupPlannerTest : public testing::Test {
 protected:
  KeyGroupPlannerTest() : tracker_(&clock_, {}), planner_(settings_) {
    configuration_.add_data_centres("haro");
    clock_.Advance(std::chrono::minutes(1));
  }

  void Report(int node, std::uint64_t incarnation = 1, MemberState state = MEMBER_ALIVE) {
    ProxyAck ack =
        MakeAck("haro-" + std::to_string(node), "haro", "taller", {}, incarnation);
    ack.stream_address = "127.0.0.1:" + std::to_string(7000 + node);
    ack.state = state;
    tracker_.OnAck(ack);
  }

  /// Advances the clock; all nodes but `unresponsive` report every second.
  void AdvanceReporting(Duration time, int nodes, int unresponsive = 0) {
    for (; time > Duration(0); time -= std::chrono::seconds(1)) {
      clock_.Advance(std::chrono::seconds(1));
      for (int n = 1; n <= nodes; ++n) {
        if (n != unresponsive) Report(n, incarnations_[n]);
      }
    }
  }

  /// Applies the next change; false when none is due.
  bool Step(bool acknowledged = true) {
    const auto change = planner_.Plan(configuration_, tracker_, caught_up_, acknowledged,
                                      clock_.Now(), clock_.WallNow());
    if (!change) return false;
    *configuration_.mutable_key_groups() = change->key_groups();
    CheckConfiguration(configuration_);
    return true;
  }

  void CatchUp() {
    for (const KeyGroup& group : configuration_.key_groups()) {
      for (const KeyHolder& holder : group.members()) {
        caught_up_.insert(
            {group.data_centre(), group.number(), group.generation(), holder.instance()});
      }
    }
  }

  /// Applies all changes that are due, one after another, and returns their number.
  int StepUntilDone() {
    int steps = 0;
    for (; steps < 50 && Step(); ++steps) CatchUp();
    return steps;
  }

  const KeyGroup& group() { return configuration_.key_groups(0); }

  void FormGroupsOf(int nodes) {
    for (int n = 1; n <= nodes; ++n) incarnations_[n] = 1;
    AdvanceReporting(settings_.settle + std::chrono::seconds(1), nodes);
    ASSERT_TRUE(Step());
  }

  KeyGroupSettings settings_;
  ManualClock clock_;
  ConvergenceTracker tracker_;
  KeyGroupPlanner planner_;
  Configuration configuration_;
  std::set<CaughtUpHolder> caught_up_;
  std::map<int, std::uint64_t> incarnations_;
};

TEST_F(KeyGroupPlannerTest, FormsGroupsOnceTheDataCentreHasSettled) {
  for (int n = 1; n <= 7; ++n) incarnations_[n] = 1;
  AdvanceReporting(std::chrono::seconds(1), 7);
  EXPECT_FALSE(Step());
  AdvanceReporting(settings_.settle, 7);
  EXPECT_TRUE(Step());
  ASSERT_EQ(configuration_.key_groups_size(), 2);
  EXPECT_EQ(group().members_size(), 3);
  EXPECT_EQ(group().vouches_from_ms(), 0U);
  EXPECT_FALSE(Step());
}

TEST_F(KeyGroupPlannerTest, NumberOfGroupsIsAPowerOfTwoAndBounded) {
  FormGroupsOf(60);
  EXPECT_EQ(configuration_.key_groups_size(), 16);
  configuration_.clear_key_groups();
  FormGroupsOf(200);
  EXPECT_EQ(configuration_.key_groups_size(), 32);
}

TEST_F(KeyGroupPlannerTest, GroupsOfADataCentreThatGrowsAreSplitAndMoveToItsNewNodes) {
  FormGroupsOf(3);
  ASSERT_EQ(configuration_.key_groups_size(), 1);
  for (int n = 4; n <= 127; ++n) incarnations_[n] = 1;
  AdvanceReporting(std::chrono::seconds(1), 127);
  EXPECT_FALSE(Step()) << "not settled yet";
  AdvanceReporting(settings_.settle, 127);
  EXPECT_EQ(StepUntilDone(), 7) << "five splits and one joint move";
  EXPECT_EQ(configuration_.key_groups_size(), 32);
  std::map<std::string, int> load;
  for (const KeyGroup& group : configuration_.key_groups()) {
    EXPECT_EQ(group.modulus(), 32U);
    EXPECT_EQ(group.members_size(), 3);
    for (const KeyHolder& holder : group.members()) ++load[holder.instance()];
  }
  for (const auto& [instance, groups] : load) EXPECT_LE(groups, 2) << instance;
}

TEST_F(KeyGroupPlannerTest, GroupsWithoutAModulusAreSplitFurther) {
  FormGroupsOf(9);
  for (KeyGroup& group : *configuration_.mutable_key_groups()) group.clear_modulus();
  KeyGroup* third = configuration_.add_key_groups();
  *third = configuration_.key_groups(1);
  third->set_number(2);
  for (int n = 10; n <= 127; ++n) incarnations_[n] = 1;
  AdvanceReporting(settings_.settle + std::chrono::seconds(1), 127);
  EXPECT_GT(StepUntilDone(), 0);
  EXPECT_EQ(configuration_.key_groups_size(), 24);
}

TEST_F(KeyGroupPlannerTest, NumberOfGroupsNeverFalls) {
  FormGroupsOf(12);
  ASSERT_EQ(configuration_.key_groups_size(), 4);
  AdvanceReporting(settings_.replace_after + std::chrono::seconds(2), 3);
  StepUntilDone();
  EXPECT_EQ(configuration_.key_groups_size(), 4);
}

TEST_F(KeyGroupPlannerTest, ReplacesADeadHolderByAJointStep) {
  FormGroupsOf(4);
  AdvanceReporting(settings_.replace_after - std::chrono::seconds(1), 4, 1);
  EXPECT_FALSE(Step());
  AdvanceReporting(std::chrono::seconds(3), 4, 1);
  ASSERT_TRUE(Step());
  EXPECT_EQ(group().previous_size(), 3);
  EXPECT_EQ(group().members(2).instance(), "haro-4");
  EXPECT_EQ(group().generation(), 2U);
  EXPECT_FALSE(Step()) << "no holder has caught up yet";
  CatchUp();
  EXPECT_FALSE(Step(false)) << "not acknowledged yet";
  ASSERT_TRUE(Step());
  EXPECT_EQ(group().previous_size(), 0);
  EXPECT_EQ(group().generation(), 3U);
}

TEST_F(KeyGroupPlannerTest, HoldersOfTheFirstListVoteAtOnceAndLaterOnesCopyFirst) {
  FormGroupsOf(4);
  KeyAcceptor first("haro-2", 1, {}, &clock_);
  KeyAcceptor later("haro-4", 1, {}, &clock_);
  first.SetGroups(configuration_);
  later.SetGroups(configuration_);
  EXPECT_TRUE(first.MissingCopies().empty());
  AdvanceReporting(settings_.replace_after + std::chrono::seconds(2), 4, 1);
  ASSERT_TRUE(Step());
  first.SetGroups(configuration_);
  later.SetGroups(configuration_);
  EXPECT_TRUE(first.MissingCopies().empty());
  EXPECT_EQ(later.MissingCopies().size(), 1U);
  CatchUp();
  ASSERT_TRUE(Step());
  KeyAcceptor rebuilt("haro-4", 1, {}, &clock_);
  rebuilt.SetGroups(configuration_);
  EXPECT_EQ(rebuilt.MissingCopies().size(), 1U) << "it copies from the remaining list";
}

TEST_F(KeyGroupPlannerTest, AGroupThatIsFormedAgainVotesAtOnce) {
  FormGroupsOf(3);
  incarnations_[2] = incarnations_[3] = 9;
  AdvanceReporting(std::chrono::seconds(1), 3);
  ASSERT_TRUE(Step());
  KeyAcceptor acceptor("haro-2", 9, {}, &clock_);
  acceptor.SetGroups(configuration_);
  EXPECT_TRUE(acceptor.MissingCopies().empty());
}

TEST_F(KeyGroupPlannerTest, ReadmitsARestartedHolderByAJointStep) {
  FormGroupsOf(3);
  incarnations_[2] = 9;
  AdvanceReporting(std::chrono::seconds(1), 3);
  ASSERT_TRUE(Step());
  EXPECT_EQ(group().previous_size(), 3);
  EXPECT_EQ(group().vouches_from_ms(), 0U);
}

TEST_F(KeyGroupPlannerTest, FormsAGroupAgainOnlyWhenAMajorityRestarted) {
  FormGroupsOf(3);
  incarnations_[2] = incarnations_[3] = 9;
  AdvanceReporting(std::chrono::seconds(1), 3);
  ASSERT_TRUE(Step());
  EXPECT_EQ(group().previous_size(), 0);
  EXPECT_GT(group().vouches_from_ms(), 0U);
}

TEST_F(KeyGroupPlannerTest, UnresponsiveMajorityChangesNothing) {
  FormGroupsOf(5);
  AdvanceReporting(std::chrono::seconds(1), 5);
  for (int n = 0; n < 20; ++n) {
    clock_.Advance(std::chrono::seconds(1));
    for (const int node : {1, 4, 5}) Report(node);
  }
  EXPECT_FALSE(Step());
}

TEST_F(KeyGroupPlannerTest, CutOffDataCentreIsNotChanged) {
  FormGroupsOf(4);
  clock_.Advance(std::chrono::hours(1));
  EXPECT_FALSE(Step());
}

TEST_F(KeyGroupPlannerTest, RestartOfNewHoldersDoesNotReleaseThePreviousOnes) {
  FormGroupsOf(5);
  AdvanceReporting(settings_.replace_after + std::chrono::seconds(2), 5, 1);
  ASSERT_TRUE(Step());
  CatchUp();
  incarnations_[2] = incarnations_[4] = 9;
  AdvanceReporting(std::chrono::seconds(1), 5, 1);
  Step();
  EXPECT_FALSE(group().previous_size() == 0 && group().vouches_from_ms() == 0);
}

TEST_F(KeyGroupPlannerTest, LeavingHolderIsRemovedWhereNoNodeCanReplaceIt) {
  FormGroupsOf(3);
  Report(2, 1, MEMBER_LEAVING);
  ASSERT_TRUE(Step());
  EXPECT_EQ(group().members_size(), 2);
  EXPECT_EQ(group().previous_size(), 3);
  EXPECT_FALSE(Step()) << "the others have not caught up";
  CatchUp();
  ASSERT_TRUE(Step());
  EXPECT_EQ(group().members_size(), 2);
  EXPECT_EQ(group().previous_size(), 0);
  EXPECT_EQ(group().vouches_from_ms(), 0U);
}

TEST_F(KeyGroupPlannerTest, LeavingHolderIsReplacedWhereAnotherNodeIsFree) {
  FormGroupsOf(4);
  Report(1, 1, MEMBER_LEAVING);
  ASSERT_TRUE(Step());
  EXPECT_EQ(group().members_size(), 3);
  for (const KeyHolder& holder : group().members())
    EXPECT_NE(holder.instance(), "haro-1");
}

TEST_F(KeyGroupPlannerTest, LastHolderStaysListedWhenItLeaves) {
  FormGroupsOf(1);
  Report(1, 1, MEMBER_LEAVING);
  EXPECT_FALSE(Step());
  EXPECT_EQ(group().members_size(), 1);
}

TEST_F(KeyGroupPlannerTest, SmallGroupGrows) {
  FormGroupsOf(2);
  EXPECT_EQ(group().members_size(), 2);
  incarnations_[3] = 1;
  AdvanceReporting(std::chrono::seconds(1), 3);
  ASSERT_TRUE(Step());
  EXPECT_EQ(group().members_size(), 3);
  EXPECT_EQ(group().previous_size(), 2);
}

}  // namespace
}  // namespace quetzal
