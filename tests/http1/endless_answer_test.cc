// A backend server in trouble sends bytes that are no answer, without end. The client
// gives the request up with an error, closes the connection and has kept a bounded number
// of bytes.
#include <atomic>
#include <string>

#include <gtest/gtest.h>

#include "http1/raw_peer.h"
#include "plugins/http1_beast/http1_transport.h"
#include "streams/recording_handler.h"

namespace quetzal {
namespace {

/// More than the socket buffers of both sides hold.
constexpr std::size_t kSentLimit = 64UL * 1024 * 1024;

struct EndlessCase {
  const char* name;
  const char* begin;
  const char* repeated;
};

class EndlessAnswerTest : public ::testing::TestWithParam<EndlessCase> {
 protected:
  ~EndlessAnswerTest() override { workers_.Stop(); }

  WorkerPool workers_{2};
  Http1Transport client_{&workers_};
};

TEST_P(EndlessAnswerTest, IsGivenUpAndItsConnectionClosed) {
  std::atomic<std::size_t> sent{0};
  std::atomic<bool> closed{false};
  RawServer server([&](RawServer::Socket& socket) {
    std::string rest;
    RawServer::ReadHead(socket, &rest);
    RawServer::Write(socket, GetParam().begin);
    std::string block;
    while (block.size() < 64UL * 1024) block += GetParam().repeated;
    boost::system::error_code ec;
    while (!ec && sent < kSentLimit) {
      sent += boost::asio::write(socket, boost::asio::buffer(block), ec);
    }
    closed = static_cast<bool>(ec);
  });
  auto handler = std::make_shared<RecordingHandler>();
  client_.Open(server.endpoint(), "/orders", {{":method", "GET"}, {":echo", "x-id=2"}},
               true, handler);
  EXPECT_NE(handler->WaitDone(), ResultCode::kOk);
  EXPECT_FALSE(handler->ended());
  EXPECT_LE(handler->body().size(), 64UL * 1024);
  for (int n = 0; n < 500 && !closed && sent < kSentLimit; ++n) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  EXPECT_TRUE(closed) << sent << " bytes were taken";
}

INSTANTIATE_TEST_SUITE_P(
    Bytes, EndlessAnswerTest,
    ::testing::Values(
        EndlessCase{"NoAnswer", "", "\x01\x02garbage"},
        EndlessCase{"StatusLine", "HTTP/1.1 200 ", "OK"},
        EndlessCase{"FieldValue", "HTTP/1.1 200 OK\r\nx-a: ", "b"},
        EndlessCase{"Fields", "HTTP/1.1 200 OK\r\n", "x-a: b\r\n"},
        EndlessCase{"InterimAnswers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
        EndlessCase{"EarlierAnswers", "",
                    "HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 0\r\n\r\n"},
        EndlessCase{"EarlierAnswer",
                    "HTTP/1.1 200 OK\r\nx-id: 1\r\ntransfer-encoding: chunked\r\n\r\n",
                    "4\r\nfour\r\n"},
        EndlessCase{"ChunkSize", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
                    "0"},
        EndlessCase{"ChunkExtension",
                    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4;a=", "b"},
        EndlessCase{"Trailers",
                    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
                    "x-a: b\r\n"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace quetzal
