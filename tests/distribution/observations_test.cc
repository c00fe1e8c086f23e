// What a node has observed of its backend server, told to the fleet: who knows it, and
// when. Patterns: one crash; crashes beside a restart, a cut and a frozen node.
#include <gtest/gtest.h>

#include "simulation/sim_faults.h"
#include "simulation/sim_fleet.h"

namespace quetzal::simulation {
namespace {

/// Within this time of being in touch, a node knows what the others know.
constexpr Duration kLimit = seconds(3);

class ObservationsTest : public testing::TestWithParam<int> {
 protected:
  ObservationsTest()
      : fleet_(GetParam(), {{{"a", 4}, {"b", 4}, {"c", 4}}, {"a", "b", "c"}, 8}) {
    fleet_.StartAll();
    for (auto& node : fleet_.nodes) fleet_.Announce(&node, SERVER_UP);
    EXPECT_EQ(fleet_.Settle(seconds(20)), "");
  }

  /// The node's server crashes while it runs a request with this digest on trial.
  void Crash(const std::string& name, std::uint64_t id, std::uint64_t digest) {
    SimFleet::Node* node = fleet_.NodeNamed(name);
    BackendServer server;
    server.set_service(node->service);
    server.set_slots(20);
    server.set_state(SERVER_UP);
    ServerCrash* crash = server.mutable_observations()->add_crashes();
    crash->set_id(id);
    crash->add_heads(1);
    crash->add_digests(digest);
    crash->set_on_trial(1);
    node->distribution->SetBackendServer(server);
  }
  /// A node that may not serve sends nothing to a server.
  bool KnowsOrRests(const std::string& name) {
    const auto snapshot = fleet_.NodeNamed(name)->distribution->routing().snapshot();
    return snapshot == nullptr ||
           (snapshot->crashing != nullptr && snapshot->crashing->IsCause({1, kDigest}));
  }
  std::string Ignorant() {
    std::string names;
    for (const auto& node : fleet_.nodes) {
      if (node.distribution != nullptr && !KnowsOrRests(node.host->name)) {
        names += node.host->name + " ";
      }
    }
    return names;
  }
  void ExpectAllKnow() {
    fleet_.world.Run(kLimit);
    for (int n = 0; n < 30; ++n) {
      EXPECT_EQ(Ignorant(), "") << "after " << n << " periods";
      fleet_.world.Run(milliseconds(100));
    }
  }
  void CrashTwice() {
    Crash("a-0", 1, kDigest);
    Crash("b-0", 2, kDigest);
  }
  void Cut(const std::string& name, bool cut) {
    if (!cut) return fleet_.world.HealAll();
    for (const auto& node : fleet_.nodes) {
      if (node.host->name == name) continue;
      fleet_.world.Cut(node.host->name, name);
      fleet_.world.Cut(name, node.host->name);
    }
    for (const auto& control : fleet_.controls) {
      fleet_.world.Cut(control.host->name, name);
      fleet_.world.Cut(name, control.host->name);
    }
  }

  static constexpr std::uint64_t kDigest = 77;
  SimFleet fleet_;
};

TEST_P(ObservationsTest, TheWholeFleetLearnsOfACause) {
  CrashTwice();
  ExpectAllKnow();
}

// Guards against a node that forgets at its restart, for itself and for the others.
TEST_P(ObservationsTest, ObserversMayRestart) {
  CrashTwice();
  fleet_.world.Run(seconds(1));
  for (const char* name : {"a-0", "b-0", "c-1"}) {
    fleet_.Crash(fleet_.NodeNamed(name));
    fleet_.world.Run(seconds(1));
    fleet_.StartNode(fleet_.NodeNamed(name));
    fleet_.world.Run(kLimit);
    EXPECT_EQ(Ignorant(), "") << "after the restart of " << name;
  }
}

TEST_P(ObservationsTest, ANodeThatWasCutOffLearnsOfACause) {
  Cut("c-2", true);
  CrashTwice();
  fleet_.world.Run(seconds(6));
  Cut("c-2", false);
  ExpectAllKnow();
}

TEST_P(ObservationsTest, ADataCentreThatWasCutOffLearnsOfACause) {
  for (const auto& node : fleet_.nodes) {
    for (const auto& other : fleet_.nodes) {
      if (node.host->data_centre == "c" && other.host->data_centre != "c") {
        CutBothWays(&fleet_, node.host->name, other.host->name);
      }
    }
  }
  CrashTwice();
  fleet_.world.Run(seconds(6));
  fleet_.world.HealAll();
  ExpectAllKnow();
}

TEST_P(ObservationsTest, ANodeThatWasFrozenLearnsOfACause) {
  fleet_.world.Pause(fleet_.NodeNamed("c-2")->host);
  CrashTwice();
  fleet_.world.Run(seconds(6));
  fleet_.world.Resume(fleet_.NodeNamed("c-2")->host);
  ExpectAllKnow();
}

INSTANTIATE_TEST_SUITE_P(Seeds, ObservationsTest, testing::Range(1, 41));

}  // namespace
}  // namespace quetzal::simulation
