// Random schedules of steps and faults, after which the fleet must converge.
// QUETZAL_SCHEDULES sets their number, QUETZAL_SCHEDULE_SEED runs only the one with this
// seed.
#include <algorithm>
#include <cstdlib>
#include <string>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "simulation/sim_faults.h"

namespace quetzal::simulation {
namespace {

constexpr std::uint64_t kShards = 10;
constexpr std::uint64_t kSchedules = 1000;

std::uint64_t NumberFrom(const char* variable, std::uint64_t default_value) {
  const char* text = std::getenv(variable);  // NOLINT(concurrency-mt-unsafe)
  return text == nullptr ? default_value : std::stoull(text);
}

SimFleet::Node* RandomNode(SimFleet* fleet, Random* random) {
  return &fleet->nodes[random->Below(fleet->nodes.size())];
}

void CutRandomLink(SimFleet* fleet, Random* random) {
  const std::vector<std::string> places = {"haro", "logrono", "cenicero"};
  const std::string from = random->Below(3) == 0 ? RandomNode(fleet, random)->host->name
                                                 : places[random->Below(3)];
  const std::string& to = places[random->Below(3)];
  if (from == to) return;
  fleet->world.Cut(from, to);
  if (random->Below(2) == 0) fleet->world.Cut(to, from);
}

void RunRandomAction(SimFleet* fleet, Random* random) {
  SimFleet::Node* node = RandomNode(fleet, random);
  switch (random->Below(14)) {
    case 0:
    case 1:
    case 2:
      fleet->Confirm();
      return;
    case 3:
      return fleet->Crash(node);
    case 4:
      return RestartCrashed(fleet);
    case 5:
      fleet->Crash(node);
      return fleet->StartNode(node);
    case 6:
      return CutRandomLink(fleet, random);
    case 7:
      return fleet->world.HealAll();
    case 8:
      if (node->distribution != nullptr) fleet->world.Pause(node->host);
      return;
    case 9:
      return ResumeAll(fleet);
    case 10:
      fleet->world.conditions.drop_share = 0.4 * random->Unit();
      fleet->world.conditions.duplicate_share = random->Unit();
      fleet->world.conditions.max_extra_delay =
          random->Below(Duration(milliseconds(500)));
      return;
    case 11:
      return fleet->Announce(node, random->Below(2) == 0 ? SERVER_UP : SERVER_NONE);
    case 12:
      return fleet->Crash(&fleet->controls[random->Below(fleet->controls.size())]);
    default:
      return CrashRelays(fleet, 1 + random->Below(2));
  }
}

void RunSchedule(std::uint64_t seed) {
  Random random(seed * 7919);
  SimFleet fleet(seed,
                 {{{"haro", 5}, {"logrono", 2}}, {"haro", "logrono", "cenicero"}, 4});
  fleet.StartAll();
  fleet.world.Run(random.Below(Duration(seconds(4))));
  for (auto& node : fleet.nodes) fleet.Announce(&node, SERVER_UP);
  const std::uint64_t actions = 4 + random.Below(14);
  for (std::uint64_t n = 0; n < actions; ++n) {
    RunRandomAction(&fleet, &random);
    // Many faults fall between two messages, some after a long idle time.
    const Duration most =
        random.Below(3) == 0 ? Duration(seconds(6)) : Duration(milliseconds(20));
    fleet.world.Run(random.Below(most));
  }
  EndAllFaults(&fleet);
  EXPECT_EQ(fleet.Settle(seconds(60)), "") << "after the faults";
  EXPECT_TRUE(fleet.Confirm());
  EXPECT_EQ(fleet.Settle(seconds(10)), "") << "a change after the faults";
  EXPECT_THAT(fleet.violations, testing::IsEmpty());
}

class RandomSchedule : public testing::TestWithParam<std::uint64_t> {};

TEST_P(RandomSchedule, ConvergesAfterTheFaults) {
  const std::uint64_t only = NumberFrom("QUETZAL_SCHEDULE_SEED", 0);
  const std::uint64_t schedules = NumberFrom("QUETZAL_SCHEDULES", kSchedules);
  for (std::uint64_t seed = 1 + GetParam(); seed <= schedules; seed += kShards) {
    if (only != 0 && only != seed) continue;
    SCOPED_TRACE("seed " + std::to_string(seed));
    RunSchedule(seed);
    if (HasFailure()) return;
  }
}

INSTANTIATE_TEST_SUITE_P(Shards, RandomSchedule,
                         testing::Range<std::uint64_t>(0, kShards));

}  // namespace
}  // namespace quetzal::simulation
