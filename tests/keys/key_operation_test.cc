#include <cstdlib>
#include <set>

#include <gtest/gtest.h>

#include "configuration/key_residue.h"
#include "keys/key_cluster.h"
#include "keys/key_identity.h"

namespace quetzal {
namespace {

constexpr char kKey[] = "order-1";

KeyClaim ClaimBy(const std::string& attempt, const std::string& fingerprint = "f") {
  KeyClaim claim;
  claim.key = kKey;
  claim.fingerprint = fingerprint;
  claim.attempt_id = attempt;
  return claim;
}

class KeyOperationTest : public testing::Test {
 protected:
  void SetUp() override {
    for (const char* name : {"a", "b", "c", "d"}) cluster_.StartInstance(name);
    Form({"a", "b", "c"});
  }

  void Form(const std::vector<std::string>& names) {
    KeyGroup group = NextGroup(names);
    group.set_formed_generation(group.generation());
    for (KeyHolder& holder : *group.mutable_members()) {
      holder.set_joined_generation(group.generation());
    }
    cluster_.SetGroup(group);
    cluster_.LearnGroupEverywhere();
  }

  KeyGroup NextGroup(const std::vector<std::string>& names) const {
    KeyGroup group;
    group.set_data_centre("haro");
    group.set_generation(cluster_.group().generation() + 1);
    group.set_formed_generation(cluster_.group().formed_generation());
    for (const std::string& name : names) *group.add_members() = cluster_.HolderOf(name);
    return group;
  }

  void BeginJoint(const std::vector<std::string>& names) {
    KeyGroup group = NextGroup(names);
    *group.mutable_previous() = cluster_.group().members();
    cluster_.SetGroup(group);
    cluster_.LearnGroupEverywhere();
  }

  ClaimResult Run(std::unique_ptr<KeyChange> change) {
    const int n = cluster_.Begin(cluster_.group(), kKey, std::move(change));
    cluster_.DeliverAll();
    cluster_.Expire(n);
    return cluster_.result(n);
  }

  ClaimOutcome Claim(const std::string& attempt) {
    return Run(MakeClaimChange(ClaimBy(attempt))).outcome;
  }

  KeyCluster cluster_{1};
};

TEST_F(KeyOperationTest, GrantsOneClaimAndReturnsItsStoredAnswer) {
  EXPECT_EQ(Claim("x1"), ClaimOutcome::kGranted);
  EXPECT_EQ(Claim("x2"), ClaimOutcome::kInProgress);
  KeyAnswer answer;
  answer.set_status(201);
  EXPECT_EQ(Run(MakeResolveChange("x1", AttemptOutcome::kDone, answer)).outcome,
            ClaimOutcome::kGranted);
  const ClaimResult again = Run(MakeClaimChange(ClaimBy("x3")));
  EXPECT_EQ(again.outcome, ClaimOutcome::kDone);
  EXPECT_EQ(again.record.answer().status(), 201U);
}

TEST_F(KeyOperationTest, AnAttemptThatDidNotRunFreesTheKeyAndItsLateOutcomeIsRefused) {
  EXPECT_EQ(Claim("x1"), ClaimOutcome::kGranted);
  Run(MakeResolveChange("x1", AttemptOutcome::kNotRun, {}));
  EXPECT_EQ(Claim("x2"), ClaimOutcome::kGranted);
  EXPECT_EQ(Run(MakeResolveChange("x1", AttemptOutcome::kDone, {})).outcome,
            ClaimOutcome::kReused);
}

TEST_F(KeyOperationTest, ADifferentRequestWithTheSameKeyIsRefused) {
  EXPECT_EQ(Claim("x1"), ClaimOutcome::kGranted);
  EXPECT_EQ(Run(MakeClaimChange(ClaimBy("x2", "other"))).outcome, ClaimOutcome::kReused);
}

TEST_F(KeyOperationTest, ARestartedHolderDoesNotVote) {
  EXPECT_EQ(Claim("x1"), ClaimOutcome::kGranted);
  cluster_.StartInstance("a");
  cluster_.LearnGroup("a");
  EXPECT_EQ(Claim("x2"), ClaimOutcome::kInProgress);
  cluster_.StartInstance("b");
  cluster_.LearnGroup("b");
  EXPECT_EQ(Claim("x3"), ClaimOutcome::kQuorumMissing);
}

TEST_F(KeyOperationTest, LosingASecondHolderDuringARepairGrantsNoClaim) {
  EXPECT_EQ(Claim("x1"), ClaimOutcome::kGranted);
  cluster_.StartInstance("a");
  BeginJoint({"a", "b", "c"});
  cluster_.StopInstance("b");  // The copy is not complete yet.
  cluster_.CopyOnce("a");
  EXPECT_EQ(Claim("x2"), ClaimOutcome::kQuorumMissing);
}

TEST_F(KeyOperationTest, ARepairedHolderVotesWithTheCopiedRecords) {
  EXPECT_EQ(Claim("x1"), ClaimOutcome::kGranted);
  cluster_.StopInstance("a");
  BeginJoint({"b", "c", "d"});
  while (!cluster_.acceptor("d").MissingCopies().empty()) cluster_.CopyOnce("d");
  KeyGroup dropped = NextGroup({"b", "c", "d"});
  cluster_.SetGroup(dropped);
  cluster_.LearnGroupEverywhere();
  cluster_.StopInstance("b");
  EXPECT_EQ(Claim("x2"), ClaimOutcome::kInProgress);
}

TEST_F(KeyOperationTest, AMemberThatLeftAndRejoinedCopiesBeforeItVotes) {
  cluster_.SetGroup(NextGroup({"a", "b", "d"}));
  cluster_.SetGroup(NextGroup({"a", "b", "c"}));
  cluster_.LearnGroupEverywhere();
  EXPECT_EQ(cluster_.acceptor("c").MissingCopies().size(), 1U);
}

TEST_F(KeyOperationTest, AMemberThatOnlyMissedGenerationsVotesAtOnce) {
  cluster_.SetGroup(NextGroup({"a", "b", "d"}));
  cluster_.SetGroup(NextGroup({"a", "b", "d"}));
  cluster_.SetGroup(NextGroup({"a", "b", "d"}));
  cluster_.LearnGroupEverywhere();
  EXPECT_EQ(cluster_.acceptor("a").MissingCopies().size(), 0U);
  EXPECT_EQ(cluster_.acceptor("d").MissingCopies().size(), 1U);
}

TEST_F(KeyOperationTest, AfterLossOfAllRecordsOnlyNewerKeysAreClaimed) {
  EXPECT_EQ(Claim("x1"), ClaimOutcome::kGranted);
  for (const char* name : {"a", "b", "c"}) cluster_.StartInstance(name);
  KeyGroup group = NextGroup({"a", "b", "c"});
  group.set_formed_generation(group.generation());
  for (KeyHolder& holder : *group.mutable_members()) {
    holder.set_joined_generation(group.generation());
  }
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      cluster_.clock().WallNow().time_since_epoch());
  group.set_vouches_from_ms(static_cast<std::uint64_t>(now.count()));
  cluster_.SetGroup(group);
  cluster_.LearnGroupEverywhere();
  EXPECT_EQ(Claim("x2"), ClaimOutcome::kUnknown);
  cluster_.clock().Advance(KeyAcceptorOptions().retention + std::chrono::seconds(1));
  EXPECT_EQ(Claim("x3"), ClaimOutcome::kGranted);
}

TEST_F(KeyOperationTest, AFullTableRefusesNewKeysAndKeepsOldOnes) {
  KeyAcceptorOptions options;
  options.max_records = 1;
  ManualClock clock;
  KeyAcceptor acceptor("a", 1, options, &clock);
  Configuration configuration;
  KeyGroup* group = configuration.add_key_groups();
  group->set_data_centre("haro");
  group->set_generation(1);
  group->set_formed_generation(1);
  group->add_members()->set_instance("a");
  group->mutable_members(0)->set_incarnation(1);
  group->mutable_members(0)->set_joined_generation(1);
  acceptor.SetGroups(configuration);
  KeyPrepare prepare;
  prepare.mutable_group()->set_data_centre("haro");
  prepare.mutable_group()->set_generation(1);
  prepare.mutable_ballot()->set_counter(1);
  prepare.set_key("k1");
  EXPECT_EQ(acceptor.Prepare(prepare).vote(), KEY_VOTE_YES);
  prepare.set_key("k2");
  EXPECT_EQ(acceptor.Prepare(prepare).vote(), KEY_VOTE_FULL);
  prepare.set_key("k1");
  prepare.mutable_ballot()->set_counter(2);
  EXPECT_EQ(acceptor.Prepare(prepare).vote(), KEY_VOTE_YES);
  clock.Advance(options.retention + std::chrono::seconds(1));
  acceptor.Expire();
  EXPECT_EQ(acceptor.record_count(), 0U);
  EXPECT_EQ(acceptor.record_bytes(), 0U);
}

TEST_F(KeyOperationTest, AHolderDividesItsRecordsWhenItsGroupIsSplit) {
  KeyGroup group = cluster_.group();
  group.set_modulus(1);
  cluster_.SetGroup(group);
  KeyAcceptor& holder = cluster_.acceptor("a");
  const auto claim = [this](const std::string& attempt, const std::string& key) {
    const KeyGroup group = *FindKeyGroup(key, cluster_.configuration());
    const int n = cluster_.Begin(group, key, MakeClaimChange(ClaimBy(attempt)));
    cluster_.DeliverAll();
    return cluster_.result(n).outcome;
  };
  for (int n = 0; n < 50; ++n) {
    EXPECT_EQ(claim("x1", "order-" + std::to_string(n)), ClaimOutcome::kGranted);
  }
  const std::size_t bytes = holder.record_bytes();
  // Two splits that the holders learn of at once.
  for (int n = 0; n < 2; ++n) {
    const Configuration before = cluster_.configuration();
    for (KeyGroup first_half : before.key_groups()) {
      const KeyGroup other = SplitKeyGroup(&first_half);
      cluster_.SetGroup(first_half);
      cluster_.SetGroup(other);
    }
  }
  cluster_.LearnGroupEverywhere();
  ASSERT_EQ(cluster_.configuration().key_groups_size(), 4);
  EXPECT_TRUE(holder.MissingCopies().empty());
  EXPECT_EQ(holder.record_count(), 50U);
  EXPECT_EQ(holder.record_bytes(), bytes);
  for (const KeyGroup& part : cluster_.configuration().key_groups()) {
    KeyGroupName name;
    name.set_data_centre("haro");
    name.set_number(part.number());
    EXPECT_GT(holder.Status(name).records(), 0U);
  }
  for (int n = 0; n < 50; ++n) {
    EXPECT_EQ(claim("x2", "order-" + std::to_string(n)), ClaimOutcome::kInProgress);
  }
}

TEST_F(KeyOperationTest, AHolderDoesNotVoteOnAKeyOfAnotherGroup) {
  KeyGroup group = cluster_.group();
  group.set_modulus(1);
  group.set_number(0);
  const KeyGroup other = SplitKeyGroup(&group);
  cluster_.SetGroup(group);
  cluster_.SetGroup(other);
  cluster_.LearnGroupEverywhere();
  const KeyGroup home = *FindKeyGroup(kKey, cluster_.configuration());
  const KeyGroup& wrong = home.number() == 0 ? other : group;
  const int n = cluster_.Begin(wrong, kKey, MakeClaimChange(ClaimBy("x1")));
  cluster_.DeliverAll();
  EXPECT_EQ(cluster_.result(n).outcome, ClaimOutcome::kQuorumMissing);
  EXPECT_EQ(cluster_.acceptor("a").record_count(), 0U);
}

/// Runs a random schedule: proposers race for one key while holders restart, are
/// repaired and replaced, and groups are split. Guards against a request that runs twice
/// and against an outcome "done" for a request that never ran.
class KeySchedule {
 public:
  explicit KeySchedule(std::uint64_t seed) : cluster_(seed) {
    for (const char* name : {"a", "b", "c", "d", "e"}) cluster_.StartInstance(name);
    KeyGroup group = MakeGroup({"a", "b", "c"});
    group.set_formed_generation(1);
    group.set_modulus(1);
    cluster_.SetGroup(group);
    cluster_.LearnGroupEverywhere();
    proposer_views_.assign(3, cluster_.configuration());
  }

  int Run() {
    for (int step = 0; step < 400; ++step) {
      switch (cluster_.random().Below(12)) {
        case 0:
          BeginClaim();
          break;
        case 1:
          InjectFault();
          break;
        case 2:
          Repair();
          break;
        default:
          cluster_.StepRandomly(5, 5);
      }
      HandleFinishedOperations();
    }
    return executions_;
  }

  int grants() const { return grants_; }
  int splits() const { return splits_; }
  bool wrongly_reported_done() const { return wrongly_reported_done_; }

 private:
  static constexpr std::uint32_t kMaxModulus = 8;

  struct Attempt {
    int operation = 0;
    std::string id;
    bool claim = true;
    bool handled = false;
  };

  KeyGroup MakeGroup(const std::vector<std::string>& names) const {
    KeyGroup group;
    group.set_data_centre("haro");
    group.set_generation(cluster_.group().generation() + 1);
    group.set_formed_generation(cluster_.group().formed_generation());
    for (const std::string& name : names) *group.add_members() = cluster_.HolderOf(name);
    return group;
  }

  void BeginClaim() {
    const std::string id = "x" + std::to_string(attempts_.size());
    attempts_.push_back(
        {cluster_.Begin(GroupInSomeView(), kKey, MakeClaimChange(ClaimBy(id))), id, true,
         false});
  }

  /// Occasionally restarts a holder; proposers and holders learn of groups late.
  void InjectFault() {
    const char* names[] = {"a", "b", "c", "d", "e"};
    const std::string name = names[cluster_.random().Below(5)];
    if (cluster_.random().Below(8) == 0) cluster_.StartInstance(name);
    cluster_.LearnGroup(name);
    proposer_views_[cluster_.random().Below(proposer_views_.size())] =
        cluster_.configuration();
  }

  /// Returns the key's group as a random proposer knows it.
  const KeyGroup& GroupInSomeView() {
    return *FindKeyGroup(
        kKey, proposer_views_[cluster_.random().Below(proposer_views_.size())]);
  }

  /// Changes groups by the rules of the control instances: one change at a time, the old
  /// list is dropped only after each new holder has caught up, and no change leaves out a
  /// majority of the old list.
  void Repair() {
    for (const char* name : {"a", "b", "c", "d", "e"}) {
      if (cluster_.random().Below(2) == 0) cluster_.LearnGroup(name);
      cluster_.CopyOnce(name);
    }
    proposer_views_[cluster_.random().Below(proposer_views_.size())] =
        cluster_.configuration();
    const Configuration configuration = cluster_.configuration();
    for (const KeyGroup& group : configuration.key_groups()) Repair(group);
  }

  void Repair(const KeyGroup& current) {
    KeyGroup next = current;
    next.set_generation(current.generation() + 1);
    for (int n = 0; n < current.members_size(); ++n) {
      const KeyHolder& holder = current.members(n);
      if (cluster_.incarnation(holder.instance()) == holder.incarnation()) continue;
      // A change in progress keeps its old list and lists the newer incarnation.
      if (current.previous_size() == 0) *next.mutable_previous() = current.members();
      *next.mutable_members(n) = cluster_.HolderOf(holder.instance(), current);
      cluster_.SetGroup(next);
      return;
    }
    if (current.previous_size() == 0) return Regroup(current);
    for (const KeyHolder& holder : current.members()) {
      if (!CaughtUp(current, holder)) return;
    }
    next.clear_previous();
    cluster_.SetGroup(next);
  }

  /// Randomly splits a group that has no change in progress, or replaces one of its
  /// members by another instance.
  void Regroup(KeyGroup group) {
    const std::uint64_t roll = cluster_.random().Below(12);
    if (roll == 0 && group.modulus() < kMaxModulus) {
      const KeyGroup other = SplitKeyGroup(&group);
      cluster_.SetGroup(group);
      cluster_.SetGroup(other);
      ++splits_;
    }
    if (roll != 1) return;
    const std::string name(1, static_cast<char>('a' + cluster_.random().Below(5)));
    const KeyHolder joining = cluster_.HolderOf(name, group);
    for (const KeyHolder& holder : group.members()) {
      if (holder.instance() == name) return;
    }
    *group.mutable_previous() = group.members();
    *group.mutable_members(static_cast<int>(cluster_.random().Below(3))) = joining;
    group.set_generation(group.generation() + 1);
    cluster_.SetGroup(group);
  }

  bool CaughtUp(const KeyGroup& group, const KeyHolder& holder) {
    if (cluster_.incarnation(holder.instance()) != holder.incarnation()) return false;
    KeyGroupName name;
    name.set_data_centre(group.data_centre());
    name.set_number(group.number());
    const KeyStatusReply status = cluster_.acceptor(holder.instance()).Status(name);
    return status.caught_up() && status.generation() == group.generation();
  }

  void HandleFinishedOperations() {
    for (std::size_t n = 0; n < attempts_.size(); ++n) {
      const Attempt attempt = attempts_[n];
      if (attempt.handled || !cluster_.finished(attempt.operation)) continue;
      attempts_[n].handled = true;
      if (!attempt.claim) continue;
      const ClaimOutcome outcome = cluster_.result(attempt.operation).outcome;
      if (outcome == ClaimOutcome::kDone && executions_ == 0)
        wrongly_reported_done_ = true;
      if (outcome == ClaimOutcome::kGranted) {
        ++grants_;
        Send(attempt.id);
      }
      if (outcome == ClaimOutcome::kInProgress) {
        ResolveAsAdmittingNode(cluster_.result(attempt.operation).record.attempt_id());
      }
    }
  }

  /// Records the answer of the admitting node about an attempt: it ran, or it never will.
  void ResolveAsAdmittingNode(const std::string& id) {
    if (executed_.count(id) != 0) return Resolve(id, AttemptOutcome::kDone);
    fenced_.insert(id);
    Resolve(id, AttemptOutcome::kNotRun);
  }

  /// Refuses or executes the granted attempt; some proposers die before they record
  /// the execution.
  void Send(const std::string& id) {
    const std::uint64_t roll = cluster_.random().Below(3);
    if (roll == 0 || fenced_.count(id) != 0) return Resolve(id, AttemptOutcome::kNotRun);
    ++executions_;
    executed_.insert(id);
    if (roll == 1) Resolve(id, AttemptOutcome::kDone);
  }

  void Resolve(const std::string& id, AttemptOutcome outcome) {
    attempts_.push_back(
        {cluster_.Begin(GroupInSomeView(), kKey, MakeResolveChange(id, outcome, {})), id,
         false, false});
  }

  KeyCluster cluster_;
  std::vector<Configuration> proposer_views_;
  std::vector<Attempt> attempts_;
  std::set<std::string> executed_;
  std::set<std::string> fenced_;
  int executions_ = 0;
  int grants_ = 0;
  int splits_ = 0;
  bool wrongly_reported_done_ = false;
};

TEST(KeyScheduleTest, NoScheduleRunsAKeyTwice) {
  const char* schedule_count = std::getenv("QUETZAL_KEY_SCHEDULES");
  const int count = schedule_count == nullptr ? 2000 : std::atoi(schedule_count);
  int grants = 0;
  int splits = 0;
  for (int seed = 1; seed <= count; ++seed) {
    KeySchedule schedule(static_cast<std::uint64_t>(seed));
    const int executions = schedule.Run();
    ASSERT_LE(executions, 1) << "seed " << seed;
    ASSERT_FALSE(schedule.wrongly_reported_done()) << "seed " << seed;
    grants += schedule.grants();
    splits += schedule.splits();
  }
  EXPECT_GT(grants, count / 2) << "the schedules grant too few claims";
  EXPECT_GT(splits, count / 2) << "the schedules split too few groups";
}

TEST(KeyIdentityTest, HomeIsTakenFromTheKeyOrIsTheSameOnAllInstances) {
  Configuration configuration;
  for (const char* name : {"cenicero", "haro", "logrono"})
    configuration.add_data_centres(name);
  EXPECT_EQ(KeyHome("haro.order-1", configuration), "haro");
  Configuration reversed;
  for (const char* name : {"logrono", "haro", "cenicero"})
    reversed.add_data_centres(name);
  for (const char* key : {"order-1", "order-2", "bole.3"}) {
    EXPECT_EQ(KeyHome(key, configuration), KeyHome(key, reversed));
  }
}

TEST(KeyIdentityTest, IssueTimeComesFromVersionSevenUuidsOnly) {
  const auto issued = KeyIssueTime("haro.01900000-0000-7abc-8def-0123456789ab");
  ASSERT_TRUE(issued.has_value());
  EXPECT_EQ(issued->time_since_epoch(), std::chrono::milliseconds(0x019000000000));
  EXPECT_FALSE(KeyIssueTime("01900000-0000-4abc-8def-0123456789ab").has_value());
  EXPECT_FALSE(KeyIssueTime("order-1").has_value());
}

}  // namespace
}  // namespace quetzal
