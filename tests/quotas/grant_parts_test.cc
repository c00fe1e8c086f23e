#include "quotas/grant_parts.h"

#include <gtest/gtest.h>

namespace quetzal {
namespace {

std::vector<TeamShare> Shares(int count) {
  std::vector<TeamShare> shares(count);
  for (int n = 0; n < count; ++n) {
    shares[n].set_team("a-team-with-a-name-" + std::to_string(n));
    shares[n].set_per_second(1);
    shares[n].set_burst(1);
  }
  return shares;
}

// Teams that are missing from a grant are not limited: a part must never pass for a
// whole.
TEST(GrantPartsTest, CountsOnlyOnceAllPartsHaveArrived) {
  const auto parts = GrantParts::Split(7, Shares(100), 1000);
  ASSERT_GE(parts.size(), 3U);
  for (std::size_t lost = 0; lost <= parts.size(); ++lost) {
    GrantParts joined;
    std::optional<QuotaGrant> grant;
    for (std::size_t n = 0; n < parts.size(); ++n) {
      EXPECT_LE(parts[n].ByteSizeLong(), 1100U);
      if (n == lost) continue;
      if (auto whole = joined.Add("c", 1, parts[n])) grant = whole;
    }
    EXPECT_EQ(grant.has_value(), lost == parts.size()) << lost;
    EXPECT_EQ(grant ? grant->shares_size() : 100, 100) << lost;
  }
}

TEST(GrantPartsTest, OlderGrantsAndDuplicatesAreIgnored) {
  GrantParts joined;
  const auto later = GrantParts::Split(8, Shares(1), 1000);
  const auto earlier = GrantParts::Split(7, Shares(2), 1000);
  EXPECT_TRUE(joined.Add("c", 1, later[0]));
  EXPECT_FALSE(joined.Add("c", 1, later[0]));
  EXPECT_FALSE(joined.Add("c", 1, earlier[0]));
  // Another incarnation begins to count anew.
  EXPECT_TRUE(joined.Add("c", 2, earlier[0]));
}

TEST(GrantPartsTest, PartsOfTwoGrantsAreNotMixed) {
  GrantParts joined;
  const auto first = GrantParts::Split(1, Shares(100), 1000);
  const auto second = GrantParts::Split(2, Shares(100), 1000);
  EXPECT_FALSE(joined.Add("c", 1, first[0]));
  for (std::size_t n = 1; n < second.size(); ++n) {
    EXPECT_FALSE(joined.Add("c", 1, second[n]));
  }
}

TEST(GrantPartsTest, EmptyGrantIsOneMessage) {
  const auto parts = GrantParts::Split(1, {}, 1000);
  ASSERT_EQ(parts.size(), 1U);
  const auto grant = GrantParts().Add("c", 1, parts[0]);
  ASSERT_TRUE(grant);
  EXPECT_EQ(grant->valid_ms(), 1000U);
}

}  // namespace
}  // namespace quetzal
