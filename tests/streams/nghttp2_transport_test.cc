#include "plugins/stream_nghttp2/nghttp2_transport.h"

#include <future>

#include <gtest/gtest.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "streams/recording_handler.h"

namespace quetzal {
namespace {

Endpoint AnyPort() { return {"127.0.0.1", 0}; }

/// An accepted stream and its handler.
struct Accepted {
  std::string path;
  std::shared_ptr<Stream> stream;
  std::shared_ptr<RecordingHandler> handler = std::make_shared<RecordingHandler>();
};

class Nghttp2TransportTest : public ::testing::Test {
 protected:
  Endpoint Listen() {
    return server_.Listen(
        AnyPort(),
        [this](const std::string& path, const StreamHeaders&,
               std::shared_ptr<Stream> stream) -> std::shared_ptr<StreamHandler> {
          if (path == "/unknown") return nullptr;
          Accepted accepted{path, std::move(stream)};
          auto handler = accepted.handler;
          accepted_.set_value(std::move(accepted));
          return handler;
        });
  }

  std::shared_ptr<Stream> Open(const Endpoint& peer, const std::string& path, bool end) {
    return client_.Open(peer, path, {{":method", "POST"}, {"x-test", "1"}}, end,
                        handler_);
  }

  Accepted WaitAccepted() {
    Accepted accepted = accepted_.get_future().get();
    accepted_ = {};
    return accepted;
  }

  std::promise<Accepted> accepted_;
  std::shared_ptr<RecordingHandler> handler_ = std::make_shared<RecordingHandler>();
  WorkerPool workers_{2};
  Nghttp2Transport server_{&workers_};
  Nghttp2Transport client_{&workers_};

  void TearDown() override { workers_.Stop(); }
};

TEST_F(Nghttp2TransportTest, TransfersHeadersAndBodiesInBothDirections) {
  const Endpoint peer = Listen();
  const auto stream = Open(peer, "/echo", false);
  stream->SendData("question", true);
  Accepted accepted = WaitAccepted();
  EXPECT_EQ(accepted.path, "/echo");
  accepted.handler->WaitEnd();
  EXPECT_EQ(accepted.handler->body(), "question");
  accepted.stream->SendHeaders({{":status", "203"}, {"x-answer", "yes"}}, false);
  accepted.stream->SendData("answer", true);
  EXPECT_EQ(handler_->WaitDone(), ResultCode::kOk);
  EXPECT_EQ(handler_->header(":status"), "203");
  EXPECT_EQ(handler_->header("x-answer"), "yes");
  EXPECT_EQ(handler_->body(), "answer");
}

TEST_F(Nghttp2TransportTest, UnknownPathIsRefusedWithItsCode) {
  Open(Listen(), "/unknown", true);
  EXPECT_EQ(handler_->WaitDone(), ResultCode::kOk);
  EXPECT_EQ(handler_->header("x-qz-code"), "6013");
}

TEST_F(Nghttp2TransportTest, ClosedPortIsConnectFailed) {
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor closed_port(
      context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  const Endpoint peer{"127.0.0.1", closed_port.local_endpoint().port()};
  closed_port.close();
  Open(peer, "/echo", true);
  EXPECT_EQ(handler_->WaitReset(), ResultCode::kConnectFailed);
}

TEST_F(Nghttp2TransportTest, PortInUseIsAnError) {
  const Endpoint taken = Listen();
  try {
    client_.Listen(taken, nullptr);
    FAIL() << "the port is taken";
  } catch (const Error& error) {
    EXPECT_EQ(error.code(), ResultCode::kPortTaken);
  }
}

TEST_F(Nghttp2TransportTest, ResetReachesThePeer) {
  const auto stream = Open(Listen(), "/echo", false);
  Accepted accepted = WaitAccepted();
  stream->Reset();
  EXPECT_EQ(accepted.handler->WaitReset(), ResultCode::kStreamReset);
}

TEST_F(Nghttp2TransportTest, SenderWaitsForConsume) {
  const auto stream = Open(Listen(), "/echo", false);
  const std::size_t window = Http2Options{}.stream_window_bytes;
  const std::string block(16 * window, 'x');
  stream->SendData(block, true);
  Accepted accepted = WaitAccepted();
  accepted.handler->WaitBody(window);
  // Nothing was consumed: exactly one window arrived, the rest is buffered at the sender.
  EXPECT_EQ(accepted.handler->body().size(), window);
  EXPECT_EQ(stream->buffered_bytes(), block.size() - window);
  for (std::size_t n = window; n <= block.size(); n += window) {
    accepted.handler->WaitBody(n);
    accepted.stream->Consume(window);
  }
  accepted.handler->WaitEnd();
  handler_->WaitWritable();
  EXPECT_EQ(accepted.handler->body(), block);
  EXPECT_EQ(stream->buffered_bytes(), 0U);
}

TEST_F(Nghttp2TransportTest, SenderOverTheBufferLimitIsReset) {
  const auto stream = Open(Listen(), "/echo", false);
  const std::string block(Http2Options{}.max_buffered_bytes, 'x');
  for (int n = 0; n < 4; ++n) stream->SendData(block, false);
  EXPECT_EQ(handler_->WaitReset(), ResultCode::kOverloaded);
}

TEST_F(Nghttp2TransportTest, DrainRefusesNewStreamsAndFinishesOpenOnes) {
  const Endpoint peer = Listen();
  Open(peer, "/echo", true);
  Accepted accepted = WaitAccepted();
  server_.Drain();
  // The new stream is not processed, whether it is sent before or after the GOAWAY
  // arrives.
  const auto late = std::make_shared<RecordingHandler>();
  client_.Open(peer, "/echo", {{":method", "POST"}}, true, late);
  EXPECT_EQ(late->WaitReset(), ResultCode::kConnectFailed);
  accepted.stream->SendHeaders({{":status", "200"}}, false);
  accepted.stream->SendData("whole", true);
  EXPECT_EQ(handler_->WaitDone(), ResultCode::kOk);
  EXPECT_EQ(handler_->body(), "whole");
}

TEST_F(Nghttp2TransportTest, HeadersOverTheLimitResetTheStream) {
  const std::string large(80UL * 1024, 'x');
  client_.Open(Listen(), "/echo", {{":method", "POST"}, {"x-large", large}}, true,
               handler_);
  EXPECT_NE(handler_->WaitReset(), ResultCode::kOk);
}

TEST_F(Nghttp2TransportTest, UnresponsivePeerIsDetectedByPing) {
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor unresponsive(
      context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  Http2Options options;
  options.ping_after = std::chrono::milliseconds(1);
  options.ping_timeout = std::chrono::milliseconds(1);
  Nghttp2Transport client(&workers_, options);
  client.Open({"127.0.0.1", unresponsive.local_endpoint().port()}, "/echo",
              {{":method", "POST"}}, true, handler_);
  EXPECT_EQ(handler_->WaitReset(), ResultCode::kConnectionLost);
  workers_.Stop();
}

TEST_F(Nghttp2TransportTest, InvalidBytesCloseOnlyTheirConnection) {
  const Endpoint peer = Listen();
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket(context);
  socket.connect({boost::asio::ip::make_address(peer.address), peer.port});
  boost::asio::write(socket, boost::asio::buffer(std::string(4096, '\x7f')));
  std::string answer;
  boost::system::error_code ec;
  boost::asio::read(socket, boost::asio::dynamic_buffer(answer), ec);
  EXPECT_TRUE(ec);
  Open(peer, "/unknown", true);
  EXPECT_EQ(handler_->WaitDone(), ResultCode::kOk);
}

}  // namespace
}  // namespace quetzal
