#include "distribution/record_witnesses.h"

#include <gtest/gtest.h>

namespace quetzal {
namespace {

Member MakeMember(const std::string& name, std::uint16_t port, bool control,
                  std::uint64_t incarnation = 1) {
  Member member;
  member.set_instance(name);
  member.set_data_centre("haro");
  member.set_incarnation(incarnation);
  member.set_sequence(1);
  member.set_gossip_address("127.0.0.1:" + std::to_string(port));
  member.set_stream_address("127.0.0.1:" + std::to_string(port));
  member.set_control(control);
  return member;
}

class RecordWitnessesTest : public testing::Test {
 protected:
  void Learn(const Member& member) {
    TableExchange answer;
    *answer.add_members() = member;
    membership_.OnExchangeReply({"127.0.0.1", 9}, answer.SerializeAsString());
  }
  std::vector<std::uint16_t> Due() {
    std::vector<std::uint16_t> ports;
    for (const Endpoint& witness : witnesses_.TakeDue()) ports.push_back(witness.port);
    return ports;
  }
  void Answer(std::uint16_t port, bool held = true) {
    witnesses_.OnAnswer({"127.0.0.1", port}, Current(), held);
  }
  RecordNumber Current() const { return NumberOf(membership_.self()); }
  bool Held() const { return witnesses_.Held(Current()); }

  ManualClock clock_;
  Random random_{1};
  Membership membership_{
      MembershipSettings(), MakeMember("a", 1, false), {}, &clock_, &random_};
  RecordWitnesses witnesses_{&membership_};
};

TEST_F(RecordWitnessesTest, WithoutMembersNobodyHoldsTheRecord) {
  EXPECT_TRUE(Due().empty());
  EXPECT_FALSE(Held());
}

TEST_F(RecordWitnessesTest, AMajorityOfTheControlInstancesHoldsIt) {
  for (std::uint16_t port = 2; port < 8; ++port) {
    Learn(MakeMember("m" + std::to_string(port), port, port < 5));
  }
  EXPECT_EQ(Due(), (std::vector<std::uint16_t>{2, 3, 4}));
  EXPECT_TRUE(Due().empty()) << "each is asked once at a time";
  Answer(2);
  EXPECT_FALSE(Held());
  Answer(3, false);
  EXPECT_FALSE(Held());
  EXPECT_EQ(Due(), std::vector<std::uint16_t>{3}) << "asked again";
  Answer(3);
  EXPECT_TRUE(Held());
}

TEST_F(RecordWitnessesTest, ThreeNodesHoldItWhereNoControlInstanceTakesPart) {
  for (std::uint16_t port = 2; port < 8; ++port) {
    Learn(MakeMember("m" + std::to_string(port), port, false));
  }
  const std::vector<std::uint16_t> due = Due();
  ASSERT_EQ(due.size(), 3U);
  Answer(due[0]);
  EXPECT_FALSE(Held());
  Answer(due[2]);
  EXPECT_TRUE(Held());
}

TEST_F(RecordWitnessesTest, ALaterRecordIsNotHeldYet) {
  Learn(MakeMember("c", 2, true));
  Due();
  Answer(2);
  const RecordNumber first = Current();
  EXPECT_TRUE(Held());
  BackendServer server;
  server.set_state(SERVER_LEAVING);
  membership_.SetServer(server);
  EXPECT_FALSE(Held());
  EXPECT_TRUE(witnesses_.Held(first));
  EXPECT_EQ(Due(), std::vector<std::uint16_t>{2});
}

// Guards against a witness that counts after it has lost its memory.
TEST_F(RecordWitnessesTest, AWitnessThatStartedAgainHoldsNothing) {
  Learn(MakeMember("c", 2, true));
  Due();
  Answer(2);
  Learn(MakeMember("c", 2, true, 2));
  EXPECT_FALSE(Held());
  EXPECT_EQ(Due(), std::vector<std::uint16_t>{2});
}

}  // namespace
}  // namespace quetzal
