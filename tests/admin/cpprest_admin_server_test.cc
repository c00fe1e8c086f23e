#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <string>

#include "base/result_code.h"
#include "http1/raw_peer.h"
#include "net/admin_server.h"

namespace quetzal {
namespace {

class CpprestAdminServerTest : public testing::Test {
 protected:
  CpprestAdminServerTest() : server_(AdminServerRegistry::Instance().Create("cpprest")) {
    address_ = server_->Listen({"127.0.0.1", 0}, [this](const AdminRequest& request,
                                                        const AdminReply& reply) {
      ++requests_;
      const auto id = request.query.find("id");
      reply({200, "text/plain",
             request.method + " " + request.path + " " +
                 (id == request.query.end() ? "-" : id->second) + " " + request.body});
    });
  }

  ~CpprestAdminServerTest() override { server_->Stop(); }

  /// Sends raw bytes and returns everything that the server sends until it closes.
  std::string Send(const std::string& bytes) const {
    RawCaller caller(address_);
    caller.Send(bytes);
    caller.EndSending();
    return caller.ReadAll();
  }

  std::atomic<int> requests_{0};
  std::unique_ptr<AdminServer> server_;
  Endpoint address_;
};

TEST_F(CpprestAdminServerTest, PassesRequestsToTheHandler) {
  EXPECT_NE(address_.port, 0);
  const std::string answer = Send(
      "POST /v1/x%20y?id=1-a%26b HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
      "Connection: close\r\n\r\nbody");
  EXPECT_NE(answer.find("200 OK"), std::string::npos) << answer;
  EXPECT_NE(answer.find("POST /v1/x y 1-a&b body"), std::string::npos) << answer;
}

TEST_F(CpprestAdminServerTest, RefusesBodiesThatAreTooLargeOrOfUnknownLength) {
  const std::string large = Send(
      "POST /v1/intents HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n"
      "Connection: close\r\n\r\n");
  EXPECT_NE(large.find("413"), std::string::npos) << large;
  const std::string chunked = Send(
      "POST /v1/intents HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
      "Connection: close\r\n\r\n1\r\nx\r\n0\r\n\r\n");
  EXPECT_NE(chunked.find("400"), std::string::npos) << chunked;
  EXPECT_EQ(requests_, 0);
}

TEST_F(CpprestAdminServerTest, ServesRequestsAfterInvalidHttp) {
  for (const char* bytes :
       {"\r\n\r\n", "GET\r\n\r\n", "\xff\xfe\r\n\r\n", "GET /%zz?%=% HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length: -1\r\nConnection: close\r\n\r\n"}) {
    Send(bytes);
  }
  const std::string answer =
      Send("GET /v1/status HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  EXPECT_NE(answer.find("GET /v1/status - "), std::string::npos) << answer;
}

TEST_F(CpprestAdminServerTest, AddressInUseIsReported) {
  const auto second = AdminServerRegistry::Instance().Create("cpprest");
  try {
    second->Listen(address_, [](const AdminRequest&, const AdminReply&) {});
    ADD_FAILURE() << "the second server listens on an address in use";
  } catch (const Error& error) {
    EXPECT_EQ(error.code(), ResultCode::kPortTaken);
  }
}

}  // namespace
}  // namespace quetzal
