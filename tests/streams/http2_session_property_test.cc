#include <future>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <nghttp2/nghttp2.h>
#include <rapidcheck/gtest.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "plugins/stream_nghttp2/nghttp2_transport.h"
#include "streams/recording_handler.h"

namespace quetzal {
namespace {

namespace asio = boost::asio;

constexpr char kOpenStreamPath[] = "/kept";
constexpr char kSplitPath[] = "/split";
constexpr std::size_t kMaxCuts = 16;

/// A raw connection to a listening transport.
class RawPeer {
 public:
  explicit RawPeer(const Endpoint& peer) {
    socket_.connect({asio::ip::make_address(peer.address), peer.port});
    socket_.set_option(asio::ip::tcp::no_delay(true));
  }

  void Send(const std::string& bytes) {
    boost::system::error_code ec;
    asio::write(socket_, asio::buffer(bytes), ec);
  }

  /// Shuts down the sending side and blocks until the peer closes the connection.
  void WaitClosed() {
    boost::system::error_code ec;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    std::string rest;
    asio::read(socket_, asio::dynamic_buffer(rest), ec);
  }

 private:
  asio::io_context context_;
  asio::ip::tcp::socket socket_{context_};
};

/// Returns the preface and settings of an nghttp2 client, followed by a complete request
/// with `body` to `path` unless `path` is empty.
std::string ClientBytes(const std::string& path, std::string body) {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session* session = nullptr;
  nghttp2_session_client_new(&session, callbacks, nullptr);
  nghttp2_session_callbacks_del(callbacks);
  nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, nullptr, 0);
  std::vector<std::pair<std::string, std::string>> fields = {
      {":method", "POST"}, {":scheme", "http"}, {":authority", "x"}, {":path", path}};
  std::vector<nghttp2_nv> list;
  for (auto& [name, value] : fields) {
    list.push_back({reinterpret_cast<std::uint8_t*>(name.data()),
                    reinterpret_cast<std::uint8_t*>(value.data()), name.size(),
                    value.size(), NGHTTP2_NV_FLAG_NONE});
  }
  nghttp2_data_provider provider{};
  provider.source.ptr = &body;
  provider.read_callback = [](nghttp2_session*, std::int32_t, std::uint8_t* buf,
                              std::size_t length, std::uint32_t* flags,
                              nghttp2_data_source* source, void*) -> ssize_t {
    auto* left = static_cast<std::string*>(source->ptr);
    const std::size_t n = left->copy(reinterpret_cast<char*>(buf), length);
    left->erase(0, n);
    if (left->empty()) *flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(n);
  };
  if (!path.empty()) {
    nghttp2_submit_request(session, nullptr, list.data(), list.size(), &provider,
                           nullptr);
  }
  std::string bytes;
  const std::uint8_t* data = nullptr;
  for (ssize_t n = 0; (n = nghttp2_session_mem_send(session, &data)) > 0;) {
    bytes.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(n));
  }
  nghttp2_session_del(session);
  return bytes;
}

/// Returns a frame with a valid length and arbitrary type, flags, stream and payload.
std::string ArbitraryFrame() {
  const auto payload = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
  const auto type = *rc::gen::inRange(0, 12);
  const auto flags = *rc::gen::inRange(0, 256);
  const auto stream = *rc::gen::inRange(0, 6);
  std::string frame;
  for (const int shift : {16, 8, 0}) {
    frame += static_cast<char>(payload.size() >> static_cast<unsigned>(shift));
  }
  frame += static_cast<char>(type);
  frame += static_cast<char>(flags);
  frame += std::string(3, '\0');
  frame += static_cast<char>(stream);
  return frame + payload;
}

class Http2SessionProperty : public ::testing::Test {
 protected:
  Http2SessionProperty()
      : peer_(server_.Listen({"127.0.0.1", 0},
                             [this](const std::string& path, const StreamHeaders&,
                                    const std::shared_ptr<Stream>& stream) {
                               return Accept(path, stream);
                             })) {}

  void TearDown() override { workers_.Stop(); }

  std::shared_ptr<StreamHandler> Accept(const std::string& path,
                                        const std::shared_ptr<Stream>& stream) {
    auto handler = std::make_shared<RecordingHandler>();
    if (path == kOpenStreamPath) open_stream_.set_value({stream, handler});
    if (path == kSplitPath) split_.set_value(handler);
    return handler;
  }

  struct OpenStream {
    std::shared_ptr<Stream> stream;
    std::shared_ptr<RecordingHandler> handler;
  };

  WorkerPool workers_{2};
  Nghttp2Transport server_{&workers_};
  Nghttp2Transport client_{&workers_};
  std::promise<OpenStream> open_stream_;
  std::promise<std::shared_ptr<RecordingHandler>> split_;
  Endpoint peer_;
};

TEST_F(Http2SessionProperty, ArbitraryBytesCloseOnlyTheirConnection) {
  auto handler = std::make_shared<RecordingHandler>();
  const auto stream =
      client_.Open(peer_, kOpenStreamPath, {{":method", "POST"}}, false, handler);
  const OpenStream open_stream = open_stream_.get_future().get();
  open_stream.stream->SendHeaders({{":status", "200"}}, false);
  std::size_t exchanged = 0;
  const bool passed = rc::check([&] {
    std::string bytes;
    if (*rc::gen::arbitrary<bool>()) bytes = ClientBytes("", "");
    const auto frames = *rc::gen::inRange<std::size_t>(0, 8);
    for (std::size_t n = 0; n < frames; ++n) bytes += ArbitraryFrame();
    bytes += *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    RawPeer raw(peer_);
    raw.Send(bytes);
    raw.WaitClosed();
    // A stream on another connection still carries one byte in each direction.
    ++exchanged;
    stream->SendData("q", false);
    open_stream.handler->WaitBody(exchanged);
    open_stream.stream->Consume(1);
    open_stream.stream->SendData("a", false);
    handler->WaitBody(exchanged);
    stream->Consume(1);
    RC_ASSERT(open_stream.handler->body() == std::string(exchanged, 'q'));
    RC_ASSERT(handler->body() == std::string(exchanged, 'a'));
  });
  EXPECT_TRUE(passed);
  EXPECT_GT(exchanged, 0U);
}

TEST_F(Http2SessionProperty, RequestDoesNotDependOnHowItsBytesAreSplit) {
  const bool passed = rc::check([this] {
    const auto body = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    const std::string bytes = ClientBytes(kSplitPath, body);
    const auto cuts = *rc::gen::container<std::vector<std::size_t>>(
        *rc::gen::inRange<std::size_t>(0, kMaxCuts),
        rc::gen::inRange<std::size_t>(1, bytes.size()));
    split_ = {};
    auto accepted = split_.get_future();
    RawPeer raw(peer_);
    std::size_t sent = 0;
    for (const std::size_t cut : cuts) {
      if (cut <= sent) continue;
      raw.Send(bytes.substr(sent, cut - sent));
      sent = cut;
    }
    raw.Send(bytes.substr(sent));
    const auto handler = accepted.get();
    RC_ASSERT(handler->WaitDone() == ResultCode::kOk);
    RC_ASSERT(handler->body() == body);
  });
  EXPECT_TRUE(passed);
}

}  // namespace
}  // namespace quetzal
