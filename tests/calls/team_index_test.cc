#include "calls/team_index.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

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

}  // namespace
}  // namespace quetzal
