#include "control/group_repairer.h"

#include <gtest/gtest.h>

#include "base/result_code.h"
#include "control/control_fakes.h"

namespace quetzal {
namespace {

using std::chrono::milliseconds;

/// Delays the results of changes of the group, which appear in group() at once.
class SlowAgreement final : public Agreement {
 public:
  explicit SlowAgreement(FakeAgreement* base) : base_(base) {}

  void Propose(std::string entry, ProposeDone done) override {
    base_->Propose(std::move(entry), std::move(done));
  }
  void ReadBarrier(ReadDone done) override { base_->ReadBarrier(std::move(done)); }
  LeadershipView leadership() const override { return base_->leadership(); }
  LogPosition committed() const override { return base_->committed(); }
  std::vector<GroupMember> group() const override { return base_->group(); }
  void ProposeMembership(const MembershipChange& change,
                         const ProposeDone& done) override {
    base_->ProposeMembership(change, [](ResultCode, LogPosition, const std::string&) {});
    committed_ = [done] { done(ResultCode::kOk, {}, ""); };
  }

  void Commit() { std::exchange(committed_, nullptr)(); }

 private:
  FakeAgreement* base_;
  std::function<void()> committed_;
};

/// Control instances a, which leads, and b of one group.
class GroupRepairerTest : public testing::Test {
 protected:
  struct Instance {
    Instance(const std::string& name, std::uint16_t port, GroupRepairerTest* test)
        : machine(nullptr),
          agreement(&test->log_, &machine),
          rpc(&test->network_),
          repairer(name,
                   {&agreement, &rpc, &rpc, &test->executor_, &test->clock_, &events,
                    [test] { return test->running_; },
                    [](const std::string&) { return false; }},
                   GroupRepairSettings()) {
      test->network_[{"127.0.0.1", port}] = &rpc;
      repairer.Start();
    }
    IntentMachine machine;
    FakeAgreement agreement;
    FakeRpc rpc;
    NullEventLog events;
    GroupRepairer repairer;
  };

  GroupRepairerTest() { a_.agreement.view.leading = true; }

  void SetGroup(const std::vector<std::string>& names) {
    running_.clear();
    for (Instance* it : {&a_, &b_}) it->agreement.members.clear();
    for (std::size_t n = 0; n < names.size(); ++n) {
      const Endpoint endpoint{"127.0.0.1", static_cast<std::uint16_t>(n + 1)};
      running_.push_back({names[n], endpoint});
      for (Instance* it : {&a_, &b_}) {
        it->agreement.members.push_back({names[n], endpoint, true, true});
      }
    }
  }

  /// Starts to take `instance` out; the result is true once it may end.
  std::shared_ptr<bool> Leave(Instance* instance) {
    auto left = std::make_shared<bool>(false);
    instance->repairer.Leave([left] { *left = true; });
    executor_.Run();
    return left;
  }

  ManualClock clock_;
  ManualExecutor executor_{&clock_};
  FakeLog log_;
  std::map<Endpoint, FakeRpc*> network_;
  std::vector<ControlMembership::Peer> running_;
  Instance a_{"a", 1, this};
  Instance b_{"b", 2, this};
};

// Guards against an instance that ends while its vote still counts among four.
TEST_F(GroupRepairerTest, AnInstanceOfAGroupOfFourLeavesItBeforeItEnds) {
  SetGroup({"a", "b", "c", "d"});
  const auto left = Leave(&b_);
  ASSERT_EQ(a_.agreement.changes.size(), 1U);
  EXPECT_EQ(a_.agreement.changes[0].kind, MembershipChangeKind::kRemoveLost);
  EXPECT_EQ(a_.agreement.changes[0].name, "b");
  executor_.Advance(milliseconds(100));
  EXPECT_TRUE(*left);
}

TEST_F(GroupRepairerTest, ALeaderTakesItselfOut) {
  SetGroup({"a", "b", "c", "d"});
  const auto left = Leave(&a_);
  executor_.Advance(milliseconds(100));
  EXPECT_TRUE(*left);
  ASSERT_EQ(a_.agreement.changes.size(), 1U);
  EXPECT_EQ(a_.agreement.changes[0].name, "a");
}

// Guards against a leader that ends before its own removal is committed.
TEST_F(GroupRepairerTest, ALeaderWaitsForTheCommitOfItsOwnRemoval) {
  SetGroup({"a", "b", "c", "d"});
  a_.repairer.Stop();
  SlowAgreement agreement(&a_.agreement);
  GroupRepairer repairer(
      "a",
      {&agreement, &a_.rpc, &a_.rpc, &executor_, &clock_, &a_.events,
       [this] { return running_; }, [](const std::string&) { return false; }},
      GroupRepairSettings());
  bool left = false;
  repairer.Leave([&] { left = true; });
  executor_.Advance(milliseconds(500));
  EXPECT_EQ(a_.agreement.changes.size(), 1U);
  EXPECT_FALSE(left);
  agreement.Commit();
  executor_.Run();
  EXPECT_TRUE(left);
}

TEST_F(GroupRepairerTest, AnInstanceOfAGroupOfThreeEndsAtOnceAndIsKept) {
  SetGroup({"a", "b", "c"});
  EXPECT_TRUE(*Leave(&b_));
  EXPECT_TRUE(*Leave(&a_));
  executor_.Advance(std::chrono::seconds(10));
  EXPECT_TRUE(a_.agreement.changes.empty());
}

TEST_F(GroupRepairerTest, ARemovalThatIsNotCommittedDoesNotLetTheInstanceEnd) {
  SetGroup({"a", "b", "c", "d"});
  a_.agreement.view.leading = false;  // Nobody leads for a moment.
  const auto left = Leave(&b_);
  executor_.Advance(milliseconds(500));
  EXPECT_FALSE(*left);
  a_.agreement.view.leading = true;
  executor_.Advance(milliseconds(200));
  EXPECT_TRUE(*left);
  EXPECT_EQ(a_.agreement.changes.size(), 1U);
}

TEST_F(GroupRepairerTest, AStopWithoutALeaderIsBounded) {
  SetGroup({"a", "b", "c", "d"});
  a_.agreement.view.leading = false;
  const auto left = Leave(&b_);
  executor_.Advance(milliseconds(1900));
  EXPECT_FALSE(*left);
  executor_.Advance(milliseconds(200));
  EXPECT_TRUE(*left);
}

}  // namespace
}  // namespace quetzal
