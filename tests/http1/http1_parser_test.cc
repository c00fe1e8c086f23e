#include "plugins/http1_beast/http1_parser.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace quetzal {
namespace {

/// Records the events of the parser.
class RecordingSink : public Http1Sink {
 public:
  void OnHead(Http1Head head) override {
    ++heads;
    target = std::move(head.target);
  }
  void OnBody(std::string_view bytes) override { body.append(bytes); }
  void OnMessageEnd() override { ++ends; }

  int heads = 0;
  int ends = 0;
  std::string target;
  std::string body;
};

TEST(Http1ParserTest, ResultDoesNotDependOnHowARequestIsSplit) {
  const std::string head =
      "POST http://h/a?b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n";
  EXPECT_TRUE(rc::check([&](const std::string& body, std::size_t cut) {
    std::string bytes = head;
    for (const char c : body) bytes += std::string("1;e=f\r\n") + c + "\r\n";
    bytes += "0\r\ntrailer: x\r\n\r\n";
    const std::size_t step = 1 + cut % 30;
    const Http1Options options;
    Http1Parser parser(Http1MessageKind::kRequest, options);
    RecordingSink sink;
    std::size_t used = 0;
    for (std::size_t n = 0; n < bytes.size(); n += step) {
      used += parser.Parse(std::string_view(bytes).substr(n, step), &sink);
    }
    RC_ASSERT(used == bytes.size());
    RC_ASSERT(parser.done());
    RC_ASSERT(sink.body == body);
    RC_ASSERT(sink.target == "/a?b");
    RC_ASSERT(sink.heads == 1);
    RC_ASSERT(sink.ends == 1);
  }));
}

TEST(Http1ParserTest, ArbitraryBytesGiveAMessageOrAnError) {
  const auto fragment = rc::gen::element<std::string>(
      "GET", "POST", " ", "/", "*", "HTTP/1.1", "HTTP/1.0", "200 OK", "\r\n", "\r\n\r\n",
      "\n", "host: h", "content-length: 3", "transfer-encoding: chunked", "3", "0", "abc",
      ":", std::string("\0", 1), "\xff", ";", ",", "\t");
  const auto message =
      rc::gen::element(Http1MessageKind::kRequest, Http1MessageKind::kAnswer,
                       Http1MessageKind::kAnswerToHead);
  EXPECT_TRUE(rc::check([&] {
    const auto kind = *message;
    const auto fragments = *rc::gen::container<std::vector<std::string>>(fragment);
    const Http1Options options;
    Http1Parser parser(kind, options);
    RecordingSink sink;
    try {
      for (const std::string& bytes : fragments) {
        std::string_view rest = bytes;
        while (!rest.empty() && !parser.done()) {
          const std::size_t used = parser.Parse(rest, &sink);
          RC_ASSERT(used <= rest.size());
          rest.remove_prefix(used);
        }
      }
      parser.ParseEnd(&sink);
    } catch (const Error& error) {
      RC_ASSERT(error.code() == ResultCode::kRequestMalformed ||
                error.code() == ResultCode::kRequestTooLarge);
    }
    RC_ASSERT(sink.heads <= 1);
    RC_ASSERT(sink.ends <= 1);
  }));
}

}  // namespace
}  // namespace quetzal
