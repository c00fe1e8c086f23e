#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "base/clock.h"
#include "membership/gossip_queue.h"
#include "membership/member_table.h"

namespace quetzal {
namespace {

Member Record(std::uint64_t incarnation, std::uint64_t sequence, MemberState state) {
  Member member;
  member.set_instance("haro-1");
  member.set_data_centre("haro");
  member.set_incarnation(incarnation);
  member.set_sequence(sequence);
  member.set_state(state);
  member.set_gossip_address("127.0.0.1:7000");
  member.set_stream_address("127.0.0.1:8000");
  return member;
}

Member ThirdPartyReport(std::uint64_t incarnation, std::uint64_t sequence,
                        MemberState state) {
  Member member = Record(incarnation, sequence, state);
  member.clear_gossip_address();
  member.clear_stream_address();
  return member;
}

TEST(MemberTable, RecordsMergeToTheSameResultInAnyOrder) {
  const std::vector<Member> updates = {Record(1, 1, MEMBER_ALIVE),
                                       ThirdPartyReport(1, 1, MEMBER_SUSPECT),
                                       ThirdPartyReport(1, 1, MEMBER_DEAD),
                                       Record(1, 2, MEMBER_LEAVING),
                                       ThirdPartyReport(1, 2, MEMBER_SUSPECT),
                                       Record(2, 1, MEMBER_ALIVE)};
  std::vector<int> order = {0, 1, 2, 3, 4, 5};
  do {
    MemberTable table;
    table.Merge(Record(1, 0, MEMBER_ALIVE), SteadyTime());
    for (const int n : order)
      table.Merge(updates[static_cast<std::size_t>(n)], SteadyTime());
    const MemberTable::Entry* entry = table.Find("haro-1");
    ASSERT_NE(entry, nullptr);
    EXPECT_EQ(entry->member.incarnation(), 2u);
    EXPECT_EQ(entry->member.state(), MEMBER_ALIVE);
  } while (std::next_permutation(order.begin(), order.end()));
}

TEST(MemberTable, ANewRecordRefutesADeathReport) {
  MemberTable table;
  table.Merge(Record(1, 1, MEMBER_ALIVE), SteadyTime());
  EXPECT_TRUE(table.Merge(ThirdPartyReport(1, 1, MEMBER_DEAD), SteadyTime()));
  EXPECT_FALSE(table.Merge(Record(1, 1, MEMBER_ALIVE), SteadyTime()));
  EXPECT_TRUE(table.Merge(Record(1, 2, MEMBER_ALIVE), SteadyTime()));
  EXPECT_EQ(table.Find("haro-1")->member.state(), MEMBER_ALIVE);
}

TEST(MemberTable, SuspicionKeepsTheOwnStateLeaving) {
  MemberTable table;
  table.Merge(Record(1, 2, MEMBER_LEAVING), SteadyTime());
  const std::uint64_t digest = table.Digest();
  table.Merge(ThirdPartyReport(1, 2, MEMBER_SUSPECT), SteadyTime());
  EXPECT_EQ(table.Find("haro-1")->own_state, MEMBER_LEAVING);
  EXPECT_EQ(table.Digest(), digest);
}

TEST(MemberTable, DigestIgnoresDeadMembers) {
  MemberTable empty;
  MemberTable table;
  table.Merge(Record(1, 1, MEMBER_ALIVE), SteadyTime());
  EXPECT_NE(table.Digest(), empty.Digest());
  table.Merge(ThirdPartyReport(1, 1, MEMBER_DEAD), SteadyTime());
  EXPECT_EQ(table.Digest(), empty.Digest());
}

// Guards against an update that is longer than a datagram and holds back all others.
TEST(GossipQueue, AnUpdateThatFitsNoDatagramIsSentAlone) {
  GossipQueue queue;
  Member large = Record(1, 1, MEMBER_ALIVE);
  ServerCrash* crash = large.mutable_server()->mutable_observations()->add_crashes();
  for (std::uint64_t n = 0; n < 200; ++n) crash->add_digests(n);
  queue.Add(large);
  Member other = Record(1, 1, MEMBER_ALIVE);
  other.set_instance("haro-2");
  queue.Add(other);
  std::map<std::string, int> sent;
  for (int n = 0; n < 100 && !queue.empty(); ++n) {
    GossipDatagram datagram;
    queue.Fill(1200, 12, true, &datagram);
    for (const Member& member : datagram.news()) ++sent[member.instance()];
  }
  EXPECT_TRUE(queue.empty());
  EXPECT_GT(sent["haro-1"], 0);
  EXPECT_EQ(sent["haro-1"], sent["haro-2"]);
}

TEST(GossipQueue, StaysWithinTheDatagramAndSendsEachUpdateEquallyOften) {
  GossipQueue queue;
  for (int n = 0; n < 100; ++n) {
    Member member = Record(1, 1, MEMBER_ALIVE);
    member.set_instance("haro-" + std::to_string(n));
    queue.Add(member);
  }
  std::map<std::string, int> sent_counts;
  while (!queue.empty()) {
    GossipDatagram datagram;
    queue.Fill(1200, 100, true, &datagram);
    EXPECT_LE(datagram.ByteSizeLong(), 1200u);
    ASSERT_GT(datagram.news_size(), 0);
    for (const Member& member : datagram.news()) ++sent_counts[member.instance()];
  }
  ASSERT_EQ(sent_counts.size(), 100u);
  for (const auto& [name, times] : sent_counts)
    EXPECT_EQ(times, sent_counts.begin()->second) << name;
}

}  // namespace
}  // namespace quetzal
