// Which backend servers a request may use during a rollout, and the share of the new
// version over a fleet of nodes that decide independently.
#include "calls/rollout_router.h"

#include <deque>
#include <memory>
#include <set>

#include <gtest/gtest.h>

#include "base/random.h"

namespace quetzal {
namespace {

using Targets = RolloutRouter::Targets;

constexpr std::uint64_t kStarted = 40;
constexpr double kShare = 0.1;
/// Requests that the new version may get beyond its share, over the whole fleet.
constexpr double kAllowance = 50;

Rollout MakeRollout(RolloutState state, std::uint64_t started = kStarted) {
  Rollout rollout;
  rollout.set_service("desk");
  rollout.set_version("v2");
  rollout.set_state(state);
  rollout.mutable_started()->set_index(started);
  rollout.set_max_share_permille(100);
  return rollout;
}

Configuration With(const Rollout& rollout) {
  Configuration configuration;
  *configuration.add_rollouts() = rollout;
  return configuration;
}

/// Backend servers of one service.
class Servers {
 public:
  Servers(int old_servers, int new_servers) {
    for (int n = 0; n < old_servers; ++n) Add("old-" + std::to_string(n), "v1");
    for (int n = 0; n < new_servers; ++n) Add("new-" + std::to_string(n), "v2");
  }
  BackendTarget* Add(const std::string& name, const std::string& version) {
    BackendTarget target;
    target.instance = name;
    target.service = "desk";
    target.version = version;
    target.state = SERVER_UP;
    targets_.push_back(target);
    return &targets_.back();
  }
  void SetState(const std::string& version, ServerState state) {
    for (BackendTarget& target : targets_) {
      if (target.version == version) target.state = state;
    }
  }
  Targets all() const {
    Targets list;
    for (const BackendTarget& target : targets_) list.push_back(&target);
    return list;
  }

 private:
  std::deque<BackendTarget> targets_;
};

std::set<std::string> VersionsOf(const Targets& targets) {
  std::set<std::string> versions;
  for (const BackendTarget* target : targets) versions.insert(target->version);
  return versions;
}

std::set<std::string> NamesOf(const Targets& targets) {
  std::set<std::string> names;
  for (const BackendTarget* target : targets) names.insert(target->instance);
  return names;
}

constexpr std::chrono::seconds kAtStart{0};

/// A fleet of nodes without shared state. Counts the requests that reach a server.
class RoutingFleet {
 public:
  RoutingFleet(int nodes, Servers servers)
      : random_(7), servers_(std::move(servers)), nodes_(nodes) {
    for (auto& node : nodes_) node = std::make_unique<RolloutRouter>();
  }

  /// Part of the attempts that end before a server has seen the request.
  double shed_by_old = 0;
  double shed_by_new = 0;
  /// Part of the attempts at the new version that fail and are repeated.
  double fails_at_new = 0;

  void Send(std::size_t node) {
    ++asked_;
    RolloutRouter& router = *nodes_[node];
    CanaryDraw draw;
    bool repeated = false;
    for (int attempt = 0; attempt < 4; ++attempt) {
      const Targets targets = router.Admissible(rollout_, servers_.all(), random_.Unit(),
                                                repeated, kAtStart, &draw);
      if (targets.empty()) return Finish(&router, repeated, &draw);
      const BackendTarget& target = *targets[random_.Below(targets.size())];
      const bool is_new = target.version == "v2";
      if (random_.Unit() < (is_new ? shed_by_new : shed_by_old)) continue;
      if (is_new) ++at_new_;
      if (!repeated) router.CountServed("desk", kStarted);
      if (!repeated) ++served_;
      repeated = true;
      if (!is_new || random_.Unit() >= fails_at_new) break;
    }
    Finish(&router, repeated, &draw);
  }
  /// Requests at random nodes; a part of them at the first node.
  void SendMany(int count, double at_first_node = 0) {
    for (int n = 0; n < count; ++n) {
      const bool first = random_.Unit() < at_first_node;
      Send(first ? 0 : random_.Below(nodes_.size()));
      EXPECT_LE(at_new_, kShare * static_cast<double>(served_) + kAllowance);
      if (testing::Test::HasFailure()) return;
    }
  }
  void Restart(std::size_t node) { nodes_[node] = std::make_unique<RolloutRouter>(); }

  Servers& servers() { return servers_; }
  int at_new() const { return at_new_; }
  int served() const { return served_; }
  int asked() const { return asked_; }
  double share() const { return static_cast<double>(at_new_) / served_; }

 private:
  static void Finish(RolloutRouter* router, bool repeated, CanaryDraw* draw) {
    if (!repeated) router->Release("desk", draw);
  }

  Random random_;
  Servers servers_;
  const Rollout rollout_ = MakeRollout(ROLLOUT_RUNNING);
  std::vector<std::unique_ptr<RolloutRouter>> nodes_;
  int at_new_ = 0;
  int served_ = 0;
  int asked_ = 0;
};

// Guards against nodes that each keep to the share, but exceed it together; and against a
// version that gets too few requests to be judged.
TEST(RolloutRouterTest, AFleetKeepsToTheShareAndUsesMostOfIt) {
  RoutingFleet fleet(90, {30, 30});
  fleet.SendMany(40'000);
  EXPECT_GT(fleet.share(), 0.06);
  EXPECT_LT(fleet.share(), 0.08);
}

// Guards against new servers that get more than the share as each of them starts, and
// against requests to servers that are not up yet.
TEST(RolloutRouterTest, NewServersThatStartOneByOneKeepToTheShare) {
  RoutingFleet fleet(90, {30, 0});
  fleet.SendMany(5000);
  EXPECT_EQ(fleet.at_new(), 0);
  for (int n = 0; n < 10; ++n) {
    BackendTarget* cold = fleet.servers().Add("new-" + std::to_string(n), "v2");
    cold->state = SERVER_STARTING;
    const int before = fleet.at_new();
    fleet.SendMany(100);
    if (n == 0) {
      EXPECT_EQ(fleet.at_new(), before);
    }
    cold->state = SERVER_UP;
    fleet.SendMany(2000);
  }
  EXPECT_GT(fleet.at_new(), 500);
}

// Guards against a first request at every node that goes to the new version.
TEST(RolloutRouterTest, ColdNodesKeepToTheShare) {
  RoutingFleet fleet(300, {100, 100});
  for (std::size_t node = 0; node < 300; ++node) fleet.Send(node);
  EXPECT_EQ(fleet.at_new(), 0);
  fleet.SendMany(3000);
  EXPECT_GT(fleet.at_new(), 50);
}

// Guards against a share that is counted per node, whatever its number of requests.
TEST(RolloutRouterTest, OneNodeWithMostCallersKeepsToTheShare) {
  RoutingFleet fleet(90, {30, 30});
  fleet.SendMany(20'000, /*at_first_node=*/0.8);
  EXPECT_GT(fleet.share(), 0.05);
}

// Guards against an allowance that is granted again at every restart.
TEST(RolloutRouterTest, RestartingNodesKeepToTheShare) {
  RoutingFleet fleet(90, {30, 30});
  for (int round = 0; round < 100; ++round) {
    fleet.SendMany(500);
    for (std::size_t node = 0; node < 90; ++node) fleet.Restart(node);
  }
}

// Guards against a share of the requests asked, most of which the full old servers shed,
// while the idle new ones take all that they get.
TEST(RolloutRouterTest, SheddingOldServersDoNotRaiseTheShare) {
  RoutingFleet fleet(90, {30, 30});
  fleet.shed_by_old = 0.85;
  fleet.SendMany(40'000);
  EXPECT_LT(fleet.served(), fleet.asked() * 3 / 4);
  EXPECT_GT(fleet.share(), 0.04);
}

// Guards against attempts at full new servers that use up the share.
TEST(RolloutRouterTest, SheddingNewServersDoNotUseUpTheShare) {
  RoutingFleet fleet(90, {30, 30});
  fleet.shed_by_new = 0.5;
  fleet.SendMany(40'000);
  EXPECT_GT(fleet.share(), 0.05);
}

// Guards against repeated attempts of failed requests at the new version.
TEST(RolloutRouterTest, RepeatedAttemptsUseTheOldVersion) {
  RoutingFleet fleet(90, {30, 30});
  fleet.fails_at_new = 1;
  fleet.SendMany(40'000);
  EXPECT_LT(fleet.share(), 0.08);
}

// Guards against a new version that takes over when the old servers are lost.
TEST(RolloutRouterTest, WithoutOldServersTheRestIsRefused) {
  RoutingFleet fleet(90, {0, 30});
  fleet.SendMany(20'000);
  EXPECT_LT(fleet.at_new(), kAllowance);

  RoutingFleet losing(90, {30, 30});
  losing.SendMany(20'000);
  losing.servers().SetState("v1", SERVER_DOWN);
  const int before = losing.at_new();
  losing.SendMany(20'000);
  EXPECT_GT(losing.at_new(), before);
}

TEST(RolloutRouterTest, WithoutNewServersAllRequestsUseTheOldVersion) {
  RoutingFleet fleet(10, {3, 3});
  fleet.servers().SetState("v2", SERVER_DOWN);
  fleet.SendMany(5000);
  EXPECT_EQ(fleet.at_new(), 0);
  EXPECT_EQ(fleet.served(), 5000);
}

TEST(RolloutRouterTest, ARolloutWithoutAShareSendsNothingToTheNewVersion) {
  RolloutRouter router;
  Rollout rollout = MakeRollout(ROLLOUT_RUNNING);
  rollout.set_max_share_permille(0);
  const Servers servers(3, 3);
  for (int n = 0; n < 1000; ++n) {
    CanaryDraw draw;
    const Targets targets =
        router.Admissible(rollout, servers.all(), 0, false, kAtStart, &draw);
    EXPECT_EQ(VersionsOf(targets), std::set<std::string>{"v1"});
    router.CountServed("desk", kStarted);
  }
}

class StateTest : public testing::Test {
 protected:
  std::set<std::string> Versions(RolloutState state) {
    CanaryDraw draw;
    return VersionsOf(router_.Admissible(MakeRollout(state), servers_.all(), 0, false,
                                         kAtStart, &draw));
  }
  const std::set<std::string> old_{"v1"};
  const std::set<std::string> new_{"v2"};
  RolloutRouter router_;
  Servers servers_{3, 3};
};

// Guards against requests that old servers, which stop at once, would cut.
TEST_F(StateTest, AShiftedRolloutUsesTheNewVersionOnly) {
  EXPECT_EQ(Versions(ROLLOUT_SHIFTING), new_);
  EXPECT_EQ(Versions(ROLLOUT_COMPLETE), new_);
}

TEST_F(StateTest, AShiftedRolloutUsesOthersWhenTheNewVersionHasNoServer) {
  servers_.SetState("v2", SERVER_DOWN);
  EXPECT_EQ(Versions(ROLLOUT_SHIFTING), old_);
  // Guards against an outage when the servers are replaced without a rollout.
  EXPECT_EQ(Versions(ROLLOUT_COMPLETE), old_);
}

// Guards against a bad version that gets requests again when the old servers are lost.
TEST_F(StateTest, ARolledBackVersionGetsNothing) {
  EXPECT_EQ(Versions(ROLLOUT_ROLLED_BACK), old_);
  servers_.SetState("v1", SERVER_DOWN);
  servers_.Add("old-9", "")->state = SERVER_DOWN;
  EXPECT_EQ(Versions(ROLLOUT_ROLLED_BACK), (std::set<std::string>{"", "v1"}));
}

// Guards against servers that state no version, as those of an old release, being taken
// for new ones.
TEST_F(StateTest, ServersWithoutAVersionCountAsOld) {
  servers_.Add("old-9", "");
  EXPECT_EQ(Versions(ROLLOUT_ROLLED_BACK), (std::set<std::string>{"", "v1"}));
  EXPECT_EQ(Versions(ROLLOUT_SHIFTING), new_);
}

// Guards against new servers with so little load that a version which is bad under load
// does not show it, and against judging the same few servers for the whole rollout.
TEST(RolloutRouterTest, TheShareGoesToAFewServersThatChangeOverTime) {
  const Servers servers(30, 30);
  std::set<std::string> used;
  for (int seconds = 0; seconds < 300; seconds += 5) {
    std::set<std::string> first;
    // All nodes choose the same servers.
    for (int node = 0; node < 5; ++node) {
      RolloutRouter router;
      CanaryDraw draw;
      Targets targets;
      for (int n = 0; n < 20; ++n) {
        draw = CanaryDraw();
        targets = router.Admissible(MakeRollout(ROLLOUT_RUNNING), servers.all(), 0, false,
                                    std::chrono::seconds(seconds), &draw);
        router.CountServed("desk", kStarted);
        if (draw.is_new) break;
      }
      ASSERT_TRUE(draw.is_new);
      // 30 old servers with 93% of the requests: three new ones with 7% have less each.
      EXPECT_EQ(targets.size(), 3U);
      EXPECT_EQ(VersionsOf(targets), std::set<std::string>{"v2"});
      if (node == 0) first = NamesOf(targets);
      EXPECT_EQ(NamesOf(targets), first);
    }
    used.insert(first.begin(), first.end());
  }
  EXPECT_GT(used.size(), 15U);
}

// Guards against a request that changes its version between attempts.
TEST(RolloutRouterTest, ADrawIsKeptForTheFirstAttempts) {
  RolloutRouter router;
  const Servers servers(3, 3);
  const Rollout rollout = MakeRollout(ROLLOUT_RUNNING);
  CanaryDraw draw;
  router.Admissible(rollout, servers.all(), 0.99, false, kAtStart, &draw);
  for (int n = 0; n < 50; ++n) {
    const Targets targets =
        router.Admissible(rollout, servers.all(), 0, false, kAtStart, &draw);
    EXPECT_EQ(VersionsOf(targets), std::set<std::string>{"v1"});
    router.CountServed("desk", kStarted);
  }
}

// Guards against the counts of an earlier rollout that let the next one exceed its share.
TEST(RolloutRouterTest, ALaterRolloutStartsFromZero) {
  RolloutRouter router;
  const Servers servers(3, 3);
  const auto draw_at = [&](std::uint64_t started) {
    CanaryDraw draw;
    router.Admissible(MakeRollout(ROLLOUT_RUNNING, started), servers.all(), 0, false,
                      kAtStart, &draw);
    return draw.is_new;
  };
  draw_at(kStarted);
  for (int n = 0; n < 1000; ++n) router.CountServed("desk", kStarted);
  EXPECT_TRUE(draw_at(kStarted));
  EXPECT_FALSE(draw_at(kStarted + 1));
  router.CountServed("desk", kStarted);
  for (int n = 0; n < 3; ++n) EXPECT_FALSE(draw_at(kStarted + 1));
}

TEST(RolloutRouterTest, PruneDropsEndedRollouts) {
  RolloutRouter router;
  const Servers servers(3, 3);
  const Rollout rollout = MakeRollout(ROLLOUT_RUNNING);
  CanaryDraw draw;
  router.Admissible(rollout, servers.all(), 0, false, kAtStart, &draw);
  for (int n = 0; n < 1000; ++n) router.CountServed("desk", kStarted);
  router.Prune(With(rollout));
  draw = CanaryDraw();
  router.Admissible(rollout, servers.all(), 0, false, kAtStart, &draw);
  EXPECT_TRUE(draw.is_new);
  router.Prune(With(MakeRollout(ROLLOUT_COMPLETE)));
  draw = CanaryDraw();
  router.Admissible(rollout, servers.all(), 0, false, kAtStart, &draw);
  EXPECT_FALSE(draw.is_new);
}

// Guards against all attempts of a request being spent on new servers that refuse it.
TEST(RolloutRouterTest, ARefusedVersionIsAvoidedUntilALaterConfiguration) {
  RolloutRouter router;
  const Servers servers(3, 3);
  EXPECT_FALSE(router.has_refusals());
  const Targets all = servers.all();
  EXPECT_TRUE(router.RecordRefusal(*all.back(), 39));
  EXPECT_FALSE(router.RecordRefusal(*all.back(), 39)) << "an event for each request";
  EXPECT_TRUE(router.has_refusals());
  Targets left = all;
  router.DropRefused(39, &left);
  EXPECT_EQ(VersionsOf(left), std::set<std::string>{"v1"});
  left = all;
  router.DropRefused(40, &left);
  EXPECT_EQ(left.size(), all.size());
  // Guards against a node without any server, after one was replaced by another version.
  router.RecordRefusal(*all.front(), 39);
  router.DropRefused(39, &left);
  EXPECT_EQ(left.size(), all.size());
}

// Guards against calls of nodes that do not know the rollout, or not its end.
TEST(RolloutRouterTest, ANodeOfANewServerRefusesOutdatedCalls) {
  const Rollout running = MakeRollout(ROLLOUT_RUNNING);
  EXPECT_TRUE(RefusesCall(running, "v2", std::nullopt, 45));
  EXPECT_TRUE(RefusesCall(running, "v2", kStarted - 1, 45));
  EXPECT_FALSE(RefusesCall(running, "v2", kStarted, 45));
  EXPECT_FALSE(RefusesCall(running, "v1", std::nullopt, 45));
  EXPECT_FALSE(RefusesCall(running, "", std::nullopt, 45));
  const Rollout rolled_back = MakeRollout(ROLLOUT_ROLLED_BACK);
  EXPECT_TRUE(RefusesCall(rolled_back, "v2", kStarted + 1, 45));
  EXPECT_TRUE(RefusesCall(rolled_back, "v2", 45, 45));
  // The sender knows a later order to try the version again.
  EXPECT_FALSE(RefusesCall(rolled_back, "v2", 46, 45));
  EXPECT_FALSE(RefusesCall(rolled_back, "v1", std::nullopt, 45));
}

}  // namespace
}  // namespace quetzal
