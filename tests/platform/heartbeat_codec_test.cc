#include "platform/heartbeat_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "base/result_code.h"

namespace quetzal::platform {
namespace {

constexpr char kHeartbeat[] =
    R"({"service":"desk","addr":"10.128.0.9:8080","zone":"haro","version":"v1",)"
    R"("slots":18,"state":"ready","coldLeftS":0.5,"seq":4,"born":1784739888000})";

std::string With(const std::string& from, const std::string& to) {
  std::string text = kHeartbeat;
  return text.replace(text.find(from), from.size(), to);
}

ResultCode CodeOf(const std::string& body) {
  try {
    DecodeHeartbeat("i-1", body);
  } catch (const Error& error) {
    return error.code();
  }
  return ResultCode::kOk;
}

// Guards against a server that counts as dead because of its version.
TEST(HeartbeatCodecTest, AHeartbeatWithoutAUsableVersionIsValid) {
  const std::string stated = R"("version":"v1",)";
  for (const std::string& other :
       {std::string(), std::string(R"("version":7,)"), std::string(R"("version":null,)"),
        std::string(R"("version":["v1"],)"),
        "\"version\":\"" + std::string(5000, 'v') + "\","}) {
    const ServerHeartbeat heartbeat = DecodeHeartbeat("i-1", With(stated, other));
    EXPECT_EQ(heartbeat.version, "");
    EXPECT_EQ(heartbeat.slots, 18U);
  }
}

TEST(HeartbeatCodecTest, ReadsAllFieldsOfAHeartbeat) {
  const ServerHeartbeat heartbeat = DecodeHeartbeat("i-7f3a91c2", kHeartbeat);
  EXPECT_EQ(heartbeat.id, "i-7f3a91c2");
  EXPECT_EQ(heartbeat.service, "desk");
  EXPECT_EQ(heartbeat.address, (Endpoint{"10.128.0.9", 8080}));
  EXPECT_EQ(heartbeat.slots, 18U);
  EXPECT_EQ(heartbeat.version, "v1");
  EXPECT_FALSE(heartbeat.leaving);
  EXPECT_EQ(heartbeat.sequence, 4U);
  EXPECT_EQ(heartbeat.start_time, std::chrono::milliseconds(1784739888000));
  EXPECT_TRUE(DecodeHeartbeat("i-1", With("ready", "draining")).leaving);
}

TEST(HeartbeatCodecTest, MalformedHeartbeatsAreRefused) {
  for (const std::string& body :
       {With(R"("slots":18)", R"("slots":"18")"), With(R"("slots":18)", R"("slots":0)"),
        With(R"("seq":4)", R"("seq":-4)"), With(R"("seq":4)", R"("seq":4.5)"),
        With(R"("state":"ready")", R"("state":"up")"),
        With(R"("state":"ready")", R"("state":1)"),
        With(R"("addr":"10.128.0.9:8080")", R"("addr":"host:8080")"),
        With(R"("service":"desk",)", ""), With("1784739888000", "\"now\""),
        With("1784739888000", "1.5"), std::string("{"), std::string("null")}) {
    EXPECT_EQ(CodeOf(body), ResultCode::kRequestMalformed) << body;
  }
}

TEST(HeartbeatCodecTest, ALeaveMayStateTheStartOfItsServer) {
  using std::chrono::milliseconds;
  EXPECT_EQ(DecodeLeave(R"({"born":1784739888000})"), milliseconds(1784739888000));
  for (const char* body :
       {"", "{}", "7", R"({"born":"5"})", R"({"born":-5})", "{\"born\"",
        R"({"born":1e999})", R"({"born":18446744073709551615})"}) {
    EXPECT_EQ(DecodeLeave(body), std::nullopt) << body;
  }
}

TEST(HeartbeatCodecTest, PathsOfServerRequests) {
  EXPECT_EQ(DecodeServerPath("/api/instances/i-1/heartbeat").server_id, "i-1");
  EXPECT_EQ(DecodeServerPath("/api/instances/i-1/leave").action, "leave");
  for (const char* path :
       {"", "/", "/api/instances/", "/api/instances//leave", "/api/instances/i-1",
        "/api/instances/i-1/stay", "/api/instances/i/1/leave", "/api/instances/leave"}) {
    EXPECT_EQ(DecodeServerPath(path).action, "") << path;
  }
}

TEST(HeartbeatCodecTest, ArbitraryBytesDecodeOrAreMalformed) {
  EXPECT_TRUE(rc::check([](const std::string& bytes) {
    const ResultCode code = CodeOf(bytes);
    RC_ASSERT(code == ResultCode::kOk || code == ResultCode::kRequestMalformed);
  }));
  EXPECT_TRUE(rc::check([](const std::string& path) { DecodeServerPath(path); }));
}

}  // namespace
}  // namespace quetzal::platform
