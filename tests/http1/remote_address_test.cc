// The pseudo field with the address of the caller's connection.
#include <atomic>
#include <future>

#include <gtest/gtest.h>

#include "http1/raw_peer.h"
#include "plugins/http1_beast/http1_transport.h"
#include "streams/recording_handler.h"

namespace quetzal {
namespace {

class RemoteAddressTest : public ::testing::Test {
 protected:
  RemoteAddressTest() {
    endpoint_ =
        server_.Listen({"127.0.0.1", 0},
                       [this](const std::string& /*path*/, const StreamHeaders& headers,
                              const std::shared_ptr<Stream>& stream) {
                         if (++requests_ == 1) headers_.set_value(headers);
                         stream->SendHeaders({{":status", "204"}}, true);
                         return std::make_shared<RecordingHandler>();
                       });
  }
  ~RemoteAddressTest() override { workers_.Stop(); }

  std::atomic<int> requests_{0};
  std::promise<StreamHeaders> headers_;
  WorkerPool workers_{2};
  Http1Transport server_{&workers_, Http1Options()};
  Endpoint endpoint_;
};

TEST_F(RemoteAddressTest, ARequestStatesTheAddressOfItsConnection) {
  RawCaller caller(endpoint_);
  caller.Send("GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
  const StreamHeaders headers = headers_.get_future().get();
  EXPECT_EQ(HeaderValue(headers, ":remote-address"), "127.0.0.1");
  EXPECT_EQ(HeaderValue(headers, ":method"), "GET");
  caller.ReadAll();
}

// Guards against callers whose requests would go before those of all others.
TEST_F(RemoteAddressTest, ACallerCannotStateAnotherAddress) {
  RawCaller caller(endpoint_);
  caller.Send(
      "GET / HTTP/1.1\r\nhost: h\r\n:remote-address: 10.0.1.1\r\n"
      "connection: close\r\n\r\n");
  EXPECT_NE(caller.ReadAll().find("HTTP/1.1 400"), std::string::npos);
  EXPECT_EQ(requests_, 0);
}

}  // namespace
}  // namespace quetzal
