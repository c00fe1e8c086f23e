#include <string>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "agreement/cluster.h"
#include "agreement/replica_set.h"
#include "simulation/source_file.h"

namespace quetzal::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(AgreementSession, AnIsolatedLeaderReportsNoSuccess) {
  Cluster cluster(3, 7, TestOptions());
  ASSERT_TRUE(cluster.AwaitLeader());
  const std::size_t old_leader = *cluster.LeaseHolder();
  const Instance& isolated = cluster.at(old_leader);
  cluster.Propose(old_leader);
  cluster.Run(milliseconds(100));
  ASSERT_EQ(cluster.acknowledged(), 1u);

  cluster.Note("cut off " + isolated.name);
  cluster.Isolate(old_leader);
  const ProposeAnswer lost = cluster.Propose(old_leader);
  EXPECT_EQ(lost.code, ResultCode::kOk);
  EXPECT_EQ(isolated.core->role(), RaftRole::kLeader);
  cluster.Run(seconds(1));
  EXPECT_EQ(cluster.Propose(old_leader).code, ResultCode::kNotLeader);
  ASSERT_TRUE(cluster.AwaitLeader());
  cluster.Propose(*cluster.LeaseHolder());
  cluster.Run(milliseconds(100));
  EXPECT_EQ(cluster.acknowledged(), 2u);

  cluster.Note("heal");
  ASSERT_TRUE(cluster.Converges());
  EXPECT_NE(isolated.core->log().TermAt(lost.index), lost.term);
  EXPECT_TRUE(cluster.violations().empty());
  std::string trace;
  for (const std::string& line : cluster.trace()) trace += line + "\n";
  ExpectGolden("tests/agreement/golden/isolated_leader.txt", trace);
}

TEST(AgreementSession, SlowDisksOfFollowersDoNotEndTheLease) {
  Cluster cluster(3, 11, TestOptions());
  ASSERT_TRUE(cluster.AwaitLeader());
  const std::size_t leader = *cluster.LeaseHolder();
  const std::uint64_t term = cluster.at(leader).core->term();
  cluster.faults().sync_max = seconds(4);
  for (int n = 0; n < 40; ++n) {
    cluster.Propose(leader);
    cluster.Run(milliseconds(100));
    ASSERT_EQ(cluster.LeaseHolder(), leader) << n;
  }
  cluster.faults().sync_max = milliseconds(3);
  cluster.Run(seconds(5));
  EXPECT_EQ(cluster.acknowledged(), 40u);
  EXPECT_EQ(cluster.at(leader).core->term(), term);
  EXPECT_TRUE(cluster.Converges());
  EXPECT_TRUE(cluster.violations().empty());
}

TEST(AgreementSession, APausedLeaderResumesWithoutALease) {
  Cluster cluster(3, 8, TestOptions());
  ASSERT_TRUE(cluster.AwaitLeader());
  const std::size_t old_leader = *cluster.LeaseHolder();
  const Instance& paused = cluster.at(old_leader);
  cluster.Pause(old_leader, true);
  cluster.Run(seconds(10));
  ASSERT_TRUE(cluster.LeaseHolder().has_value());
  EXPECT_EQ(paused.core->role(), RaftRole::kLeader);
  EXPECT_GE(paused.clock->Now(), paused.core->lease_until());
  cluster.Pause(old_leader, false);
  EXPECT_EQ(cluster.Propose(old_leader).code, ResultCode::kNotLeader);
  EXPECT_TRUE(cluster.Converges());
  EXPECT_TRUE(cluster.violations().empty());
}

TEST(AgreementSession, ARestartedInstanceDoesNotVoteAgainstItsLeader) {
  Cluster cluster(3, 10, TestOptions());
  ASSERT_TRUE(cluster.AwaitLeader());
  cluster.Run(milliseconds(200));
  const std::size_t leader = *cluster.LeaseHolder();
  const std::size_t rival = (leader + 1) % 3;
  const std::size_t voter = (leader + 2) % 3;
  cluster.Cut(leader, rival);
  cluster.Cut(rival, leader);
  for (int n = 0; n < 200; ++n) {
    // The rival campaigns without contact to the leader; the voter has contact to the
    // leader and restarts.
    cluster.Run(milliseconds(20));
    cluster.Crash(voter, CrashKind::kAfterSync);
    cluster.Restart(voter);
  }
  EXPECT_EQ(cluster.LeaseHolder(), leader);
  EXPECT_TRUE(cluster.violations().empty());
  EXPECT_TRUE(cluster.Converges());
}

// Nobody can hold a lease once every process has restarted.
TEST(AgreementSession, AGroupThatRestartedAsAWholeElectsAtOnce) {
  for (const int voters : {3, 5}) {
    Cluster cluster(voters, 18, TestOptions());
    ASSERT_TRUE(cluster.AwaitLeader());
    cluster.Propose(*cluster.LeaseHolder());
    cluster.Run(milliseconds(300));
    for (std::size_t n = 0; n < cluster.size(); ++n) {
      cluster.Crash(n, CrashKind::kAfterSync);
    }
    for (std::size_t n = 0; n < cluster.size(); ++n) cluster.Restart(n);
    cluster.Run(milliseconds(150));
    EXPECT_TRUE(cluster.LeaseHolder().has_value()) << voters << " voters";
    EXPECT_TRUE(cluster.Converges());
    EXPECT_TRUE(cluster.violations().empty());
  }
}

TEST(AgreementSession, ALeaderThatDidNotRestartKeepsItsLease) {
  Cluster cluster(3, 19, TestOptions());
  ASSERT_TRUE(cluster.AwaitLeader());
  cluster.Run(milliseconds(300));
  const std::size_t leader = *cluster.LeaseHolder();
  // The others restart while the leader cannot be reached, and its lease still runs.
  cluster.Isolate(leader);
  for (std::size_t n = 0; n < cluster.size(); ++n) {
    if (n == leader) continue;
    cluster.Crash(n, CrashKind::kAfterSync);
    cluster.Restart(n);
  }
  cluster.Run(milliseconds(250));
  EXPECT_EQ(cluster.LeaseHolder(), leader);
  EXPECT_TRUE(cluster.Converges());
  EXPECT_TRUE(cluster.violations().empty());
}

TEST(AgreementSession, ChangesOfTheGroupNeverOverlap) {
  Cluster cluster(5, 12, TestOptions());
  ASSERT_TRUE(cluster.AwaitLeader());
  RaftCore& leader = *cluster.at(*cluster.LeaseHolder()).core;
  const auto remove = [&](const char* name) {
    leader.ProposeMembership(MembershipChangeKind::kRemove, {name, {}});
    return leader.TakeOutput().membership_steps.front().code;
  };
  ASSERT_EQ(leader.commit_index(), 0u);
  EXPECT_EQ(remove("d"), ResultCode::kOverloaded);
  cluster.Run(milliseconds(100));
  EXPECT_EQ(remove("d"), ResultCode::kOk);
  EXPECT_EQ(remove("e"), ResultCode::kOverloaded);
}

/// An instance is removed while it is down, and returns with the folder of a voter.
TEST(AgreementSession, ARemovedInstanceIsAddedAgainWithItsFolder) {
  Cluster cluster(4, 16, TestOptions());
  ASSERT_TRUE(cluster.AwaitLeader());
  cluster.Propose(*cluster.LeaseHolder());
  cluster.Run(milliseconds(200));
  const std::size_t leader = *cluster.LeaseHolder();
  const std::size_t lost = leader == 0 ? 1 : 0;
  cluster.Crash(lost, CrashKind::kAfterSync);
  cluster.at(leader).core->ProposeMembership(MembershipChangeKind::kRemoveLost,
                                             {cluster.at(lost).name, {}});
  cluster.Run(milliseconds(200));
  ASSERT_EQ(VoterCount(cluster.at(leader).core->log().replicas()), 3u);
  cluster.Propose(leader);
  cluster.Run(milliseconds(200));

  cluster.Restart(lost);
  cluster.Run(seconds(2));
  EXPECT_EQ(cluster.LeaseHolder(), leader) << "a removed instance must not disturb";
  cluster.ChangeMembership(leader, true, lost);
  cluster.Run(seconds(1));
  EXPECT_EQ(VoterCount(cluster.at(leader).core->log().replicas()), 4u);
  EXPECT_TRUE(
      IsVoter(cluster.at(lost).core->log().replicas(), cluster.at(lost).core->replica()));
  EXPECT_TRUE(cluster.Converges());
  EXPECT_TRUE(cluster.violations().empty());
}

TEST(AgreementSession, AFolderOfAnotherGroupIsNotAdded) {
  Cluster group(3, 17, TestOptions());
  const std::size_t other = group.AddInstance();
  ASSERT_TRUE(group.AwaitLeader());
  group.Run(milliseconds(200));
  const std::size_t leader = *group.LeaseHolder();
  RaftCore& core = *group.at(leader).core;
  core.ProposeMembership(MembershipChangeKind::kAdd,
                         {group.at(other).name, {"127.0.0.1", 1}});
  core.TakeOutput();
  AgreementMessage reply;
  reply.set_to(core.replica());
  reply.set_from(77);
  reply.set_from_name(group.at(other).name);
  reply.mutable_hello_reply()->set_fresh(false);
  core.Receive(reply);
  const auto steps = core.TakeOutput().membership_steps;
  ASSERT_EQ(steps.size(), 1u);
  EXPECT_EQ(steps.front().code, ResultCode::kConnectFailed);
}

// Guards against an address in the log that ends every instance at each start.
TEST(AgreementSession, AnInstanceWithAMalformedAddressIsNotAdded) {
  for (const char* address : {"", "127.0.0.1:65536", "127.0.0.1:-1",
                              "127.0.0.1:", "127.0.0.1:99999999999999999999", "[[[[:1"}) {
    Cluster group(3, 17, TestOptions());
    ASSERT_TRUE(group.AwaitLeader());
    group.Run(milliseconds(200));
    RaftCore& core = *group.at(*group.LeaseHolder()).core;
    core.ProposeMembership(MembershipChangeKind::kAdd, {"d", {"127.0.0.1", 4}});
    core.TakeOutput();
    AgreementMessage reply;
    reply.set_to(core.replica());
    reply.set_from(77);
    reply.set_from_name("d");
    reply.set_from_address(address);
    reply.mutable_hello_reply()->set_fresh(true);
    core.Receive(reply);
    const auto steps = core.TakeOutput().membership_steps;
    ASSERT_EQ(steps.size(), 1u);
    EXPECT_EQ(steps.front().code, ResultCode::kConnectFailed) << address;
    EXPECT_EQ(core.log().replicas().replicas_size(), 3);
  }
}

TEST(AgreementSession, AGroupWithAMalformedAddressIsNotAppended) {
  Cluster group(3, 18, TestOptions());
  ASSERT_TRUE(group.AwaitLeader());
  group.Run(milliseconds(200));
  const std::size_t leader = *group.LeaseHolder();
  const RaftCore& leading = *group.at(leader).core;
  const std::size_t at = (leader + 1) % 3;
  RaftCore& core = *group.at(at).core;
  ReplicaSet set = core.log().replicas();
  set.mutable_replicas(0)->set_address("127.0.0.1:65536");
  AgreementMessage message;
  message.set_to(core.replica());
  message.set_from(leading.replica());
  message.set_from_name(group.at(leader).name);
  message.set_from_address("127.0.0.1:1");
  message.set_term(core.term());
  AppendRequest* append = message.mutable_append();
  append->set_previous_index(core.log().last_index());
  append->set_previous_term(core.log().last_term());
  LogEntry* entry = append->add_entries();
  entry->set_term(core.term());
  entry->set_index(core.log().last_index() + 1);
  entry->set_kind(LOG_ENTRY_MEMBERSHIP);
  entry->set_payload(set.SerializeAsString());
  const std::uint64_t before = core.log().last_index();
  core.Receive(message);
  EXPECT_EQ(core.log().last_index(), before);
  EXPECT_EQ(core.refused_messages(), 1u);
}

/// An entry of an earlier term may be replaced by a later leader although a majority has
/// it, so the count of replicas alone must not commit it.
TEST(AgreementSession, AnEntryOfAnEarlierTermIsNotCommittedByCounting) {
  AgreementOptions options = TestOptions();
  options.append_bytes = 1;
  Cluster cluster(3, 13, options);
  ASSERT_TRUE(cluster.AwaitLeader());
  cluster.Run(milliseconds(200));
  const std::size_t first = *cluster.LeaseHolder();
  const std::size_t committed = cluster.committed();
  cluster.Isolate(first);
  ASSERT_EQ(cluster.Propose(first).code, ResultCode::kOk);
  cluster.hook = [](const StepView& view) {
    if (view.message == nullptr || view.message->append().entries_size() == 0)
      return false;
    return view.message->append().entries(0).kind() == LOG_ENTRY_EMPTY;
  };
  const auto another_leads = [&] {
    return cluster.LeaseHolder().has_value() && cluster.LeaseHolder() != first;
  };
  ASSERT_TRUE(cluster.RunUntil(another_leads, seconds(20)));
  const std::size_t second = *cluster.LeaseHolder();
  cluster.Crash(second, CrashKind::kAfterSync);
  cluster.Rejoin();
  const auto first_leads = [&] { return cluster.LeaseHolder() == first; };
  ASSERT_TRUE(cluster.RunUntil(first_leads, seconds(20)));
  cluster.Run(milliseconds(200));
  EXPECT_EQ(cluster.at(3 - first - second).core->log().last_index(), committed + 1);
  EXPECT_EQ(cluster.committed(), committed);
  cluster.hook = nullptr;
  cluster.Crash(first, CrashKind::kAfterSync);
  cluster.Restart(second);
  ASSERT_TRUE(cluster.AwaitLeader());
  EXPECT_TRUE(cluster.Converges());
  EXPECT_TRUE(cluster.violations().empty());
}

/// Returns all messages of a session with a snapshot, a membership change, a read and a
/// handover.
std::vector<AgreementMessage> CollectMessages() {
  std::vector<AgreementMessage> messages;
  Cluster cluster(3, 9, TestOptions());
  cluster.hook = [&](const StepView& view) {
    if (view.message != nullptr) messages.push_back(*view.message);
    return false;
  };
  cluster.AwaitLeader();
  for (int n = 0; n < 5; ++n) cluster.Propose(*cluster.LeaseHolder());
  cluster.Run(milliseconds(100));
  cluster.Compact(*cluster.LeaseHolder());
  cluster.Crash(cluster.AddInstance(), CrashKind::kBeforeSync);
  cluster.Restart(3);
  cluster.ChangeMembership(*cluster.LeaseHolder(), true, 3);
  cluster.Read((*cluster.LeaseHolder() + 1) % 3);
  cluster.Run(seconds(1));
  cluster.Handover(*cluster.LeaseHolder());
  cluster.Run(seconds(1));
  return messages;
}

TEST(AgreementSession, CorruptMessagesNeitherThrowNorUndoACommit) {
  const std::vector<AgreementMessage> valid_messages = CollectMessages();
  ASSERT_GT(valid_messages.size(), 50u);
  rc::check("a changed message is handled or dropped", [&] {
    Cluster cluster(3, 9, TestOptions());
    cluster.AwaitLeader();
    cluster.Propose(*cluster.LeaseHolder());
    cluster.Run(milliseconds(100));
    RaftCore& core = *cluster.at(*rc::gen::inRange<std::size_t>(0, 3)).core;
    const std::uint64_t commit = core.commit_index();
    const std::uint64_t term = *core.log().TermAt(commit);
    for (int n = 0; n < 20; ++n) {
      AgreementMessage message = *rc::gen::elementOf(valid_messages);
      if (*rc::gen::inRange(0, 2) == 0) message.set_to(core.replica());
      std::string bytes = message.SerializeAsString();
      const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
      bytes[at] = *rc::gen::arbitrary<char>();
      if (*rc::gen::inRange(0, 4) == 0) bytes.resize(at);
      if (!message.ParseFromString(bytes)) continue;
      core.Receive(message);
      core.TakeOutput();
      core.Tick();
      core.TakeOutput();
    }
    RC_ASSERT(core.commit_index() >= commit);
    const auto local_term = core.log().TermAt(commit);
    RC_ASSERT(!local_term || *local_term == term);
  });
}

}  // namespace
}  // namespace quetzal::testing
