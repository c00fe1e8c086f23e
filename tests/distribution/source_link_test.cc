// The link to the source; the test plays the sources on fake channels.
#include <deque>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "distribution/source_link.h"

namespace quetzal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class QueueExecutor final : public Executor {
 public:
  void Post(std::function<void()> task) override { tasks_.push_back(std::move(task)); }
  std::unique_ptr<Timer> After(Duration /*delay*/, std::function<void()>) override {
    return nullptr;
  }
  std::unique_ptr<Timer> Every(Duration /*period*/, std::function<void()>) override {
    return nullptr;
  }
  void Run() {
    while (!tasks_.empty()) {
      auto task = std::move(tasks_.front());
      tasks_.pop_front();
      task();
    }
  }

 private:
  std::deque<std::function<void()>> tasks_;
};

struct FakeChannel final : public MessageChannel {
  void Send(const std::string& message) override { sent.push_back(message); }
  void Close() override { closed = true; }
  std::size_t buffered_bytes() const override { return 0; }
  std::vector<std::string> sent;
  bool closed = false;
  Endpoint peer;
  std::shared_ptr<MessageChannelHandler> handler;
};

struct FakeChannels final : public MessageChannels {
  std::shared_ptr<MessageChannel> Open(
      const Endpoint& peer, const std::string& /*path*/,
      std::shared_ptr<MessageChannelHandler> handler) override {
    opened.push_back(std::make_shared<FakeChannel>());
    opened.back()->peer = peer;
    opened.back()->handler = std::move(handler);
    return opened.back();
  }
  void Accept(const std::string& /*path*/, Acceptor /*acceptor*/) override {}
  std::vector<std::shared_ptr<FakeChannel>> opened;
};

class SourceLinkTest : public testing::Test {
 protected:
  SourceLinkTest() {
    SourceLink::Callbacks callbacks;
    callbacks.subscribe = [] { return Subscribe(); };
    callbacks.on_message = [this](const DownMessage& message) {
      ++(message.has_update() ? updates_ : others_);
    };
    callbacks.on_lost = [this] { ++lost_; };
    callbacks.on_addresses = [](const std::vector<std::string>&) {};
    link_ = std::make_shared<SourceLink>(SourceLinkSettings(), "haro-1", &channels_,
                                         &executor_, &clock_, &random_, callbacks);
    link_->SetCandidates({{relay_, true, "haro-2"}, {control_, false, ""}});
    link_->Tick();
  }

  void Receive(const DownMessage& message) { Receive(channels_.opened.back(), message); }
  void Receive(const std::shared_ptr<FakeChannel>& channel, const DownMessage& message) {
    channel->handler->OnMessage(message.SerializeAsString());
    executor_.Run();
  }
  static DownMessage Welcomed() {
    DownMessage message;
    message.mutable_welcome();
    return message;
  }
  static DownMessage HeartbeatOf(bool quorum_backed,
                                 const std::vector<std::string>& path) {
    DownMessage message;
    message.mutable_beat()->set_rooted(quorum_backed);
    for (const auto& name : path) message.mutable_beat()->add_path(name);
    return message;
  }
  void RunFor(Duration span) {
    for (Duration passed{0}; passed < span; passed += milliseconds(100)) {
      clock_.Advance(milliseconds(100));
      link_->Tick();
      executor_.Run();
    }
  }

  const Endpoint relay_{"127.0.0.1", 8001};
  const Endpoint control_{"127.0.0.1", 8002};
  ManualClock clock_;
  Random random_{1};
  QueueExecutor executor_;
  FakeChannels channels_;
  std::shared_ptr<SourceLink> link_;
  int updates_ = 0;
  int others_ = 0;
  int lost_ = 0;
};

TEST_F(SourceLinkTest, LeavesASourceWhosePathContainsThisInstance) {
  Receive(Welcomed());
  Receive(HeartbeatOf(true, {"control-0", "haro-1", "haro-2"}));
  EXPECT_FALSE(link_->open());
  EXPECT_TRUE(channels_.opened[0]->closed);
  RunFor(seconds(3));
  EXPECT_EQ(channels_.opened[1]->peer, control_);
}

TEST_F(SourceLinkTest, LeavesAnUnresponsiveSource) {
  Receive(Welcomed());
  Receive(HeartbeatOf(true, {"control-0", "haro-2"}));
  EXPECT_TRUE(link_->quorum_backed());
  RunFor(seconds(4));
  EXPECT_TRUE(channels_.opened[0]->closed);
  EXPECT_EQ(lost_, 1);
}

TEST_F(SourceLinkTest, LeavesASourceWithoutAQuorum) {
  Receive(Welcomed());
  for (int n = 0; n < 5; ++n) {
    Receive(channels_.opened[0], HeartbeatOf(false, {"haro-2"}));
    RunFor(seconds(1));
  }
  EXPECT_TRUE(channels_.opened[0]->closed);
}

TEST_F(SourceLinkTest, AppliesUpdatesOfTheOldSourceUntilTheNewOneAnswers) {
  link_->SetCandidates({{control_, false, ""}});
  RunFor(seconds(4));
  const auto first = channels_.opened.back();
  ASSERT_EQ(first->peer, control_);
  Receive(Welcomed());
  link_->SetCandidates({{relay_, true, "haro-2"}, {control_, false, ""}});
  for (int n = 0; n < 200 && channels_.opened.back() == first; ++n) {
    Receive(first, HeartbeatOf(true, {"control-0"}));
    RunFor(milliseconds(100));
  }
  ASSERT_EQ(channels_.opened.back()->peer, relay_);
  EXPECT_FALSE(first->closed);
  const int others = others_;
  Receive(first, HeartbeatOf(true, {"control-0"}));
  EXPECT_EQ(others_, others);
  DownMessage update;
  update.mutable_update();
  Receive(first, update);
  EXPECT_EQ(updates_, 1);
  Receive(Welcomed());
  EXPECT_TRUE(first->closed);
  Receive(first, update);
  EXPECT_EQ(updates_, 1);
}

TEST_F(SourceLinkTest, WaitsForTheRetryDelayOfARefusal) {
  DownMessage message;
  message.mutable_refused()->set_retry_after_ms(1500);
  Receive(message);
  RunFor(milliseconds(1400));
  EXPECT_EQ(channels_.opened.size(), 1u);
  RunFor(milliseconds(700));
  EXPECT_EQ(channels_.opened.size(), 2u);
}

TEST_F(SourceLinkTest, StaysWithASourceForAWhileAfterARoundOfFailures) {
  for (std::size_t n = 0; n < 3; ++n) {
    ASSERT_EQ(channels_.opened.size(), n + 1);
    channels_.opened[n]->handler->OnClosed(ResultCode::kConnectionLost);
    executor_.Run();
    RunFor(milliseconds(900));
  }
  ASSERT_EQ(channels_.opened.size(), 4u);
  const auto source = channels_.opened.back();
  ASSERT_EQ(source->peer, control_);
  Receive(Welcomed());
  const auto stay = [&](int passes) {
    for (int n = 0; n < passes; ++n) {
      link_->SetCandidates({{relay_, true, "haro-2"}, {control_, false, ""}});
      if (channels_.opened.size() == 4u)
        Receive(source, HeartbeatOf(true, {"control-0"}));
      RunFor(seconds(1));
    }
  };
  stay(12);
  EXPECT_EQ(channels_.opened.size(), 4u);
  stay(5);
  ASSERT_GE(channels_.opened.size(), 5u);
  EXPECT_EQ(channels_.opened[4]->peer, relay_);
}

TEST_F(SourceLinkTest, ConnectsWhenEverySourceAnswersAfterTheFirstTimeout) {
  const Duration answer_after = milliseconds(2500);
  for (int n = 0; n < 300 && !link_->open(); ++n) {
    const auto channel = channels_.opened.back();
    const std::size_t opened = channels_.opened.size();
    RunFor(answer_after);
    if (opened == channels_.opened.size()) Receive(channel, Welcomed());
  }
  EXPECT_TRUE(link_->open());
}

TEST_F(SourceLinkTest, AnUnresponsiveSourceDelaysTheNextOneByOneTimeout) {
  RunFor(milliseconds(1100));
  EXPECT_TRUE(channels_.opened[0]->closed);
  RunFor(milliseconds(200));
  ASSERT_EQ(channels_.opened.size(), 2u);
  RunFor(milliseconds(700));
  EXPECT_FALSE(channels_.opened[1]->closed);
  RunFor(milliseconds(600));
  EXPECT_TRUE(channels_.opened[1]->closed);
}

}  // namespace
}  // namespace quetzal
