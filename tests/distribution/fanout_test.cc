// A source and its subscribers; the test plays the subscribers on fake channels.
#include <map>
#include <set>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "distribution/fanout.h"
#include "membership/version_order.h"

namespace quetzal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct FakeChannel final : public MessageChannel {
  void Send(const std::string& bytes) override {
    sent.emplace_back();
    sent.back().ParseFromString(bytes);
  }
  void Close() override { closed = true; }
  std::size_t buffered_bytes() const override { return buffered; }
  std::vector<DownMessage> sent;
  std::size_t buffered = 0;
  bool closed = false;
};

Version At(std::uint64_t index) {
  Version version;
  version.set_term(1);
  version.set_index(index);
  return version;
}

std::shared_ptr<const Configuration> Configured(int slots) {
  auto configuration = std::make_shared<Configuration>();
  for (const char* name : {"desk", "sala", "taller"}) {
    Service* service = configuration->add_services();
    service->set_name(name);
    service->set_slots(10);
  }
  configuration->mutable_services(0)->set_slots(slots);
  return configuration;
}

class FanoutTest : public testing::Test {
 protected:
  FanoutTest() { Make(FanoutSettings()); }

  void Make(const FanoutSettings& settings) {
    Fanout::Callbacks callbacks;
    callbacks.on_ack = [this](const NodeAck& ack) { acks_.push_back(ack); };
    callbacks.verify = [this](std::uint64_t question) { questions_.push_back(question); };
    callbacks.gossip_addresses = [] {
      return std::vector<std::string>{"127.0.0.1:7000"};
    };
    callbacks.admit = [](const Subscribe&) { return ResultCode::kOk; };
    fanout_ =
        std::make_unique<Fanout>(settings, "control-0", &clock_, &random_, callbacks);
    fanout_->Publish(At(10), Measured(Configured(1)));
  }

  struct Peer {
    Fanout::SessionId id = 0;
    std::shared_ptr<FakeChannel> channel;
  };
  Peer Open() {
    Peer peer;
    peer.channel = std::make_shared<FakeChannel>();
    peer.id = fanout_->Open(peer.channel);
    return peer;
  }
  Peer Subscribed(const std::string& instance) {
    Peer peer = Open();
    UpMessage message;
    message.mutable_subscribe()->set_instance(instance);
    SendFrom(peer, message);
    return peer;
  }
  void SendFrom(const Peer& peer, const UpMessage& message) {
    fanout_->OnMessage(peer.id, message.SerializeAsString());
  }

  ManualClock clock_;
  Random random_{1};
  std::unique_ptr<Fanout> fanout_;
  std::vector<NodeAck> acks_;
  std::vector<std::uint64_t> questions_;
};

// A refused subscriber retries after the delay that the refusal names.
TEST_F(FanoutTest, DefaultLimitsAdmitFourteenHundredSubscribersAtOnce) {
  std::multimap<SteadyTime, int> due;
  const SteadyTime started = clock_.Now();
  for (int n = 0; n < 1400; ++n) due.emplace(started, n);
  std::set<int> admitted;
  while (!due.empty() && due.begin()->first < started + seconds(10)) {
    const auto [at, n] = *due.begin();
    due.erase(due.begin());
    if (at > clock_.Now()) clock_.Advance(at - clock_.Now());
    const Peer peer = Subscribed("node-" + std::to_string(n));
    if (peer.channel->sent[0].has_welcome()) {
      admitted.insert(n);
      continue;
    }
    ASSERT_TRUE(peer.channel->sent[0].has_refused());
    EXPECT_TRUE(peer.channel->closed);
    const auto wait = milliseconds(peer.channel->sent[0].refused().retry_after_ms());
    ASSERT_GE(wait, milliseconds(200));
    due.emplace(at + wait, n);
  }
  EXPECT_EQ(admitted.size(), 1400u);
  EXPECT_EQ(fanout_->sessions(), 1400u);
  EXPECT_GE(fanout_->refusals(), 900u);
  EXPECT_LT(clock_.Now() - started, seconds(5));
}

TEST_F(FanoutTest, RefusesSessionsAboveTheLimit) {
  FanoutSettings settings;
  settings.max_sessions = 3;
  Make(settings);
  for (int n = 0; n < 3; ++n) {
    EXPECT_TRUE(Subscribed("node-" + std::to_string(n)).channel->sent[0].has_welcome());
  }
  const Peer fourth = Subscribed("node-3");
  ASSERT_TRUE(fourth.channel->sent[0].has_refused());
  EXPECT_EQ(fourth.channel->sent[0].refused().code(),
            static_cast<std::uint32_t>(ResultCode::kOverloaded));
}

TEST_F(FanoutTest, ASlowSubscriberGetsOneUpdateWhenItsChannelHasDrained) {
  const Peer peer = Subscribed("node-0");
  peer.channel->buffered = FanoutSettings().max_session_buffered_bytes + 1;
  const std::size_t before = peer.channel->sent.size();
  fanout_->Publish(At(20), Measured(Configured(2)));
  fanout_->Publish(At(30), Measured(Configured(3)));
  EXPECT_EQ(peer.channel->sent.size(), before);
  peer.channel->buffered = 0;
  fanout_->SendHeartbeats();
  ASSERT_EQ(peer.channel->sent.size(), before + 2);
  const ConfigurationUpdate& update = peer.channel->sent[before].update();
  EXPECT_TRUE(IsSame(update.version(), At(30)));
  EXPECT_TRUE(IsSame(update.base(), At(10)));
}

TEST_F(FanoutTest, AResyncIsAnsweredWithASnapshot) {
  const Peer peer = Subscribed("node-0");
  peer.channel->buffered = FanoutSettings().max_session_buffered_bytes + 1;
  fanout_->Publish(At(20), Measured(Configured(2)));
  peer.channel->buffered = 0;
  UpMessage message;
  *message.mutable_resync()->mutable_held() = At(10);
  SendFrom(peer, message);
  EXPECT_TRUE(IsSame(peer.channel->sent.back().update().version(), At(20)));
  EXPECT_TRUE(peer.channel->sent.back().update().has_snapshot());
}

TEST_F(FanoutTest, SendsTheSnapshotWhenTheDeltaIsNotShorter) {
  const Peer peer = Subscribed("node-0");
  auto other = std::make_shared<Configuration>();
  other->add_services()->set_name("despensa");
  fanout_->Publish(At(20), Measured(other));
  EXPECT_TRUE(peer.channel->sent.back().update().has_snapshot());
}

TEST_F(FanoutTest, AnAnswerCoversOnlyQuestionsAskedBeforeIt) {
  const Peer first = Subscribed("node-0");
  const Peer second = Subscribed("node-1");
  UpMessage message;
  message.mutable_verify()->set_nonce(5);
  SendFrom(first, message);
  message.mutable_verify()->set_nonce(6);
  SendFrom(second, message);
  ASSERT_THAT(questions_, testing::SizeIs(1));
  const std::size_t before = second.channel->sent.size();
  fanout_->AnswerQuestion(questions_[0], true, At(10));
  EXPECT_EQ(first.channel->sent.back().verified().nonce(), 5u);
  EXPECT_EQ(second.channel->sent.size(), before);
  ASSERT_THAT(questions_, testing::SizeIs(2));
  fanout_->AnswerQuestion(questions_[0], true, At(10));
  EXPECT_EQ(second.channel->sent.size(), before);
  fanout_->AnswerQuestion(questions_[1], true, At(20));
  EXPECT_EQ(second.channel->sent.back().verified().nonce(), 6u);
}

TEST_F(FanoutTest, QuestionsStayUnansweredWithoutAQuorum) {
  const Peer peer = Subscribed("node-0");
  UpMessage message;
  message.mutable_verify()->set_nonce(5);
  SendFrom(peer, message);
  const std::size_t before = peer.channel->sent.size();
  fanout_->AnswerQuestion(questions_[0], false, At(10));
  EXPECT_EQ(peer.channel->sent.size(), before);
}

TEST_F(FanoutTest, AShortReportOfAnotherIncarnationIsIgnored) {
  const Peer peer = Subscribed("node-0");
  UpMessage message;
  NodeAck* ack = message.mutable_acks()->add_acks();
  ack->set_instance("node-0");
  ack->set_incarnation(1);
  *ack->mutable_held() = At(10);
  SendFrom(peer, message);
  ack->clear_held();
  ack->set_unchanged(true);
  ack->set_age_ms(70);
  SendFrom(peer, message);
  ASSERT_THAT(acks_, testing::SizeIs(2));
  EXPECT_TRUE(IsSame(acks_[1].held(), At(10)));
  EXPECT_EQ(acks_[1].age_ms(), 70u);
  ack->set_incarnation(2);
  SendFrom(peer, message);
  EXPECT_THAT(acks_, testing::SizeIs(2));
}

}  // namespace
}  // namespace quetzal
