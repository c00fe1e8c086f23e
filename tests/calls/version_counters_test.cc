// Counts of responses by version during a rollout.
#include "calls/version_counters.h"

#include <set>

#include <gtest/gtest.h>

namespace quetzal {
namespace {

using std::chrono::milliseconds;

Rollout MakeRollout(const std::string& service, RolloutState state,
                    std::uint64_t started = 40) {
  Rollout rollout;
  rollout.set_service(service);
  rollout.set_version("v2");
  rollout.set_state(state);
  rollout.mutable_started()->set_index(started);
  rollout.mutable_started()->set_term(3);
  return rollout;
}

Configuration With(const Rollout& rollout) {
  Configuration configuration;
  *configuration.add_rollouts() = rollout;
  return configuration;
}

// Guards against a response that counts on the other side, on another route or not at
// all.
TEST(VersionCountersTest, CountsByRouteAndSide) {
  VersionCounters counters;
  const Rollout rollout = MakeRollout("desk", ROLLOUT_RUNNING);
  const auto run = [&](const char* version, const char* route, VersionOutcome outcome,
                       int ms) {
    counters.End(counters.Begin(rollout, version, route), outcome, milliseconds(ms));
  };
  run("v1", "reports", VersionOutcome::kAnswered, 30);
  run("v1", "reports", VersionOutcome::kAnswered, 50);
  run("v2", "reports", VersionOutcome::kFailed, 900);
  run("v2", "orders", VersionOutcome::kAnswered, 70);
  run("v2", "orders", VersionOutcome::kNotRun, 5);
  run("v2", "orders", VersionOutcome::kNoResult, 5);
  counters.Begin(rollout, "", "reports");
  const std::vector<VersionCounts> counts = counters.Read();
  ASSERT_EQ(counts.size(), 3U);
  EXPECT_EQ(counts[0].service(), "desk");
  EXPECT_EQ(counts[0].started().index(), 40U);
  EXPECT_EQ(counts[0].started().term(), 3U);
  EXPECT_FALSE(counts[0].new_version());
  EXPECT_EQ(counts[0].route(), "reports");
  EXPECT_EQ(counts[0].answered(), 2U);
  EXPECT_EQ(counts[0].time_ms(), 80U);
  EXPECT_EQ(counts[0].failed(), 0U);
  EXPECT_EQ(counts[0].running(), 1U);
  EXPECT_TRUE(counts[1].new_version());
  EXPECT_EQ(counts[1].route(), "orders");
  EXPECT_EQ(counts[1].answered(), 1U);
  EXPECT_EQ(counts[1].failed(), 0U);
  EXPECT_EQ(counts[1].running(), 0U);
  EXPECT_EQ(counts[2].route(), "reports");
  EXPECT_EQ(counts[2].failed(), 1U);
  EXPECT_EQ(counts[2].time_ms(), 0U);
}

// Guards against counts that an ended rollout leaves behind.
TEST(VersionCountersTest, DropsTheCountsOfEndedRollouts) {
  VersionCounters counters;
  const Rollout running = MakeRollout("desk", ROLLOUT_RUNNING);
  const auto attempt = counters.Begin(running, "v2", "reports");
  counters.Prune(With(MakeRollout("desk", ROLLOUT_SHIFTING)), 50);
  EXPECT_EQ(counters.Read().size(), 1U);
  counters.Prune(With(MakeRollout("desk", ROLLOUT_COMPLETE)), 60);
  EXPECT_TRUE(counters.Read().empty());
  counters.End(attempt, VersionOutcome::kAnswered, milliseconds(1));
  EXPECT_TRUE(counters.Read().empty());
  counters.Begin(MakeRollout("desk", ROLLOUT_COMPLETE), "v2", "reports");
  EXPECT_TRUE(counters.Read().empty());
  counters.Begin(running, "v2", "reports");
  counters.Prune(With(MakeRollout("desk", ROLLOUT_RUNNING, 70)), 70);
  EXPECT_TRUE(counters.Read().empty());
}

// Guards against counts that decrease because a slow thread still has the configuration
// from before the rollout.
TEST(VersionCountersTest, IgnoresAnOlderConfiguration) {
  VersionCounters counters;
  const Rollout rollout = MakeRollout("desk", ROLLOUT_RUNNING);
  counters.Prune(With(rollout), 40);
  counters.Begin(rollout, "v2", "reports");
  counters.Prune(Configuration(), 39);
  EXPECT_EQ(counters.Read().size(), 1U);
}

// Guards against reports of unlimited size, and against running requests that the sum
// misses because their route has no entry of its own.
TEST(VersionCountersTest, CountsFurtherRoutesTogether) {
  VersionCounters counters;
  int begun = 0;
  for (const char* service : {"desk", "taller"}) {
    const Rollout rollout = MakeRollout(service, ROLLOUT_RUNNING);
    for (int n = 0; n < 100; ++n) {
      for (const char* version : {"v1", "v2"}) {
        counters.Begin(rollout, version, "route-" + std::to_string(n));
        ++begun;
      }
    }
  }
  const std::vector<VersionCounts> counts = counters.Read();
  EXPECT_LE(counts.size(), VersionCounters::kMaxEntries);
  std::uint32_t running = 0;
  for (const VersionCounts& entry : counts) running += entry.running();
  EXPECT_EQ(running, static_cast<std::uint32_t>(begun));
}

}  // namespace
}  // namespace quetzal
