// The figures of a fleet of 1,400 nodes; guards against costs and delays that grow with
// it.

#include <gtest/gtest.h>

#include "quotas/quota_check.h"
#include "quotas/quota_fleet.h"

namespace quetzal {
namespace {

constexpr std::size_t kNodes = 1400;

TEST(QuotaLargeFleet, UsualLoadAndJump) {
  auto loads = Teams(13, 5);
  QuotaFleet fleet(kNodes, loads);
  fleet.RunUntil(22);
  Check(fleet, "usual load", kBegin, 13, loads);
  CheckRefused(fleet, kBegin, 13, loads.size(), 0);
  Check(fleet, "jump x5", 13, 22, loads);
}

TEST(QuotaLargeFleet, CoordinatorLost) {
  auto loads = Teams(0, kUsual);
  QuotaFleet fleet(kNodes, loads);
  fleet.RunUntil(10);
  fleet.Kill(fleet.CoordinatorOf(0));
  fleet.RunUntil(18);
  Check(fleet, "coordinator lost", 10, 18, loads);
  CheckRefused(fleet, 10, 18, 1, 10);
}

TEST(QuotaLargeFleet, DataCentreCutOff) {
  auto loads = Teams(11, 5);
  QuotaFleet fleet(kNodes, loads);
  fleet.RunUntil(12);
  fleet.Partition([](std::size_t n) { return n % 3 == 0 ? 1 : 0; });
  fleet.RunUntil(20);
  Check(fleet, "data centre cut off, x5", 12, 20, loads);
}

TEST(QuotaLargeFleet, TeamMovesToOtherNodes) {
  auto loads = Teams(0, kUsual, kUsual);
  for (Load& load : loads) {
    load.node = [](double seconds, double random) {
      return (seconds < 12 ? 0 : kNodes / 2) + static_cast<std::size_t>(random * 3);
    };
  }
  QuotaFleet fleet(kNodes, loads);
  fleet.RunUntil(18);
  Check(fleet, "moves, usual load", kBegin, 18, loads);
  CheckRefused(fleet, kBegin, 18, loads.size(), 0);
  std::printf(
      "%zu nodes, 3 teams: %.0f bytes/s sent by a node on average, %.0f by and to "
      "the busiest\n",
      fleet.size(), static_cast<double>(fleet.bytes()) / 18 / kNodes,
      static_cast<double>(fleet.busiest_node_bytes()) / 18);
}

}  // namespace
}  // namespace quetzal
