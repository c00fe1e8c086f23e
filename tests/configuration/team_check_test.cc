#include "configuration/team_check.h"

#include <gtest/gtest.h>

#include <functional>
#include <limits>
#include <string>
#include <vector>

#include "base/result_code.h"
#include "configuration/configuration_check.h"
#include "configuration/configuration_limits.h"
#include "configuration/credential.h"

namespace quetzal {
namespace {

Configuration TwoTeams() {
  Configuration configuration;
  for (const char* name : {"rioja", "soria"}) {
    Team* team = configuration.add_teams();
    team->set_name(name);
    team->add_credential_digests(CredentialDigest(std::string("key of ") + name));
    team->set_requests_per_second(20.5);
    team->set_burst(40);
  }
  return configuration;
}

std::string FaultOf(const Configuration& configuration) {
  try {
    CheckConfiguration(configuration);
  } catch (const Error& error) {
    EXPECT_EQ(error.code(), ResultCode::kConfigurationInvalid);
    return error.what();
  }
  return "";
}

TEST(TeamCheckTest, AcceptsTeamsAndNoTeams) {
  EXPECT_NO_THROW(CheckTeams(Configuration()));
  EXPECT_NO_THROW(CheckTeams(TwoTeams()));
  Configuration configuration = TwoTeams();
  configuration.mutable_teams(0)->clear_credential_digests();
  EXPECT_NO_THROW(CheckTeams(configuration)) << "all credentials withdrawn";
}

struct Fault {
  std::string expected;
  std::function<void(Configuration*)> apply;
};

TEST(TeamCheckTest, NamesEveryFault) {
  const std::vector<Fault> faults = {
      {"'Rioja' is not a legal name",
       [](Configuration* c) { c->mutable_teams(0)->set_name("Rioja"); }},
      {"'rioja' is out of order or listed twice",
       [](Configuration* c) { c->mutable_teams(1)->set_name("rioja"); }},
      {"'aro' is out of order",
       [](Configuration* c) { c->mutable_teams(1)->set_name("aro"); }},
      {"no SHA-256 digest",
       [](Configuration* c) { c->mutable_teams(0)->add_credential_digests("plain"); }},
      {"credentials are out of order or listed twice",
       [](Configuration* c) {
         Team* team = c->mutable_teams(0);
         team->add_credential_digests(team->credential_digests(0));
       }},
      {"priority is 10",
       [](Configuration* c) { c->mutable_teams(0)->set_priority(kMaxPriority + 1); }},
      {"requests_per_second is -1",
       [](Configuration* c) { c->mutable_teams(0)->set_requests_per_second(-1); }},
      {"requests_per_second is nan",
       [](Configuration* c) {
         c->mutable_teams(0)->set_requests_per_second(
             std::numeric_limits<double>::quiet_NaN());
       }},
      {"burst is -0.5", [](Configuration* c) { c->mutable_teams(0)->set_burst(-0.5); }},
      {"number of credentials is 65",
       [](Configuration* c) {
         for (std::size_t n = 0; n < kMaxCredentialsOfTeam; ++n) {
           c->mutable_teams(0)->add_credential_digests("");
         }
       }},
  };
  for (const Fault& fault : faults) {
    Configuration configuration = TwoTeams();
    fault.apply(&configuration);
    EXPECT_NE(FaultOf(configuration).find(fault.expected), std::string::npos)
        << fault.expected << "; found: " << FaultOf(configuration);
  }
}

// Guards against a shared credential whose owner depends on the order of a list, and
// against an error that shows the credential.
TEST(TeamCheckTest, ASharedCredentialNamesBothTeams) {
  Configuration configuration = TwoTeams();
  *configuration.mutable_teams(1)->mutable_credential_digests() =
      configuration.teams(0).credential_digests();
  EXPECT_EQ(FaultOf(configuration), "teams 'rioja' and 'soria' share a credential");
}

TEST(CredentialTest, IsAWordOfVisibleCharacters) {
  EXPECT_TRUE(IsLegalCredential("q-1_.~+/=:"));
  EXPECT_TRUE(IsLegalCredential(std::string(kMaxCredentialBytes, 'k')));
  EXPECT_FALSE(IsLegalCredential(std::string(kMaxCredentialBytes + 1, 'k')));
  for (const std::string& text : {std::string(), std::string("a b"), std::string("a\tb"),
                                  std::string(1, '\0'), std::string("\xc3\xa9")}) {
    EXPECT_FALSE(IsLegalCredential(text));
  }
}

// The digest of "abc" in FIPS 180-2: other programs may compute the digests as well.
TEST(CredentialTest, TheDigestIsSha256) {
  const std::string digest = CredentialDigest("abc");
  ASSERT_EQ(digest.size(), kCredentialDigestBytes);
  EXPECT_EQ(digest.substr(0, 4), "\xba\x78\x16\xbf");
}

}  // namespace
}  // namespace quetzal
