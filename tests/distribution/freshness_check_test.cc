#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "distribution/ack_table.h"
#include "distribution/freshness_check.h"
#include "membership/version_order.h"

namespace quetzal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Version At(std::uint64_t index) {
  Version version;
  version.set_term(1);
  version.set_index(index);
  return version;
}

VersionAnswer Answer(const std::string& instance, std::uint64_t applied,
                     std::uint64_t known) {
  VersionAnswer answer;
  answer.set_instance(instance);
  answer.set_vouched(true);
  *answer.mutable_held() = At(applied);
  *answer.mutable_known() = At(known);
  return answer;
}

class FreshnessCheckTest : public testing::Test {
 protected:
  ManualClock clock_;
  Random random_{1};
  FreshnessCheck freshness_check_{FreshnessCheck::Settings(), &clock_, &random_};
};

TEST_F(FreshnessCheckTest, NeedsAMajorityOfThePeersAsked) {
  freshness_check_.AskPeers({"a", "b", "c", "d"});
  const std::uint64_t round = freshness_check_.round();
  EXPECT_FALSE(freshness_check_.OnPeerAnswer(round, Answer("a", 5, 5)));
  EXPECT_FALSE(freshness_check_.OnPeerAnswer(round, Answer("a", 5, 5)));
  EXPECT_FALSE(freshness_check_.OnPeerAnswer(round, Answer("b", 4, 9)));
  const auto floor = freshness_check_.OnPeerAnswer(round, Answer("c", 7, 7));
  ASSERT_TRUE(floor);
  EXPECT_EQ(floor->index(), 9u);
}

TEST_F(FreshnessCheckTest, IgnoresAnswersOfAnEarlierRoundOrOfAnUnaskedPeer) {
  freshness_check_.AskPeers({"a"});
  const std::uint64_t round = freshness_check_.round();
  EXPECT_FALSE(freshness_check_.OnPeerAnswer(round, Answer("x", 5, 5)));
  freshness_check_.Begin();
  EXPECT_FALSE(freshness_check_.OnPeerAnswer(round, Answer("a", 5, 5)));
}

TEST_F(FreshnessCheckTest, AStalePeerDoesNotCount) {
  freshness_check_.AskPeers({"a"});
  VersionAnswer answer = Answer("a", 5, 5);
  answer.set_vouched(false);
  EXPECT_FALSE(freshness_check_.OnPeerAnswer(freshness_check_.round(), answer));
}

TEST_F(FreshnessCheckTest, WithoutPeersNothingIsConfirmed) {
  freshness_check_.AskPeers({});
  EXPECT_FALSE(
      freshness_check_.OnPeerAnswer(freshness_check_.round(), Answer("a", 5, 5)));
}

TEST_F(FreshnessCheckTest, IgnoresAnAnswerToAQuestionAskedBeforeBegin) {
  const std::uint64_t before = freshness_check_.DueQuestion();
  ASSERT_NE(before, 0u);
  EXPECT_EQ(freshness_check_.DueQuestion(), 0u);
  freshness_check_.Begin();
  EXPECT_FALSE(freshness_check_.OnVerified(before));
  const std::uint64_t after = freshness_check_.DueQuestion();
  EXPECT_TRUE(freshness_check_.OnVerified(after));
}

TEST_F(FreshnessCheckTest, AsksPeersOnlyAfterTheControlTimeout) {
  EXPECT_FALSE(freshness_check_.ShouldAskPeers());
  clock_.Advance(seconds(2));
  freshness_check_.OnQuorumBacked();
  clock_.Advance(seconds(2));
  EXPECT_FALSE(freshness_check_.ShouldAskPeers());
  clock_.Advance(seconds(2));
  EXPECT_TRUE(freshness_check_.ShouldAskPeers());
}

NodeAck Report(std::uint64_t incarnation, std::uint64_t applied, std::uint64_t age_ms) {
  NodeAck ack;
  ack.set_instance("haro-1");
  ack.set_incarnation(incarnation);
  ack.set_age_ms(age_ms);
  *ack.mutable_held() = At(applied);
  return ack;
}

TEST(AckTable, IgnoresAReportOfAnEarlierIncarnation) {
  AckTable table;
  const SteadyTime now{seconds(100)};
  table.RecordAck(Report(2, 0, 0), now);
  table.RecordAck(Report(1, 9, 0), now + seconds(1));
  const Acks acks = table.TakeChanged(true, now + seconds(1));
  ASSERT_EQ(acks.acks_size(), 1);
  EXPECT_EQ(acks.acks(0).incarnation(), 2u);
  EXPECT_EQ(acks.acks(0).held().index(), 0u);
}

TEST(AckTable, AnOlderReportDoesNotReplaceALaterOne) {
  AckTable table;
  const SteadyTime now{seconds(100)};
  table.RecordAck(Report(1, 9, 100), now);
  table.RecordAck(Report(1, 8, 5000), now + seconds(1));
  EXPECT_EQ(table.TakeChanged(true, now).acks(0).held().index(), 9u);
}

TEST(AckTable, ALaterVersionCountsHoweverLateTheEarlierReportArrived) {
  AckTable table;
  const SteadyTime now{seconds(100)};
  table.RecordAck(Report(1, 8, 0), now);
  table.RecordAck(Report(1, 9, 300), now + milliseconds(50));
  EXPECT_EQ(table.TakeChanged(true, now).acks(0).held().index(), 9u);
}

TEST(AckTable, ALaterIncarnationHasNoVersionUntilItReportsOne) {
  AckTable table;
  const SteadyTime now{seconds(100)};
  table.RecordAck(Report(1, 9, 0), now);
  Member member;
  member.set_instance("haro-1");
  member.set_incarnation(2);
  member.set_state(MEMBER_DEAD);
  table.RecordMemberState(member, now);
  const Acks acks = table.TakeChanged(false, now);
  ASSERT_EQ(acks.acks_size(), 1);
  EXPECT_EQ(acks.acks(0).incarnation(), 2u);
  EXPECT_EQ(acks.acks(0).held().index(), 0u);
  EXPECT_EQ(acks.acks(0).state(), MEMBER_DEAD);
}

TEST(AckTable, IgnoresTheMemberStateOfAnEarlierIncarnation) {
  AckTable table;
  const SteadyTime now{seconds(100)};
  table.RecordAck(Report(2, 9, 0), now);
  Member member;
  member.set_instance("haro-1");
  member.set_incarnation(1);
  member.set_state(MEMBER_DEAD);
  table.RecordMemberState(member, now);
  const Acks acks = table.TakeChanged(true, now);
  ASSERT_EQ(acks.acks_size(), 1);
  EXPECT_EQ(acks.acks(0).incarnation(), 2u);
  EXPECT_EQ(acks.acks(0).state(), MEMBER_ALIVE);
}

TEST(AckTable, ForwardsTheAgeOfEachReport) {
  AckTable table;
  const SteadyTime now{seconds(100)};
  table.RecordAck(Report(1, 9, 250), now);
  EXPECT_EQ(table.TakeChanged(false, now + milliseconds(50)).acks(0).age_ms(), 300u);
  EXPECT_EQ(table.Ages(now + seconds(2)).acks(0).age_ms(), 2250u);
  EXPECT_EQ(table.TakeChanged(false, now).acks_size(), 0);
}

}  // namespace
}  // namespace quetzal
