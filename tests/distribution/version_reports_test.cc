// Versions of backend servers in member records, and counts of responses by version on
// their way to the control instances.
#include <gtest/gtest.h>

#include "distribution/ack_table.h"
#include "simulation/sim_faults.h"
#include "simulation/sim_fleet.h"

namespace quetzal::simulation {
namespace {

/// One period of reports, and the way through a relay.
constexpr Duration kReportLimit = milliseconds(800);

class VersionReportsTest : public testing::TestWithParam<int> {
 protected:
  VersionReportsTest()
      : fleet_(GetParam(), {{{"a", 9}, {"b", 9}, {"c", 9}}, {"a", "b", "c"}, 8}) {
    fleet_.StartAll();
    for (auto& node : fleet_.nodes) fleet_.Announce(&node, SERVER_UP);
    EXPECT_EQ(fleet_.Settle(seconds(20)), "");
  }
  ~VersionReportsTest() override {
    for (const std::string& violation : fleet_.violations) ADD_FAILURE() << violation;
  }

  void SetRollout(RolloutState state, std::uint64_t started) {
    Rollout rollout;
    rollout.set_service("desk");
    rollout.set_version("v2");
    rollout.set_state(state);
    rollout.set_duration_ms(12'000);
    rollout.mutable_started()->set_term(1);
    rollout.mutable_started()->set_index(started);
    fleet_.rollouts = {rollout};
    fleet_.Confirm();
    EXPECT_EQ(fleet_.Settle(seconds(20)), "");
  }
  /// Each node has counted this many answers of either version.
  void Count(std::uint64_t answers, std::uint64_t started) {
    for (auto& node : fleet_.nodes) {
      node.version_counts.clear();
      for (const bool is_new : {false, true}) {
        VersionCounts counts;
        counts.set_service("desk");
        counts.mutable_started()->set_term(1);
        counts.mutable_started()->set_index(started);
        counts.set_new_version(is_new);
        counts.set_route("all");
        counts.set_answered(answers);
        node.version_counts.push_back(counts);
      }
    }
  }
  /// Nodes whose last report at the control instances has other counts.
  std::string Differing(std::uint64_t answers) const {
    std::string names;
    for (const auto& node : fleet_.nodes) {
      if (node.distribution == nullptr) continue;
      const auto it = fleet_.acks().find(node.host->name);
      const bool same = it != fleet_.acks().end() &&
                        it->second.version_counts.size() == 2 &&
                        it->second.version_counts[0].answered() == answers &&
                        it->second.version_counts[1].new_version();
      if (!same) names += node.host->name + " ";
    }
    return names;
  }
  /// Nodes whose last report has any counts.
  std::string Counting() const {
    std::string names;
    for (const auto& [name, ack] : fleet_.acks()) {
      if (!ack.version_counts.empty()) names += name + " ";
    }
    return names;
  }

  SimFleet fleet_;
};

// Guards against counts that a relay drops or keeps back as unchanged.
TEST_P(VersionReportsTest, CountsReachTheControlInstancesThroughRelays) {
  ASSERT_NE(fleet_.Relay("a"), nullptr);
  SetRollout(ROLLOUT_RUNNING, 20);
  for (const std::uint64_t answers : {10U, 20U, 30U}) {
    Count(answers, 20);
    fleet_.world.Run(kReportLimit);
    EXPECT_EQ(Differing(answers), "");
  }
  SetRollout(ROLLOUT_SHIFTING, 20);
  Count(40, 20);
  fleet_.world.Run(kReportLimit);
  EXPECT_EQ(Differing(40), "");
}

// Guards against nodes whose new source never hears of counts that their old one had.
TEST_P(VersionReportsTest, CountsSurviveTheLossOfARelay) {
  SetRollout(ROLLOUT_RUNNING, 20);
  Count(10, 20);
  fleet_.world.Run(kReportLimit);
  SimFleet::Node* relay = fleet_.Relay("a");
  ASSERT_NE(relay, nullptr);
  fleet_.Crash(relay);
  Count(20, 20);
  fleet_.world.Run(seconds(8));
  EXPECT_EQ(Differing(20), "");
}

TEST_P(VersionReportsTest, CountsSurviveTheLossOfAControlInstance) {
  SetRollout(ROLLOUT_RUNNING, 20);
  Count(10, 20);
  fleet_.world.Run(kReportLimit);
  fleet_.Crash(fleet_.controls.data());
  Count(20, 20);
  fleet_.world.Run(seconds(8));
  EXPECT_EQ(Differing(20), "");
}

// Guards against counts of an ended rollout that are taken for those of the next one.
TEST_P(VersionReportsTest, CountsOfEndedRolloutsAreNotReported) {
  Count(10, 20);
  fleet_.world.Run(seconds(4));
  EXPECT_EQ(Counting(), "") << "without a rollout";
  SetRollout(ROLLOUT_RUNNING, 20);
  fleet_.world.Run(kReportLimit);
  EXPECT_EQ(Differing(10), "");
  SetRollout(ROLLOUT_ROLLED_BACK, 20);
  fleet_.world.Run(kReportLimit);
  EXPECT_EQ(Counting(), "") << "after the end";
  SetRollout(ROLLOUT_RUNNING, 40);
  fleet_.world.Run(kReportLimit);
  EXPECT_EQ(Counting(), "") << "in the next rollout";
}

// Guards against a version that gets lost between the announcement and the routing, and
// against records of an old release that no longer can be used.
TEST_P(VersionReportsTest, MembersLearnTheVersions) {
  for (std::size_t n = 0; n < fleet_.nodes.size(); n += 2) {
    fleet_.nodes[n].version = "v2";
    fleet_.Announce(&fleet_.nodes[n], SERVER_UP);
  }
  fleet_.world.Run(seconds(5));
  for (const auto& node : fleet_.nodes) {
    const auto snapshot = node.distribution->routing().snapshot();
    ASSERT_NE(snapshot, nullptr);
    EXPECT_EQ(snapshot->targets.size(), fleet_.nodes.size());
    for (const BackendTarget& target : snapshot->targets) {
      EXPECT_EQ(target.version, fleet_.NodeNamed(target.instance)->version)
          << target.instance << " at " << node.host->name;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, VersionReportsTest, testing::Range(1, 7));

// Guards against a changed wire format of members without a version.
TEST(VersionRecordTest, AnEmptyVersionTakesNoSpaceInAMemberRecord) {
  BackendServer server;
  server.set_service("desk");
  const std::string former = server.SerializeAsString();
  server.set_version("");
  EXPECT_EQ(server.SerializeAsString(), former);
  server.set_version("v2");
  ASSERT_TRUE(server.ParseFromString(former));
  EXPECT_EQ(server.version(), "");
}

NodeAck AckWith(std::uint64_t answers) {
  NodeAck ack;
  ack.set_instance("a-1");
  ack.set_incarnation(7);
  ack.mutable_held()->set_index(20);
  VersionCounts* counts = ack.add_version_counts();
  counts->set_service("desk");
  counts->set_answered(answers);
  return ack;
}

// Guards against counts that are forwarded only together with another change, or sent
// again and again without one.
TEST(AckTableCountsTest, AReportWithOtherCountsIsChanged) {
  const SteadyTime now{std::chrono::hours(1)};
  AckTable table;
  table.RecordAck(AckWith(10), now);
  EXPECT_EQ(table.TakeChanged(false, now).acks_size(), 1);
  table.RecordAck(AckWith(10), now + milliseconds(500));
  EXPECT_FALSE(table.has_changes());
  table.RecordAck(AckWith(11), now + milliseconds(1000));
  ASSERT_TRUE(table.has_changes());
  const Acks acks = table.TakeChanged(false, now + milliseconds(1000));
  ASSERT_EQ(acks.acks_size(), 1);
  EXPECT_EQ(acks.acks(0).version_counts(0).answered(), 11U);
  EXPECT_EQ(table.Ages(now + milliseconds(1500)).acks(0).version_counts_size(), 0);
}

}  // namespace
}  // namespace quetzal::simulation
