#include "distribution/down_message.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace quetzal {
namespace {

DownMessage UpdateWithRoutes(int routes) {
  DownMessage message;
  message.mutable_update()->mutable_version()->set_index(7);
  for (int n = 0; n < routes; ++n) {
    Route* route = message.mutable_update()->mutable_delta()->add_set_routes();
    route->set_name("route-" + std::to_string(n));
    route->set_host("desk.example");
    route->set_path_prefix("/p" + std::to_string(n) + "/");
    route->add_targets()->set_service("desk");
  }
  return message;
}

TEST(DownMessageTest, UpdatesRoundTrip) {
  for (const int routes : {0, 1, 50, 2000}) {
    const DownMessage sent = UpdateWithRoutes(routes);
    DownMessage received;
    ASSERT_TRUE(DecodeDown(EncodeDown(sent), &received));
    EXPECT_EQ(received.SerializeAsString(), sent.SerializeAsString()) << routes;
  }
}

// Thousands of routes are added at once, over slow links.
TEST(DownMessageTest, LargeUpdatesTakeLessThanAQuarter) {
  const DownMessage sent = UpdateWithRoutes(2000);
  EXPECT_LT(4 * EncodeDown(sent).size(), sent.SerializeAsString().size());
}

TEST(DownMessageTest, OtherMessagesRoundTrip) {
  DownMessage sent;
  sent.mutable_beat()->add_path("core-1");
  DownMessage received;
  ASSERT_TRUE(DecodeDown(EncodeDown(sent), &received));
  EXPECT_EQ(received.beat().path(0), "core-1");
}

TEST(DownMessageTest, TruncatedAndMalformedBytesAreRejected) {
  const std::string bytes = EncodeDown(UpdateWithRoutes(2000));
  DownMessage received;
  EXPECT_FALSE(DecodeDown(bytes.substr(0, bytes.size() / 2), &received));
  EXPECT_TRUE(rc::check("no bytes crash the decoder", [](const std::string& content) {
    DownMessage packed;
    packed.set_packed_update(content);
    DownMessage decoded;
    RC_ASSERT(!DecodeDown(packed.SerializeAsString(), &decoded) || decoded.has_update());
  }));
}

}  // namespace
}  // namespace quetzal
