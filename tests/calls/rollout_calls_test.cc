// Requests through whole nodes while their service moves to another version.
#include <map>
#include <utility>

#include <gtest/gtest.h>

#include "calls/call_rollout.h"
#include "calls/sim_cluster.h"

namespace quetzal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kNodes = 8;  ///< The first half has servers of the old version.

class RolloutCallsTest : public testing::Test {
 protected:
  RolloutCallsTest() {
    for (std::size_t n = 0; n < kNodes; ++n) SetVersion(n, IsNew(n) ? "v2" : "v1");
    cluster_.Distribute();
  }

  static bool IsNew(std::size_t node) { return node >= kNodes / 2; }
  void SetVersion(std::size_t node, const std::string& version) {
    cluster_.versions[node] = version;
    cluster_.SetState(node, SERVER_UP);
  }
  /// The log index of the next configuration.
  std::uint64_t NextIndex() const {
    return cluster_.routing.current->version.index() + 1;
  }

  void StartRollout() {
    Rollout* rollout = cluster_.configuration.add_rollouts();
    rollout->set_service("desk");
    rollout->set_version("v2");
    rollout->mutable_started()->set_index(NextIndex());
    rollout->set_max_share_permille(100);
    cluster_.Distribute();
  }
  void Advance(RolloutState state) {
    cluster_.configuration.mutable_rollouts(0)->set_state(state);
    cluster_.Distribute();
  }
  /// The node applies no later configuration.
  void Stick(std::size_t node) {
    cluster_.nodes[node].routing->stuck = cluster_.routing.current;
  }

  /// Sends requests through all nodes; returns those that got an answer of a server.
  int Send(int count, std::size_t nodes = kNodes) {
    std::vector<std::shared_ptr<AnswerRecorder>> answers;
    for (int n = 0; n < count; ++n) {
      answers.push_back(cluster_.GetReport(static_cast<std::size_t>(n) % nodes));
      cluster_.Run(milliseconds(4));
    }
    cluster_.Run(seconds(6));
    int answered = 0;
    for (const auto& answer : answers) {
      if (answer->has_server_answer() && answer->status() == "200") ++answered;
    }
    return answered;
  }
  int RunsAt(bool is_new) const {
    int runs = 0;
    for (std::size_t n = 0; n < kNodes; ++n) {
      if (IsNew(n) == is_new) runs += cluster_.servers[n]->total_runs();
    }
    return runs;
  }
  int TakeRuns(bool is_new) {
    const int all = RunsAt(is_new);
    return all - std::exchange(seen_[is_new ? 1 : 0], all);
  }
  void ForAllNew(const std::function<void(FakeBackendServer*)>& change) {
    for (std::size_t n = 0; n < kNodes; ++n) {
      if (IsNew(n)) change(cluster_.servers[n].get());
    }
  }
  std::vector<VersionCounts> Counts() const {
    std::vector<VersionCounts> all;
    for (const SimNode& node : cluster_.nodes) {
      for (const VersionCounts& counts : node.path->version_counts()) {
        all.push_back(counts);
      }
    }
    return all;
  }
  VersionCounts Sum(bool is_new) const {
    VersionCounts sum;
    for (const VersionCounts& counts : Counts()) {
      if (counts.new_version() != is_new) continue;
      sum.set_answered(sum.answered() + counts.answered());
      sum.set_failed(sum.failed() + counts.failed());
      sum.set_time_ms(sum.time_ms() + counts.time_ms());
      sum.set_running(sum.running() + counts.running());
    }
    return sum;
  }
  SimCluster cluster_{kNodes};
  int seen_[2] = {0, 0};
};

// Guards against a version that keeps servers from requests although no rollout is known.
TEST_F(RolloutCallsTest, WithoutARolloutTheVersionDoesNotMatter) {
  EXPECT_EQ(Send(400), 400);
  EXPECT_GT(TakeRuns(true), 100);
  EXPECT_GT(TakeRuns(false), 100);
  EXPECT_TRUE(Counts().empty());
}

// Guards against a share that the path of a request does not keep to.
TEST_F(RolloutCallsTest, ARunningRolloutGetsLessThanItsShare) {
  StartRollout();
  EXPECT_EQ(Send(2000), 2000);
  const int at_new = TakeRuns(true);
  EXPECT_GT(at_new, 80);
  EXPECT_LT(at_new, 200);
}

// Guards against a share of which the routes with fewer requests get nothing, so that a
// version that is bad on one of them is not found.
TEST_F(RolloutCallsTest, EachRouteGetsItsPartOfTheShare) {
  StartRollout();
  for (std::size_t n = 0; n < 2000; ++n) {
    if (n % 4 == 0) {
      const std::string name = std::to_string(n);
      cluster_.PostOrder(n / 4 % kNodes, "key-" + name, "order-" + name);
    } else {
      cluster_.GetReport(n % kNodes);
    }
    cluster_.Run(milliseconds(4));
  }
  cluster_.Run(seconds(6));
  EXPECT_LT(RunsAt(true), 200);
  EXPECT_EQ(RunsAt(true) + RunsAt(false), 2000);
  std::map<std::string, std::uint64_t> at_new;
  for (const VersionCounts& counts : Counts()) {
    if (counts.new_version()) at_new[counts.route()] += counts.answered();
  }
  EXPECT_GT(at_new["reports"], 50U);
  EXPECT_GT(at_new["orders"], 15U);
  EXPECT_EQ(at_new["reports"] + at_new["orders"],
            static_cast<std::uint64_t>(RunsAt(true)));
}

TEST_F(RolloutCallsTest, RequestsFollowTheStateOfTheRollout) {
  StartRollout();
  Advance(ROLLOUT_SHIFTING);
  EXPECT_EQ(Send(200), 200);
  EXPECT_EQ(TakeRuns(false), 0);
  Advance(ROLLOUT_COMPLETE);
  EXPECT_EQ(Send(200), 200);
  EXPECT_EQ(TakeRuns(false), 0);
  EXPECT_EQ(TakeRuns(true), 400);
}

TEST_F(RolloutCallsTest, ARolledBackVersionGetsNoRequest) {
  StartRollout();
  Send(400);
  TakeRuns(true);
  Advance(ROLLOUT_ROLLED_BACK);
  EXPECT_EQ(Send(400), 400);
  EXPECT_EQ(TakeRuns(true), 0);
}

// Guards against a node that was separated before the order and sends the new servers a
// full part of its requests. Its requests are answered by old servers all the same.
TEST_F(RolloutCallsTest, ANodeThatDoesNotKnowTheRolloutReachesOldServersOnly) {
  // Nodes of new servers know the rollout: a node starts with a confirmed configuration.
  Stick(0);
  Stick(3);
  StartRollout();
  int answered = 0;
  for (int n = 0; n < 200; ++n) {
    const auto answer = cluster_.GetReport(n % 2 == 0 ? 0 : 3);
    cluster_.Run(milliseconds(20));
    if (answer->status() == "200" && answer->has_server_answer()) ++answered;
  }
  EXPECT_EQ(answered, 200);
  EXPECT_EQ(TakeRuns(true), 0);
}

// Guards against a full part of the requests for a new server that took the place of an
// old one, until the other nodes learn of it; and against avoiding all old servers then.
TEST_F(RolloutCallsTest, AReplacedServerGetsNoRequestMeantForAnOldOne) {
  Stick(3);
  StartRollout();
  SetVersion(0, "v2");
  EXPECT_EQ(Send(400), 400);
  EXPECT_EQ(cluster_.servers[0]->total_runs(), 0);
  EXPECT_LT(RunsAt(true), 40);
  EXPECT_LT(cluster_.nodes[3].path->counts().retried, 60U);
}

// Guards against refusals for this reason that use up the budget for other retries, and
// against attempts that are all spent on new servers: the first refusal is enough.
TEST_F(RolloutCallsTest, RefusalsOfOutdatedCallsAreFewAndFree) {
  cluster_.configuration.mutable_policy()->set_retry_budget_percent(0);
  cluster_.Distribute();
  Stick(0);
  StartRollout();
  for (int n = 0; n < 200; ++n) {
    const auto answer = cluster_.GetReport(0);
    cluster_.Run(milliseconds(20));
    EXPECT_EQ(answer->status(), "200");
  }
  EXPECT_LE(cluster_.nodes[0].path->counts().retried, 3U);
}

// Guards against a keyed request that runs at a new server although it was refused, or
// that is lost by the refusal.
TEST_F(RolloutCallsTest, KeyedRequestsOfAnOutdatedNodeRunOnceAtOldServers) {
  Stick(0);
  StartRollout();
  for (int n = 0; n < 50; ++n) {
    const std::string body = "order-" + std::to_string(n);
    const auto answer = cluster_.PostOrder(0, "key-" + std::to_string(n), body);
    cluster_.Run(milliseconds(50));
    EXPECT_EQ(answer->status(), "200");
    EXPECT_EQ(cluster_.runs(body), 1);
  }
  EXPECT_EQ(TakeRuns(true), 0);
}

// Guards against a node that does not hear of the end and keeps sending to a bad version.
TEST_F(RolloutCallsTest, ANodeThatDoesNotKnowTheEndReachesOldServersOnly) {
  StartRollout();
  Send(400);
  TakeRuns(true);
  Stick(0);
  Advance(ROLLOUT_ROLLED_BACK);
  EXPECT_EQ(Send(400, 1), 400);
  EXPECT_EQ(TakeRuns(true), 0);
}

// Guards against queued requests that begin to run after the version was rolled back.
TEST_F(RolloutCallsTest, QueuedRequestsDoNotRunAfterTheEnd) {
  StartRollout();
  Advance(ROLLOUT_SHIFTING);
  ForAllNew([](FakeBackendServer* server) { server->service_time = milliseconds(500); });
  for (int n = 0; n < 120; ++n) cluster_.GetReport(0);
  cluster_.Run(milliseconds(100));
  const int running = TakeRuns(true);
  EXPECT_LT(running, 120);
  Advance(ROLLOUT_ROLLED_BACK);
  cluster_.Run(seconds(6));
  EXPECT_EQ(TakeRuns(true), 0);
}

// Guards against repeated attempts that add to the requests of a failing version.
TEST_F(RolloutCallsTest, FailedRequestsAreRepeatedAtOldServers) {
  ForAllNew([](FakeBackendServer* server) { server->status = "500"; });
  StartRollout();
  EXPECT_EQ(Send(2000), 2000);
  const int at_new = TakeRuns(true);
  EXPECT_GT(at_new, 40);
  EXPECT_LT(at_new, 200);
  const VersionCounts sum = Sum(true);
  EXPECT_EQ(sum.failed(), static_cast<std::uint64_t>(at_new));
  EXPECT_EQ(sum.answered(), 0U);
}

// Guards against requests that are lost when no new server accepts connections.
TEST_F(RolloutCallsTest, UnreachableNewServersCostNoRequest) {
  StartRollout();
  for (std::size_t n = 0; n < kNodes; ++n) {
    if (IsNew(n)) cluster_.EndServer(n);
  }
  EXPECT_EQ(Send(1000), 1000);
  EXPECT_EQ(Sum(true).failed(), 0U);
}

// Guards against full new servers that shed requests which old ones could take.
TEST_F(RolloutCallsTest, FullNewServersCostNoRequest) {
  for (Route& route : *cluster_.configuration.mutable_routes()) {
    route.set_objective_ms(400);
  }
  ForAllNew([](FakeBackendServer* server) { server->behaviour = Behaviour::kHang; });
  StartRollout();
  const int answered = Send(2000);
  // The requests that hang at the new servers are lost.
  EXPECT_GE(answered, 2000 - RunsAt(true));
  EXPECT_LT(RunsAt(true), 250);
}

// Guards against requests that are refused or run at a version without a share when the
// last old server is lost.
TEST_F(RolloutCallsTest, WithoutOldServersTheRestIsRefusedAsNotRun) {
  StartRollout();
  for (std::size_t n = 0; n < kNodes; ++n) {
    if (!IsNew(n)) cluster_.SetState(n, SERVER_DOWN);
  }
  cluster_.Distribute();
  std::vector<std::shared_ptr<AnswerRecorder>> answers;
  for (int n = 0; n < 500; ++n) {
    answers.push_back(cluster_.GetReport(static_cast<std::size_t>(n) % kNodes));
    cluster_.Run(milliseconds(4));
  }
  cluster_.Run(seconds(6));
  EXPECT_LT(RunsAt(true), 50);
  int refused = 0;
  for (const auto& answer : answers) {
    if (answer->result() == static_cast<int>(ResultCode::kNoBackendServer)) ++refused;
    EXPECT_TRUE(answer->has_server_answer() || answer->reports_not_run());
  }
  EXPECT_EQ(refused, 500 - RunsAt(true));
}

// Guards against responses that are counted on the wrong side or twice, and requests that
// stay counted as running.
TEST_F(RolloutCallsTest, CountsMatchTheRunsOfTheServers) {
  ForAllNew([](FakeBackendServer* server) { server->service_time = milliseconds(40); });
  StartRollout();
  Send(1000);
  EXPECT_EQ(Sum(true).answered(), static_cast<std::uint64_t>(RunsAt(true)));
  EXPECT_EQ(Sum(false).answered(), static_cast<std::uint64_t>(RunsAt(false)));
  EXPECT_EQ(Sum(true).running() + Sum(false).running(), 0U);
  EXPECT_GE(Sum(true).time_ms(), 40 * Sum(true).answered());
  EXPECT_LT(Sum(false).time_ms(), 20 * Sum(false).answered());
  for (const VersionCounts& counts : Counts()) {
    EXPECT_EQ(counts.service(), "desk");
    EXPECT_EQ(counts.route(), "reports");
    EXPECT_EQ(counts.started().index(),
              cluster_.configuration.rollouts(0).started().index());
  }
  Advance(ROLLOUT_COMPLETE);
  EXPECT_TRUE(Counts().empty());
}

// Guards against lost and late answers of a bad version that nobody counts.
TEST_F(RolloutCallsTest, LostAndLateAnswersCountAsFailures) {
  ForAllNew([](FakeBackendServer* server) { server->behaviour = Behaviour::kCutAnswer; });
  StartRollout();
  Send(600);
  const auto cut = Sum(true).failed();
  EXPECT_EQ(cut, static_cast<std::uint64_t>(RunsAt(true)));
  EXPECT_GT(cut, 0U);
  ForAllNew([](FakeBackendServer* server) { server->behaviour = Behaviour::kHang; });
  cluster_.Run(seconds(60));  // Ends the ejection of the new servers.
  Send(600);
  EXPECT_EQ(Sum(true).failed(), static_cast<std::uint64_t>(RunsAt(true)));
  EXPECT_GT(Sum(true).failed(), cut);
  EXPECT_EQ(Sum(true).running(), 0U);
}

// Guards against a version that hangs and is not noticed, since the callers' timers fire
// before those of the nodes. Callers that cancel early say nothing about the version.
TEST_F(RolloutCallsTest, CallersThatGiveUpLateCountAsFailures) {
  StartRollout();
  Advance(ROLLOUT_SHIFTING);
  ForAllNew([](FakeBackendServer* server) { server->behaviour = Behaviour::kHang; });
  const auto early = cluster_.GetReport(0);
  const auto late = cluster_.GetReport(1);
  cluster_.Run(seconds(1));
  EXPECT_EQ(Sum(true).running(), 2U);
  early->stream->Reset();
  cluster_.Run(milliseconds(3900));
  EXPECT_EQ(Sum(true).failed(), 0U);
  late->stream->Reset();
  cluster_.Run(milliseconds(50));
  EXPECT_EQ(Sum(true).failed(), 1U);
  EXPECT_EQ(Sum(true).running(), 0U);
}

// Guards against old servers that are stopped while they run requests.
TEST_F(RolloutCallsTest, RequestsAtOldServersCountAsRunningUntilTheyEnd) {
  StartRollout();
  for (std::size_t n = 0; n < kNodes; ++n) {
    cluster_.servers[n]->service_time = milliseconds(500);
  }
  for (std::size_t n = 0; n < 4; ++n) cluster_.GetReport(n);
  cluster_.PostOrder(5, "key", "order");
  Advance(ROLLOUT_SHIFTING);
  cluster_.Run(milliseconds(100));
  EXPECT_EQ(Sum(false).running() + Sum(true).running(), 5U);
  cluster_.Run(seconds(1));
  EXPECT_EQ(Sum(false).running() + Sum(true).running(), 0U);
}

}  // namespace
}  // namespace quetzal
