#include <gtest/gtest.h>

#include "distribution/proxy_ack.h"
#include "membership/version_order.h"

namespace quetzal {
namespace {

Version VersionOf(std::uint64_t term, std::uint64_t index) {
  Version version;
  version.set_term(term);
  version.set_index(index);
  return version;
}

ProxyAck SomeAck() {
  ProxyAck ack;
  ack.instance = "haro-1";
  ack.data_centre = "haro";
  ack.stream_address = "127.0.0.1:8000";
  ack.service = "taller";
  ack.incarnation = 7;
  ack.applied_version = VersionOf(2, 40);
  ack.state = MEMBER_LEAVING;
  return ack;
}

TEST(ProxyAck, EveryFieldRoundTrips) {
  ProxyAck ack = SomeAck();
  ack.refused_code = ResultCode::kDeltaBaseMismatch;
  ack.refused = VersionOf(2, 50);
  VersionCounts counts;
  counts.set_service("taller");
  counts.set_answered(12);
  ack.version_counts = {counts, VersionCounts()};
  const ProxyAck back = FromMessage(ToMessage(ack, std::chrono::milliseconds(1200)));
  EXPECT_EQ(back.instance, ack.instance);
  EXPECT_EQ(back.data_centre, ack.data_centre);
  EXPECT_EQ(back.stream_address, ack.stream_address);
  EXPECT_EQ(back.service, ack.service);
  EXPECT_EQ(back.incarnation, ack.incarnation);
  EXPECT_TRUE(IsSame(back.applied_version, ack.applied_version));
  EXPECT_EQ(back.state, ack.state);
  EXPECT_EQ(back.age, std::chrono::milliseconds(1200));
  EXPECT_EQ(back.refused_code, ack.refused_code);
  EXPECT_TRUE(IsSame(back.refused, ack.refused));
  ASSERT_EQ(back.version_counts.size(), 2U);
  EXPECT_EQ(back.version_counts[0].SerializeAsString(), counts.SerializeAsString());
}

TEST(ProxyAck, LeavesOutRefusalAndNegativeAge) {
  const NodeAck message = ToMessage(SomeAck(), std::chrono::milliseconds(-5));
  EXPECT_EQ(message.age_ms(), 0u);
  EXPECT_FALSE(message.has_refused());
  const ProxyAck back = FromMessage(message);
  EXPECT_EQ(back.refused_code, ResultCode::kOk);
  EXPECT_EQ(back.refused.index(), 0u);
}

}  // namespace
}  // namespace quetzal
