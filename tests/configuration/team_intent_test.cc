#include "configuration/team_intent.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "base/result_code.h"
#include "configuration/configuration_limits.h"
#include "configuration/credential.h"
#include "configuration/intent_file.h"
#include "configuration/plan.h"
#include "configuration/team_change.h"

namespace quetzal {
namespace {

IntentContent Parse(const std::string& fields) {
  return ParseIntent("f.json", R"({"version": 1, )" + fields + "}");
}

std::string FaultOf(const std::string& fields) {
  try {
    Parse(fields);
  } catch (const Error& error) {
    EXPECT_EQ(error.code(), ResultCode::kIntentMalformed);
    return error.what();
  }
  return "";
}

constexpr char kTeams[] =
    R"("teams": [{"name": "rioja", "keys": ["k-2", "k-1"], "priority": 2,)"
    R"( "requests_per_second": 100, "burst": 12.5}, {"name": "soria", "keys": []}])";

TEST(TeamIntentTest, KeysAreKeptAsDigests) {
  const IntentContent content = Parse(kTeams);
  ASSERT_EQ(content.set_teams_size(), 2);
  const Team& team = content.set_teams(0);
  EXPECT_EQ(team.name(), "rioja");
  EXPECT_EQ(team.credential_digests_size(), 2);
  EXPECT_EQ(team.priority(), 2U);
  EXPECT_EQ(team.requests_per_second(), 100);
  EXPECT_EQ(team.burst(), 12.5);
  EXPECT_FALSE(content.set_teams(1).has_priority());
  EXPECT_EQ(content.SerializeAsString().find("k-1"), std::string::npos);
}

TEST(TeamIntentTest, ARouteMayBePublic) {
  const std::string route =
      R"("routes": [{"name": "r", "match": {"path_prefix": "/r"}, "idempotent": true,)"
      R"( "targets": [{"service": "a"}])";
  EXPECT_FALSE(Parse(route + "}]").set_routes(0).is_public());
  EXPECT_TRUE(Parse(route + R"(, "public": true}])").set_routes(0).is_public());
}

// Guards against a key in an error that an operator's terminal or a log shows.
TEST(TeamIntentTest, ErrorsShowNoKey) {
  const std::vector<std::string> bad = {
      R"("teams": [{"name": "rioja", "keys": "k-secret"}])",
      R"("teams": [{"name": "rioja", "keys": ["k-secret two"]}])",
      R"("teams": [{"name": "rioja", "keys": ["k-secret", "k-secret"]}])",
      R"("teams": [{"name": "rioja", "keys": [["k-secret"]]}])",
      R"("teams": [{"name": "rioja", "keys": ["k-secret)" +
          std::string(kMaxCredentialBytes, 'k') + R"("]}])",
      R"("teams": [{"name": "rioja", "keys": ["k-secret", 1]}])",
      R"("teams": [{"name": "rioja"}])",
      R"("teams": [{"name": "rioja", "keys": ["k-secret"], "priority": 10}])",
      R"("teams": [{"name": "rioja", "keys": ["k-secret"], "burst": -1}])",
      R"("teams": [{"name": "rioja", "keys": []}], "remove": {"teams": ["rioja"]})",
  };
  for (const std::string& fields : bad) {
    const std::string fault = FaultOf(fields);
    EXPECT_NE(fault, "") << fields;
    EXPECT_EQ(fault.find("secret"), std::string::npos) << fault;
  }
  EXPECT_EQ(FaultOf(R"("teams": [{"name": "rioja", "keys": ["k-secret two"]}])"),
            "f.json: /teams/0/keys/0: found a value that is not shown; allowed is a text "
            "of visible ASCII characters");
}

TEST(TeamChangeTest, ThePlanIsInPlainWords) {
  Configuration configuration;
  const Plan first = MakePlan(configuration, Parse(kTeams));
  EXPECT_EQ(first.Describe(), (std::vector<std::string>{
                                  "Team 'rioja' gets 2 keys and a quota of 100 "
                                  "requests a second and a burst of 12.5, priority 2.",
                                  "Team 'soria' gets no key and no quota."}));
  EXPECT_EQ(MakePlan(first.result, Parse(kTeams)).changes.size(), 0U);
  const Plan second =
      MakePlan(first.result,
               Parse(R"("teams": [{"name": "rioja", "keys": ["k-1", "k-3"],)"
                     R"( "requests_per_second": 50}], "remove": {"teams": ["soria"]})"));
  EXPECT_EQ(second.Describe(),
            (std::vector<std::string>{
                "Change the team 'rioja': 1 key added, 1 key withdrawn, a quota of 50 "
                "requests a second (before: a quota of 100 requests a second and a burst "
                "of 12.5), the priority of each route (before: priority 2).",
                "Remove the team 'soria': no key withdrawn."}));
  ASSERT_EQ(second.result.teams_size(), 1);
  EXPECT_EQ(second.result.teams(0).credential_digests_size(), 2);
}

TEST(TeamChangeTest, AKeyOfAnotherTeamIsRefusedWithoutTheKey) {
  const Plan first = MakePlan(Configuration(), Parse(kTeams));
  try {
    MakePlan(first.result, Parse(R"("teams": [{"name": "aro", "keys": ["k-1"]}])"));
    ADD_FAILURE() << "accepted";
  } catch (const Error& error) {
    EXPECT_STREQ(error.what(),
                 "The plan would break a rule: teams 'aro' and 'rioja' share a "
                 "credential.");
  }
}

}  // namespace
}  // namespace quetzal
