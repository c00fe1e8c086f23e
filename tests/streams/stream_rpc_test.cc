#include <future>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "net/message_framing.h"
#include "net/stream_message_channels.h"
#include "net/stream_rpc_client.h"
#include "net/stream_rpc_server.h"
#include "plugins/datagram_asio/asio_datagram_socket.h"
#include "plugins/stream_nghttp2/nghttp2_transport.h"

namespace quetzal {
namespace {

Endpoint AnyPort() { return {"127.0.0.1", 0}; }
constexpr std::chrono::seconds kGenerousTimeout{30};

struct Reply {
  ResultCode code;
  std::string body;
};

class StreamRpcTest : public ::testing::Test {
 protected:
  StreamRpcTest() { peer_ = server_.Listen(AnyPort(), router_.acceptor()); }
  ~StreamRpcTest() override { workers_.Stop(); }

  Reply Call(const std::string& method, std::string request,
             Duration timeout = kGenerousTimeout) {
    auto promise = std::make_shared<std::promise<Reply>>();
    auto future = promise->get_future();
    rpc_client_.Call(peer_, method, std::move(request), timeout,
                     [promise](ResultCode code, std::string body) {
                       promise->set_value({code, std::move(body)});
                     });
    return future.get();
  }

  SystemClock client_clock_;
  ManualClock server_clock_;
  HybridClock client_time_{&client_clock_};
  HybridClock server_time_{&server_clock_};
  StreamRouter router_;
  WorkerPool workers_{2};
  std::unique_ptr<Executor> executor_ = workers_.MakeExecutor();
  Nghttp2Transport server_{&workers_};
  Nghttp2Transport client_{&workers_};
  StreamRpcServer rpc_server_{&router_, &server_time_};
  StreamRpcClient rpc_client_{&client_, executor_.get(), &client_time_};
  StreamMessageChannels client_channels_{&client_, &router_, &client_time_};
  StreamMessageChannels server_channels_{&server_, &router_, &server_time_};
  Endpoint peer_;
};

TEST_F(StreamRpcTest, ReturnsBodyOrCode) {
  rpc_server_.Serve("/t/echo", [](const std::string& request, const RpcReply& reply) {
    reply(ResultCode::kOk, request);
  });
  rpc_server_.Serve("/t/refuse", [](const std::string&, const RpcReply& reply) {
    reply(ResultCode::kNotLeader, "");
  });
  rpc_server_.Serve("/t/throw", [](const std::string&, const RpcReply&) {
    throw Error(ResultCode::kMessageMalformed, "no");
  });
  const std::string large(300000, 'y');
  EXPECT_EQ(Call("/t/echo", large).body, large);
  EXPECT_EQ(Call("/t/echo", "").code, ResultCode::kOk);
  EXPECT_EQ(Call("/t/refuse", "x").code, ResultCode::kNotLeader);
  EXPECT_EQ(Call("/t/throw", "x").code, ResultCode::kMessageMalformed);
  EXPECT_EQ(Call("/t/none", "x").code, ResultCode::kMethodUnknown);
}

TEST_F(StreamRpcTest, RequestThatIsTooLargeIsRefused) {
  rpc_server_.Serve("/t/echo", [](const std::string& request, const RpcReply& reply) {
    reply(ResultCode::kOk, request);
  });
  EXPECT_EQ(Call("/t/echo", std::string(kMaxMessageBytes + 1, 'y')).code,
            ResultCode::kMessageMalformed);
}

TEST_F(StreamRpcTest, TimesOutWithoutAReply) {
  std::promise<void> reset;
  RpcReply unanswered_reply;
  rpc_server_.Serve("/t/hang", [&](const std::string&, RpcReply reply) {
    unanswered_reply = std::move(reply);
  });
  EXPECT_EQ(Call("/t/hang", "x", std::chrono::milliseconds(20)).code,
            ResultCode::kTimeout);
}

TEST_F(StreamRpcTest, HybridTimeIsExchangedInBothDirections) {
  server_clock_.SkewWall(std::chrono::hours(1000000));
  rpc_server_.Serve("/t/echo", [](const std::string& request, const RpcReply& reply) {
    reply(ResultCode::kOk, request);
  });
  const HybridTime cause = server_time_.Tick();
  EXPECT_EQ(Call("/t/echo", "x").code, ResultCode::kOk);
  EXPECT_LT(cause, client_time_.Tick());
}

/// Collects the messages of a channel and the code with which it closed.
class Collector : public MessageChannelHandler {
 public:
  explicit Collector(std::size_t wanted) : wanted_(wanted) {}
  void OnMessage(const std::string& message) override {
    messages.push_back(message);
    if (messages.size() == wanted_) complete.set_value();
  }
  void OnClosed(ResultCode code) override { closed.set_value(code); }

  std::vector<std::string> messages;
  std::promise<void> complete;
  std::promise<ResultCode> closed;

 private:
  std::size_t wanted_;
};

TEST_F(StreamRpcTest, ChannelDeliversMessagesInOrderInBothDirections) {
  auto at_server = std::make_shared<Collector>(3);
  const auto at_client = std::make_shared<Collector>(2);
  std::promise<std::shared_ptr<MessageChannel>> accepted;
  server_channels_.Accept("/t/channel", [&](std::shared_ptr<MessageChannel> channel) {
    accepted.set_value(std::move(channel));
    return at_server;
  });
  const auto channel = client_channels_.Open(peer_, "/t/channel", at_client);
  const std::string large(200000, 'z');
  channel->Send("one");
  channel->Send("");
  channel->Send(large);
  const auto back = accepted.get_future().get();
  back->Send("four");
  back->Send("five");
  at_server->complete.get_future().get();
  at_client->complete.get_future().get();
  EXPECT_EQ(at_server->messages, (std::vector<std::string>{"one", "", large}));
  EXPECT_EQ(at_client->messages, (std::vector<std::string>{"four", "five"}));
  channel->Close();
  EXPECT_EQ(at_server->closed.get_future().get(), ResultCode::kOk);
  EXPECT_EQ(at_client->closed.get_future().get(), ResultCode::kOk);
}

TEST_F(StreamRpcTest, UnknownChannelIsClosedWithMethodUnknown) {
  const auto handler = std::make_shared<Collector>(1);
  client_channels_.Open(peer_, "/t/none", handler);
  EXPECT_EQ(handler->closed.get_future().get(), ResultCode::kMethodUnknown);
}

TEST(MessageFramingTest, LengthThatIsTooLargeIsAnError) {
  FrameReader reader;
  EXPECT_THROW(
      reader.Append("\xff\xff\xff\xff", [](const HybridTime&, const std::string&) {}),
      Error);
}

TEST(MessageFramingTest, MessagesDoNotDependOnHowTheBytesAreSplit) {
  EXPECT_TRUE(rc::check([](const std::vector<std::string>& messages, std::size_t cut) {
    const HybridTime sent{5, 6};
    std::string bytes;
    for (const auto& message : messages) bytes += FrameMessage(sent, message);
    const std::size_t step = 1 + cut % 40;
    FrameReader reader;
    std::vector<std::string> received;
    for (std::size_t n = 0; n < bytes.size(); n += step) {
      reader.Append(std::string_view(bytes).substr(n, step),
                    [&](const HybridTime& time, const std::string& message) {
                      RC_ASSERT(time == sent);
                      received.push_back(message);
                    });
    }
    RC_ASSERT(received == messages);
    RC_ASSERT(reader.empty());
  }));
}

TEST(MessageFramingTest, ArbitraryBytesGiveMessagesOrAnError) {
  EXPECT_TRUE(rc::check([](const std::string& bytes) {
    FrameReader reader(64);
    std::size_t total = 0;
    try {
      reader.Append(bytes, [&](const HybridTime&, const std::string& message) {
        total += message.size();
      });
    } catch (const Error& error) {
      RC_ASSERT(error.code() == ResultCode::kMessageMalformed);
    }
    RC_ASSERT(total <= bytes.size());
  }));
}

TEST(AsioDatagramSocketTest, DeliversDatagramsWithTheSendersAddress) {
  WorkerPool workers(1);
  AsioDatagramSocket first(&workers);
  AsioDatagramSocket second(&workers);
  std::promise<std::pair<Endpoint, std::string>> received;
  const Endpoint from = first.Bind(AnyPort(), [](const Endpoint&, const std::string&) {});
  const Endpoint to =
      second.Bind(AnyPort(), [&](const Endpoint& from, std::string bytes) {
        received.set_value({from, std::move(bytes)});
      });
  EXPECT_THROW(AsioDatagramSocket(&workers).Bind(to, nullptr), Error);
  first.Send(to, "hello");
  const auto [sender, bytes] = received.get_future().get();
  EXPECT_EQ(sender, from);
  EXPECT_EQ(bytes, "hello");
  workers.Stop();
}

}  // namespace
}  // namespace quetzal
