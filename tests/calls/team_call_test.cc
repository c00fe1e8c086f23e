// Requests of teams: the coordinating node checks the credential, and servers get the
// name of the team.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "calls/sim_cluster.h"
#include "configuration/configuration_limits.h"
#include "configuration/credential.h"

namespace quetzal {
namespace {

using std::chrono::milliseconds;

constexpr char kKey[] = "k-5ec7e7-rioja";

class TeamCallTest : public testing::Test {
 protected:
  TeamCallTest() {
    AddTeam("rioja", kKey);
    AddTeam("soria", "k-soria");
    for (Route& route : *cluster_.configuration.mutable_routes()) {
      route.set_keyless(true);
      route.set_attempts(2);
    }
    cluster_.Distribute();
  }

  void AddTeam(const std::string& name, const std::string& key) {
    Team* team = cluster_.configuration.add_teams();
    team->set_name(name);
    team->add_credential_digests(CredentialDigest(key));
  }

  std::shared_ptr<AnswerRecorder> Send(const StreamHeaders& fields,
                                       const std::string& body = "report",
                                       const std::string& path = "/reports/7") {
    auto received = cluster_.Send(0, "GET", path, "", body, fields);
    cluster_.Run(milliseconds(100));
    return received;
  }

  /// Header fields of the one request that a server has got.
  StreamHeaders ServerFields() const {
    for (const auto& server : cluster_.servers) {
      if (server->total_runs() > 0) return server->last_headers;
    }
    return {};
  }

  static std::string Bearer(const std::string& key) { return "Bearer " + key; }

  SimCluster cluster_{2};
};

TEST_F(TeamCallTest, TheServerGetsTheTeamInsteadOfTheCredential) {
  const auto received =
      Send({{"authorization", Bearer(kKey)}, {"x-quetzal-team", "forged"}});
  EXPECT_TRUE(received->has_server_answer()) << received->body;
  const StreamHeaders fields = ServerFields();
  EXPECT_EQ(HeaderValue(fields, "authorization"), "");
  int teams = 0;
  for (const auto& [name, value] : fields) {
    if (name != "x-quetzal-team") continue;
    ++teams;
    EXPECT_EQ(value, "rioja");
  }
  EXPECT_EQ(teams, 1);
}

// Guards against a request that runs without a credential, or with one that no team has.
TEST_F(TeamCallTest, WithoutAKnownCredentialNothingRuns) {
  const std::string large(std::size_t{64} * 1024, 'k');
  for (const StreamHeaders& fields : std::vector<StreamHeaders>{
           {},
           {{"authorization", "Bearer unknown"}},
           {{"authorization", kKey}},
           {{"authorization", "Basic " + std::string(kKey)}},
           {{"authorization", "Bearer \xff\xfe\x01"}},
           {{"authorization", Bearer(large)}},
           {{"x-quetzal-team", "rioja"}},
           {{"authorization", Bearer(kKey)}, {"authorization", "Bearer k-soria"}},
           {{"authorization", Bearer(kKey)}, {"connection", "authorization"}}}) {
    const auto received = Send(fields);
    EXPECT_TRUE(received->reports_not_run()) << received->body;
    EXPECT_EQ(received->status(), "401");
    EXPECT_EQ(received->result(), static_cast<int>(ResultCode::kCredentialUnknown));
    EXPECT_EQ(HeaderValue(received->headers, "retry-after"), "");
  }
  EXPECT_EQ(cluster_.runs("report"), 0);
  EXPECT_EQ(cluster_.nodes[0].path->counts().credential_unknown, 9U);
  EXPECT_EQ(cluster_.nodes[0].path->counts().refused, 9U);
}

TEST_F(TeamCallTest, ARepeatedFieldWithOneCredentialIsServed) {
  EXPECT_TRUE(Send({{"authorization", Bearer(kKey)}, {"authorization", Bearer(kKey)}})
                  ->has_server_answer());
}

TEST_F(TeamCallTest, WithoutARouteTheCredentialCountsFirst) {
  EXPECT_EQ(Send({}, "report", "/nowhere")->status(), "401");
  EXPECT_EQ(Send({{"authorization", Bearer(kKey)}}, "report", "/nowhere")->status(),
            "404");
}

TEST_F(TeamCallTest, APublicRouteNeedsAndForwardsNoCredential) {
  cluster_.configuration.mutable_routes(0)->set_is_public(true);
  cluster_.Distribute();
  for (const char* key : {"", "Bearer unknown", "Bearer k-soria"}) {
    StreamHeaders fields = {{"x-quetzal-team", "forged"}};
    if (*key != '\0') fields.emplace_back("authorization", key);
    EXPECT_TRUE(Send(fields)->has_server_answer()) << key;
    for (const auto& server : cluster_.servers) {
      EXPECT_EQ(HeaderValue(server->last_headers, "authorization"), "");
      EXPECT_EQ(HeaderValue(server->last_headers, "x-quetzal-team"), "");
    }
  }
}

TEST_F(TeamCallTest, WithoutTeamsBothFieldsPass) {
  cluster_.configuration.clear_teams();
  cluster_.Distribute();
  EXPECT_TRUE(Send({{"authorization", "Basic x"}, {"x-quetzal-team", "callers own"}})
                  ->has_server_answer());
  EXPECT_EQ(HeaderValue(ServerFields(), "authorization"), "Basic x");
  EXPECT_EQ(HeaderValue(ServerFields(), "x-quetzal-team"), "callers own");
}

// Guards against a node that uses a credential which may have been withdrawn long ago.
TEST_F(TeamCallTest, WithoutAProofNothingRuns) {
  cluster_.routing.proved = false;
  for (const char* key : {kKey, "added-meanwhile"}) {
    const auto received = Send({{"authorization", Bearer(key)}});
    EXPECT_TRUE(received->reports_not_run());
    EXPECT_EQ(received->status(), "503");
    EXPECT_EQ(received->result(), static_cast<int>(ResultCode::kCredentialUnproved));
    EXPECT_NE(HeaderValue(received->headers, "retry-after"), "");
  }
  EXPECT_EQ(cluster_.nodes[0].path->counts().credential_unproved, 2U);
  EXPECT_EQ(Send({})->status(), "401") << "a missing credential needs no proof";
  EXPECT_EQ(cluster_.runs("report"), 0);
  cluster_.configuration.mutable_routes(0)->set_is_public(true);
  cluster_.Distribute();
  EXPECT_TRUE(Send({})->has_server_answer()) << "a public route needs no proof";
}

TEST_F(TeamCallTest, AWithdrawnCredentialIsUnknown) {
  EXPECT_TRUE(Send({{"authorization", Bearer(kKey)}})->has_server_answer());
  cluster_.configuration.mutable_teams(0)->clear_credential_digests();
  cluster_.Distribute();
  EXPECT_EQ(Send({{"authorization", Bearer(kKey)}})->status(), "401");
  EXPECT_TRUE(Send({{"authorization", "Bearer k-soria"}})->has_server_answer());
  EXPECT_EQ(cluster_.runs("report"), 2);
}

// Guards against requests of an important team that are shed before those of a route.
TEST_F(TeamCallTest, ThePriorityOfTheTeamReplacesThatOfTheRoute) {
  cluster_.configuration.mutable_routes(0)->set_priority(7);
  cluster_.configuration.mutable_teams(0)->set_priority(3);
  cluster_.SetState(0, SERVER_DOWN);  // The other node must admit the requests.
  cluster_.Distribute();
  std::vector<std::string> priorities;
  cluster_.net.on_open = [&priorities](const std::string& /*from*/,
                                       const StreamHeaders& headers) {
    const std::string priority(HeaderValue(headers, "x-qz-priority"));
    if (!priority.empty()) priorities.push_back(priority);
  };
  Send({{"authorization", Bearer(kKey)}});
  Send({{"authorization", "Bearer k-soria"}});
  EXPECT_EQ(priorities, (std::vector<std::string>{"3", "7"}));
}

// Guards against a credential that leaves the coordinating node: in what is sent to
// other nodes and servers, in events or in what the caller gets back.
TEST_F(TeamCallTest, TheCredentialAppearsNowhere) {
  std::string seen;
  cluster_.net.on_open = [this, &seen](const std::string& from,
                                       const StreamHeaders& headers) {
    const bool by_node = from == cluster_.nodes[0].streams.address ||
                         from == cluster_.nodes[1].streams.address;
    if (!by_node) return;
    for (const auto& [name, value] : headers) seen.append(name).append(value);
  };
  for (const auto& server : cluster_.servers) server->behaviour = Behaviour::kRunAndClose;
  for (int n = 0; n < 8; ++n) {
    if (n == 4) cluster_.SetState(0, SERVER_DOWN);  // The other node must admit it.
    cluster_.Distribute();
    const auto received = Send({{"authorization", Bearer(kKey)}});
    seen += received->body;
    for (const auto& [name, value] : received->headers) seen.append(name).append(value);
  }
  cluster_.routing.proved = false;
  seen += Send({{"authorization", Bearer(kKey)}})->body;
  for (const std::string& line : cluster_.lines) seen += line;
  EXPECT_NE(seen, "");
  EXPECT_EQ(seen.find(kKey), std::string::npos);
}

// Guards against a node without the teams: what its caller wrote must not reach a server.
TEST_F(TeamCallTest, TheAdmittingNodeRemovesTheFieldsAsWell) {
  const Configuration with_teams = cluster_.configuration;
  cluster_.configuration.clear_teams();
  cluster_.Distribute();
  cluster_.SetState(0, SERVER_DOWN);  // The other node must admit the request.
  cluster_.Distribute();
  cluster_.net.on_open = [this, &with_teams](const std::string& from,
                                             const StreamHeaders& /*headers*/) {
    if (from != cluster_.nodes[0].streams.address) return;
    cluster_.configuration = with_teams;
    cluster_.Distribute();
  };
  const auto received =
      Send({{"authorization", Bearer(kKey)}, {"x-quetzal-team", "forged"}});
  EXPECT_TRUE(received->has_server_answer()) << received->body;
  EXPECT_EQ(HeaderValue(ServerFields(), "authorization"), "");
  EXPECT_EQ(HeaderValue(ServerFields(), "x-quetzal-team"), "");
}

}  // namespace
}  // namespace quetzal
