#include <future>

#include <boost/asio/post.hpp>

#include "http1/http1_server_fixture.h"

namespace quetzal {
namespace {

TEST(Http1TransportTest, StartAcceptingAfterDrainDoesNothing) {
  WorkerPool workers{2};
  Http1Transport server{&workers, ServerTestOptions()};
  server.Bind({"127.0.0.1", 0}, nullptr);
  server.Drain();
  EXPECT_NO_THROW(server.StartAccepting());
  workers.Stop();
}

TEST_F(Http1ServerTest, TransfersBodiesAndReusesTheConnection) {
  RawCaller caller(endpoint_);
  caller.Send("POST /orders?a=1 HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n\r\norder");
  Accepted first = WaitAccepted();
  EXPECT_EQ(first.path, "/orders?a=1");
  first.handler->WaitEnd();
  EXPECT_EQ(first.handler->body(), "order");
  first.stream->SendHeaders({{":status", "201"}}, false);
  first.stream->SendData("done", true);
  EXPECT_EQ(caller.ReadUntil("0\r\n\r\n"),
            "HTTP/1.1 201 Created\r\ntransfer-encoding: chunked\r\n\r\n"
            "4\r\ndone\r\n0\r\n\r\n");
  caller.Send("GET /b HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
  Accepted second = WaitAccepted();
  second.stream->SendHeaders({{":status", "200"}, {"content-length", "2"}}, false);
  second.stream->SendData("ok", true);
  EXPECT_EQ(caller.ReadAll(),
            "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok");
}

TEST(Http1HalfCloseTest, HalfCloseCancelsTheRequestWhenEnabled) {
  WorkerPool workers{2};
  Http1Options options;
  options.half_close_cancels = true;
  Http1Transport server{&workers, options};
  auto handler = std::make_shared<RecordingHandler>();
  std::shared_ptr<Stream> accepted_stream;
  const Endpoint endpoint = server.Listen(
      {"127.0.0.1", 0},
      [&](const std::string&, const StreamHeaders&, std::shared_ptr<Stream> stream) {
        accepted_stream = std::move(stream);
        return handler;
      });
  RawCaller caller(endpoint);
  caller.Send("GET / HTTP/1.1\r\nhost: h\r\n\r\n");
  handler->WaitEnd();
  caller.EndSending();
  EXPECT_EQ(handler->WaitReset(), ResultCode::kConnectionLost);
  workers.Stop();
}

TEST_F(Http1ServerTest, AnswerShorterThanItsLengthIsCut) {
  RawCaller caller(endpoint_);
  caller.Send("GET / HTTP/1.1\r\nhost: h\r\n\r\n");
  Accepted accepted = WaitAccepted();
  accepted.stream->SendHeaders({{":status", "200"}, {"content-length", "9"}}, false);
  accepted.stream->SendData("four", true);
  EXPECT_EQ(accepted.handler->WaitReset(), ResultCode::kAnswerCut);
  EXPECT_EQ(caller.ReadAll().find("0\r\n\r\n"), std::string::npos);
}

// Guards against a caller that gets no answer where one that cannot be written comes
// before the end of its request.
TEST_F(Http1ServerTest, AMalformedAnswerBeforeTheEndOfTheRequestIsReplaced) {
  RawCaller caller(endpoint_);
  caller.Send("POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\nfour");
  Accepted accepted = WaitAccepted();
  accepted.stream->SendHeaders({{":status", "200"}, {"x-field", "a\nb"}}, true);
  EXPECT_EQ(accepted.handler->WaitReset(), ResultCode::kInternalError);
  EXPECT_EQ(caller.ReadUntil("\r\n").find("HTTP/1.1 500 "), 0U);
}

TEST_F(Http1ServerTest, ResetAnswerHasNoFinalChunk) {
  RawCaller caller(endpoint_);
  caller.Send("GET / HTTP/1.1\r\nhost: h\r\n\r\n");
  Accepted accepted = WaitAccepted();
  accepted.stream->SendHeaders({{":status", "200"}}, false);
  accepted.stream->SendData("four", false);
  EXPECT_NE(caller.ReadUntil("four\r\n").find("four"), std::string::npos);
  accepted.stream->Reset();
  EXPECT_EQ(caller.ReadAll(), "");
}

TEST_F(Http1ServerTest, IncompleteAnswerToHttp10ResetsTheConnection) {
  RawCaller caller(endpoint_);
  caller.Send("GET / HTTP/1.0\r\n\r\n");
  Accepted accepted = WaitAccepted();
  accepted.stream->SendHeaders({{":status", "200"}}, false);
  accepted.stream->SendData("four", false);
  EXPECT_NE(caller.ReadUntil("four").find("four"), std::string::npos);
  accepted.stream->Reset();
  caller.ReadAll();
  EXPECT_TRUE(caller.broken());
}

TEST_F(Http1ServerTest, HalfClosedCallerGetsItsAnswer) {
  RawCaller caller(endpoint_);
  caller.Send("GET / HTTP/1.1\r\nhost: h\r\n\r\n");
  caller.EndSending();
  Accepted accepted = WaitAccepted();
  accepted.handler->WaitEnd();
  accepted.stream->SendHeaders({{":status", "200"}, {"content-length", "2"}}, false);
  accepted.stream->SendData("ok", true);
  const std::string answer = caller.ReadAll();
  EXPECT_EQ(answer.substr(answer.size() - 6), "\r\n\r\nok");
}

TEST_F(Http1ServerTest, BrokenConnectionResetsItsHandler) {
  RawCaller caller(endpoint_);
  caller.Send("GET / HTTP/1.1\r\nhost: h\r\n\r\n");
  Accepted accepted = WaitAccepted();
  caller.Break();
  EXPECT_EQ(accepted.handler->WaitReset(), ResultCode::kConnectionLost);
  EXPECT_EQ(server_.open_streams(), 0U);
}

TEST_F(Http1ServerTest, HalfCloseWithinARequestResetsItsHandler) {
  RawCaller caller(endpoint_);
  caller.Send("POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\nfour");
  Accepted accepted = WaitAccepted();
  caller.EndSending();
  EXPECT_EQ(accepted.handler->WaitReset(), ResultCode::kConnectionLost);
  EXPECT_FALSE(accepted.handler->ended());
}

TEST_F(Http1ServerTest, BodyWaitsForConsume) {
  RawCaller caller(endpoint_);
  const std::size_t window = Http1Options{}.window_bytes;
  const std::string body(8 * window, 'x');
  std::thread sender([&] {
    caller.Send("POST / HTTP/1.1\r\nhost: h\r\ncontent-length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
  });
  Accepted accepted = WaitAccepted();
  std::size_t consumed = 0;
  while (consumed < body.size()) {
    accepted.handler->WaitBody(consumed + 1);
    const std::size_t received = accepted.handler->body().size();
    EXPECT_LE(received - consumed, window);
    accepted.stream->Consume(received - consumed);
    consumed = received;
  }
  accepted.handler->WaitEnd();
  EXPECT_EQ(accepted.handler->body(), body);
  sender.join();
}

TEST_F(Http1ServerTest, AnswerWaitsForASlowCaller) {
  RawCaller caller(endpoint_);
  caller.Send("GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
  Accepted accepted = WaitAccepted();
  const std::string block(16UL * 1024 * 1024, 'x');
  accepted.stream->SendHeaders(
      {{":status", "200"}, {"content-length", std::to_string(block.size())}}, false);
  accepted.stream->SendData(block, true);
  const std::string answer = caller.ReadAll();
  EXPECT_EQ(answer.substr(answer.find("\r\n\r\n") + 4), block);
  accepted.handler->WaitWritable();
}

TEST_F(Http1ServerTest, DrainClosesAfterTheAnswerAndRefusesConnections) {
  RawCaller caller(endpoint_);
  caller.Send("GET / HTTP/1.1\r\nhost: h\r\n\r\n");
  Accepted accepted = WaitAccepted();
  server_.Drain();
  accepted.stream->SendHeaders({{":status", "200"}}, true);
  EXPECT_EQ(caller.ReadAll(),
            "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
  EXPECT_THROW(RawCaller{endpoint_}, boost::system::system_error);
}

TEST(Http1TransportTest, DrainServesConnectionsThatWaitToBeAccepted) {
  WorkerPool workers{1};
  Http1Transport server{&workers, ServerTestOptions()};
  const Endpoint endpoint =
      server.Listen({"127.0.0.1", 0}, [](const std::string&, const StreamHeaders&,
                                         const std::shared_ptr<Stream>& stream) {
        stream->SendHeaders({{":status", "200"}}, true);
        return std::make_shared<RecordingHandler>();
      });
  // The only worker is busy, so that the connections stay in the kernel's queue.
  std::promise<void> release;
  std::promise<void> busy;
  boost::asio::post(workers.context(), [&] {
    busy.set_value();
    release.get_future().wait();
  });
  busy.get_future().wait();
  std::deque<RawCaller> callers;
  for (int n = 0; n < 5; ++n) {
    callers.emplace_back(endpoint);
    callers.back().Send("GET / HTTP/1.1\r\nhost: h\r\n\r\n");
  }
  server.Drain();
  release.set_value();
  for (RawCaller& caller : callers) {
    EXPECT_EQ(caller.ReadAll(),
              "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
  }
  workers.Stop();
}

TEST_F(Http1ServerTest, ContinueIsSentWhenExpected) {
  RawCaller caller(endpoint_);
  caller.Send(
      "POST / HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\n");
  EXPECT_EQ(caller.ReadUntil("\r\n\r\n"), "HTTP/1.1 100 Continue\r\n\r\n");
  caller.Send("ok");
  WaitAccepted().handler->WaitEnd();
}

struct RefusalCase {
  const char* name;
  std::string bytes;
  const char* status;
  const char* result;
};

class Http1RefusalTest : public Http1ServerTest,
                         public ::testing::WithParamInterface<RefusalCase> {};

TEST_P(Http1RefusalTest, HasStatusAndResultCodeAndCloses) {
  RawCaller caller(endpoint_);
  caller.Send(GetParam().bytes);
  const std::string answer = caller.ReadAll();
  EXPECT_EQ(answer.substr(0, 12), std::string("HTTP/1.1 ") + GetParam().status);
  EXPECT_NE(answer.find(std::string("x-quetzal-result: ") + GetParam().result + " "),
            std::string::npos);
  EXPECT_NE(answer.find("connection: close\r\n"), std::string::npos);
  // No handler is called for a request that is refused because of its head.
  EXPECT_EQ(requests_, GetParam().status == std::string("404") ? 1 : 0);
}

std::string Request(const std::string& fields) {
  return "POST / HTTP/1.1\r\nhost: h\r\n" + fields + "\r\n\r\n0\r\n\r\n";
}

INSTANTIATE_TEST_SUITE_P(
    Requests, Http1RefusalTest,
    ::testing::Values(
        RefusalCase{"TwoLengths", Request("content-length: 5\r\ncontent-length: 6"),
                    "400", "6001"},
        RefusalCase{"TwoEqualLengths", Request("content-length: 5\r\ncontent-length: 5"),
                    "400", "6001"},
        RefusalCase{"LengthList", Request("content-length: 5, 5"), "400", "6001"},
        RefusalCase{"SignedLength", Request("content-length: +5"), "400", "6001"},
        RefusalCase{"LengthOverflow", Request("content-length: 99999999999999999999"),
                    "400", "6001"},
        RefusalCase{"LengthThenChunked",
                    Request("content-length: 5\r\ntransfer-encoding: chunked"), "400",
                    "6001"},
        RefusalCase{"ChunkedThenLength",
                    Request("transfer-encoding: chunked\r\ncontent-length: 5"), "400",
                    "6001"},
        RefusalCase{"OtherCoding", Request("transfer-encoding: gzip"), "400", "6001"},
        RefusalCase{"TwoCodings", Request("transfer-encoding: gzip, chunked"), "400",
                    "6001"},
        RefusalCase{"ChunkedTwice",
                    Request("transfer-encoding: chunked\r\ntransfer-encoding: chunked"),
                    "400", "6001"},
        RefusalCase{"CodingWithTab", Request("transfer-encoding: \x0b chunked"), "400",
                    "6001"},
        RefusalCase{"CodingInHttp10",
                    "POST / HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
                    "400", "6001"},
        RefusalCase{"SpaceBeforeColon", Request("content-length : 5"), "400", "6001"},
        RefusalCase{"BareLineFeed", "GET / HTTP/1.1\nhost: h\n\n", "400", "6001"},
        RefusalCase{"OneBareLineFeed", Request("x-a: 1\nx-b: 2"), "400", "6001"},
        RefusalCase{"BareCarriageReturn", Request("x-a: 1\rx-b: 2"), "400", "6001"},
        RefusalCase{"FoldedField", Request("x-a: 1\r\n b"), "400", "6001"},
        RefusalCase{"Nul", Request(std::string("x-a: 1\0b", 8)), "400", "6001"},
        RefusalCase{"NoHost", "GET / HTTP/1.1\r\n\r\n", "400", "6001"},
        RefusalCase{"TwoHosts", Request("host: i"), "400", "6001"},
        RefusalCase{"Connect", "CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n", "400", "6001"},
        RefusalCase{"Version", "GET / HTTP/2.0\r\nhost: h\r\n\r\n", "400", "6001"},
        RefusalCase{"Garbage", std::string(100, '\x16') + "\r\n\r\n", "400", "6001"},
        RefusalCase{"LargeHead", Request("x-a: " + std::string(20000, 'x')), "431",
                    "6002"},
        RefusalCase{"HeadWithoutEnd", "GET / HTTP/1.1\r\nx-a: " + std::string(20000, 'x'),
                    "431", "6002"},
        RefusalCase{"SlowHead", "GET / HTTP/1.1\r\nhost:", "408", "6003"},
        RefusalCase{"UnknownPath", "GET /unknown HTTP/1.1\r\nhost: h\r\n\r\n", "404",
                    "6013"}),
    [](const auto& info) { return info.param.name; });

class Http1BadChunkTest : public Http1ServerTest,
                          public ::testing::WithParamInterface<std::string> {};

TEST_P(Http1BadChunkTest, ResetsTheHandlerAndGets400) {
  RawCaller caller(endpoint_);
  caller.Send("POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n" +
              GetParam());
  EXPECT_EQ(WaitAccepted().handler->WaitReset(), ResultCode::kRequestMalformed);
  EXPECT_EQ(caller.ReadAll().substr(0, 12), "HTTP/1.1 400");
}

INSTANTIATE_TEST_SUITE_P(Chunks, Http1BadChunkTest,
                         ::testing::Values("x\r\n", "-1\r\n", "0x4\r\nfour\r\n\r\n",
                                           "4\nfour\r\n", "4\r\nfourfive\r\n",
                                           "11111111111111111\r\nx",
                                           "4;" + std::string(9000, 'e'),
                                           "0\r\ncontent-length: 4\r\n\r\n"));

}  // namespace
}  // namespace quetzal
