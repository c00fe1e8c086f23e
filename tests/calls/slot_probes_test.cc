// Calls into a full service: probes that most likely find no free slot are left out.
#include "calls/slot_probes.h"

#include <gtest/gtest.h>

namespace quetzal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr SteadyTime kStart{seconds(100)};

TEST(SlotProbesTest, AFewFullServersChangeNothing) {
  SlotProbes probes;
  EXPECT_EQ(probes.Limit("desk", kStart), 4U);
  for (int n = 0; n < 10; ++n) probes.Record("desk", false, kStart);
  EXPECT_EQ(probes.Limit("desk", kStart), 4U);
}

TEST(SlotProbesTest, FewerInstancesOfAFullServiceAreProbed) {
  SlotProbes probes;
  for (int n = 0; n < 80; ++n) probes.Record("desk", n % 20 == 0, kStart);
  EXPECT_EQ(probes.Limit("desk", kStart), 2U);
  EXPECT_EQ(probes.Limit("other", kStart), 4U);
}

// Guards against a node that goes on queueing requests after the end of a burst.
TEST(SlotProbesTest, ARecoveryIsNoticedWithinASecond) {
  SlotProbes probes;
  for (int n = 0; n < 40; ++n) probes.Record("desk", false, kStart);
  EXPECT_EQ(probes.Limit("desk", kStart + seconds(2)), 4U);
  for (int n = 0; n < 20; ++n) probes.Record("desk", true, kStart + milliseconds(100));
  EXPECT_EQ(probes.Limit("desk", kStart + milliseconds(100)), 4U);
}

}  // namespace
}  // namespace quetzal
