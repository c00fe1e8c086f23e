#include "calls/team_index.h"

#include <gtest/gtest.h>

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "configuration/credential.h"

namespace quetzal {
namespace {

TEST(TeamIndexTest, FindsTheTeamOfEachCredential) {
  auto configuration = std::make_shared<Configuration>();
  for (int n = 0; n < 20; ++n) {
    Team* team = configuration->add_teams();
    team->set_name("team-" + std::to_string(n));
    for (const char* key : {"a", "b", "c"}) {
      team->add_credential_digests(CredentialDigest(key + std::to_string(n)));
    }
  }
  const TeamIndex index(configuration);
  EXPECT_TRUE(index.has_teams());
  for (int n = 0; n < 20; ++n) {
    for (const char* key : {"a", "b", "c"}) {
      const Team* team = index.Find(key + std::to_string(n));
      ASSERT_NE(team, nullptr);
      EXPECT_EQ(team->name(), "team-" + std::to_string(n));
    }
  }
  EXPECT_EQ(index.Find("d0"), nullptr);
  EXPECT_EQ(index.Find(""), nullptr);
  EXPECT_EQ(index.Find(CredentialDigest("a0")), nullptr)
      << "a digest must not serve as a credential";
}

TEST(TeamIndexTest, WithoutTeamsNothingIsFound) {
  const TeamIndex index(std::make_shared<Configuration>());
  EXPECT_FALSE(index.has_teams());
  EXPECT_EQ(index.Find("a0"), nullptr);
}

std::size_t HeapBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/// 1,000 teams with ten keys each.
std::shared_ptr<const Configuration> ManyTeams() {
  auto configuration = std::make_shared<Configuration>();
  for (int n = 0; n < 1000; ++n) {
    Team* team = configuration->add_teams();
    team->set_name("team-" + std::to_string(n));
    std::vector<std::string> digests;
    for (int k = 0; k < 10; ++k) {
      digests.push_back(CredentialDigest(std::to_string(n) + "-" + std::to_string(k)));
    }
    std::sort(digests.begin(), digests.end());
    for (const std::string& digest : digests) team->add_credential_digests(digest);
  }
  return configuration;
}

// Guards against an index that takes a large part of a node's memory or of the time of a
// request. Prints the figures.
TEST(TeamIndexTest, AThousandTeamsWithTenKeysTakeLittle) {
  const std::size_t before = HeapBytes();
  const auto configuration = ManyTeams();
  const std::size_t with_configuration = HeapBytes();
  const TeamIndex index(configuration);
  const std::size_t with_index = HeapBytes();
  constexpr int kLookups = 20'000;
  int found = 0;
  const auto start = std::chrono::steady_clock::now();
  for (int n = 0; n < kLookups; ++n) {
    const std::string key = std::to_string(n % 1000) + "-" + std::to_string(n % 20);
    found += index.Find(key) == nullptr ? 0 : 1;
  }
  const auto each = (std::chrono::steady_clock::now() - start) / kLookups;
  std::cout << "teams: " << (with_configuration - before) / 1024
            << " KiB, index: " << (with_index - with_configuration) / 1024
            << " KiB, sent: " << configuration->ByteSizeLong() / 1024
            << " KiB, lookup: " << std::chrono::nanoseconds(each).count() << " ns\n";
  EXPECT_EQ(found, kLookups / 2);
  EXPECT_LT(with_index - before, std::size_t{4} * 1024 * 1024);
  EXPECT_LT(each, std::chrono::microseconds(100));
}

}  // namespace
}  // namespace quetzal
