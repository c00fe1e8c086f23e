// Each configuration withdraws the credential of the one before. No node may use a
// credential for longer than the lease after its withdrawal was acknowledged, whatever
// fails. QUETZAL_SCHEDULES sets the number of random schedules, QUETZAL_SCHEDULE_SEED
// runs only the one with this seed.
#include <cstdlib>
#include <string>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "simulation/sim_faults.h"

namespace quetzal::simulation {
namespace {

constexpr Duration kLease = milliseconds(4750);
constexpr Duration kStep = milliseconds(20);
constexpr std::uint64_t kSchedules = 150;

FleetShape Shape(Duration lease) {
  FleetShape shape{{{"haro", 5}, {"logrono", 2}}, {"haro", "logrono", "cenicero"}, 4};
  shape.credential_lease = lease;
  shape.has_teams = true;
  return shape;
}

/// Runs a fleet and checks every node after each step, as threads of callers' requests
/// see it; a node that is paused or was just resumed is no exception.
class CredentialFleet {
 public:
  CredentialFleet(std::uint64_t seed, Duration lease) : fleet(seed, Shape(lease)) {
    fleet.StartAll();
  }

  void Run(Duration span) {
    const SteadyTime end = fleet.world.clock.Now() + span;
    Check();
    while (fleet.world.clock.Now() < end) {
      fleet.world.Run(kStep);
      Check();
    }
  }

  /// Whether the node would use a credential now.
  static bool Uses(const SimFleet::Node& node) {
    if (node.distribution == nullptr) return false;
    RoutingSource& routing = node.distribution->routing();
    return routing.credentials_proved() && routing.snapshot() != nullptr;
  }

  /// Number of nodes of the data centre that would use a credential now.
  int Using(const std::string& data_centre) const {
    int count = 0;
    for (const SimFleet::Node& node : fleet.nodes) {
      if (node.host->data_centre == data_centre && Uses(node)) ++count;
    }
    return count;
  }

  SimFleet fleet;
  std::uint64_t uses = 0;
  std::string violation;  ///< The first one.

 private:
  void Check() {
    for (SimFleet::Node& node : fleet.nodes) {
      if (!Uses(node)) continue;
      ++uses;
      const auto snapshot = node.distribution->routing().snapshot();
      const std::size_t withdrawn_by = snapshot->version.index() / 10;
      if (withdrawn_by >= fleet.confirmed.size()) continue;
      const Duration age = fleet.world.clock.Now() - fleet.confirmed_at[withdrawn_by];
      if (age <= kLease || !violation.empty()) continue;
      violation = node.host->name + " uses a credential withdrawn " +
                  std::to_string(age / milliseconds(1)) + " ms ago";
    }
  }
};

SimFleet::Node* RandomNode(SimFleet* fleet, Random* random) {
  return &fleet->nodes[random->Below(fleet->nodes.size())];
}

/// An answer may wait in a paused node while the credential is withdrawn and the node
/// is cut off.
void PauseWhileWithdrawn(CredentialFleet* test, SimFleet::Node* node, Duration pause) {
  if (node->distribution == nullptr) return;
  test->fleet.world.Pause(node->host);
  test->Run(milliseconds(300));  // What is under way to the node arrives.
  for (const char* place : {"haro", "logrono", "cenicero"}) {
    CutBothWays(&test->fleet, node->host->name, place);
  }
  test->fleet.Confirm();
  test->Run(pause);
  test->fleet.world.Resume(node->host);
}

void RunRandomAction(CredentialFleet* test, Random* random) {
  SimFleet* fleet = &test->fleet;
  static const std::vector<std::string> places = {"haro", "logrono", "cenicero"};
  SimFleet::Node* node = RandomNode(fleet, random);
  SimFleet::Control* control = &fleet->controls[random->Below(fleet->controls.size())];
  switch (random->Below(15)) {
    case 0:
    case 1:
    case 2:
      fleet->Confirm();
      return;
    case 3:
      fleet->Crash(node);
      return fleet->StartNode(node);
    case 4:
    case 5: {
      const std::string from =
          random->Below(2) == 0 ? node->host->name : places[random->Below(3)];
      const std::string& to = places[random->Below(3)];
      if (from == to) return;
      fleet->world.Cut(from, to);
      if (random->Below(2) == 0) fleet->world.Cut(to, from);
      return;
    }
    case 6:
      return fleet->world.HealAll();
    case 7:
      if (node->distribution != nullptr) fleet->world.Pause(node->host);
      return;
    case 8:
      return ResumeAll(fleet);
    case 9:
      // Another control instance leads from then on.
      fleet->Crash(control);
      return fleet->StartControl(control);
    case 10:
      if (control->publisher != nullptr) fleet->world.Pause(control->host);
      return;
    case 11:
    case 12:
      return PauseWhileWithdrawn(test, node, random->Below(Duration(seconds(5))));
    case 13:
      // The nodes refuse this configuration, and must not use what it withdraws.
      fleet->Confirm(false);
      return;
    default:
      fleet->world.conditions.max_extra_delay =
          random->Below(Duration(milliseconds(500)));
      return;
  }
}

std::uint64_t NumberFrom(const char* variable, std::uint64_t default_value) {
  const char* text = std::getenv(variable);  // NOLINT(concurrency-mt-unsafe)
  return text == nullptr ? default_value : std::stoull(text);
}

TEST(CredentialSchedule, NoCredentialOutlivesItsLease) {
  const std::uint64_t only = NumberFrom("QUETZAL_SCHEDULE_SEED", 0);
  const std::uint64_t schedules = NumberFrom("QUETZAL_SCHEDULES", kSchedules);
  std::uint64_t uses = 0;
  for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
    if (only != 0 && only != seed) continue;
    SCOPED_TRACE("seed " + std::to_string(seed));
    Random random(seed * 7919);
    CredentialFleet test(seed, kLease);
    test.Run(random.Below(Duration(seconds(4))));
    const std::uint64_t actions = 3 + random.Below(8);
    for (std::uint64_t n = 0; n < actions; ++n) {
      RunRandomAction(&test, &random);
      const Duration most =
          random.Below(2) == 0 ? Duration(seconds(6)) : Duration(milliseconds(30));
      test.Run(random.Below(most));
    }
    test.Run(seconds(6));
    ASSERT_EQ(test.violation, "");
    uses += test.uses;
    EndAllFaults(&test.fleet);
    ASSERT_TRUE(test.fleet.Confirm());
    ASSERT_EQ(test.fleet.Settle(seconds(60)), "") << "after the faults";
    // A message may still take half a second, and a question passes a relay.
    for (int n = 0; n < 100 && test.Using("haro") + test.Using("logrono") < 7; ++n) {
      test.Run(milliseconds(100));
    }
    ASSERT_EQ(test.Using("haro") + test.Using("logrono"), 7) << "after the faults";
    ASSERT_THAT(test.fleet.violations, testing::IsEmpty());
  }
  EXPECT_GT(uses, 0U);
}

// Shows that the check above finds a node without a lease.
TEST(CredentialSchedule, WithoutALeaseACredentialOutlivesItsWithdrawal) {
  CredentialFleet test(1, Duration::zero());
  test.Run(seconds(4));
  CutBothWays(&test.fleet, "haro", "logrono");
  CutBothWays(&test.fleet, "haro", "cenicero");
  test.fleet.Confirm();
  test.Run(seconds(8));
  EXPECT_NE(test.violation, "");
}

class CredentialOutage : public testing::Test {
 protected:
  CredentialOutage() {
    test_.Run(seconds(5));
    EXPECT_EQ(test_.Using("haro"), 5);
  }

  void CutOffHaro() {
    for (const char* other : {"logrono", "cenicero", "control-0"}) {
      CutBothWays(&test_.fleet, "haro", other);
    }
  }

  CredentialFleet test_{3, kLease};
};

// A short outage of the path to the control instances must not be felt.
TEST_F(CredentialOutage, ANodeGoesOnForThreeSeconds) {
  CutOffHaro();
  for (int n = 0; n < 150; ++n) {
    test_.Run(kStep);
    ASSERT_EQ(test_.Using("haro"), 5) << n * 20 << " ms after the cut";
  }
  test_.Run(seconds(2));
  EXPECT_EQ(test_.Using("haro"), 0);
  test_.fleet.world.HealAll();
  test_.Run(seconds(3));
  EXPECT_EQ(test_.Using("haro"), 5) << "after the path is back";
  EXPECT_EQ(test_.violation, "");
}

// Guards against a node that goes on after a long pause with what it knew before it.
TEST_F(CredentialOutage, AResumedNodeUsesNoCredentialAtOnce) {
  SimFleet::Node* node = AffectedNode(&test_.fleet);
  test_.fleet.world.Pause(node->host);
  test_.fleet.Confirm();
  test_.Run(kLease + milliseconds(50));
  EXPECT_FALSE(CredentialFleet::Uses(*node));
  test_.fleet.world.Resume(node->host);
  EXPECT_FALSE(CredentialFleet::Uses(*node));
  test_.Run(seconds(3));
  EXPECT_TRUE(CredentialFleet::Uses(*node));
  EXPECT_EQ(test_.violation, "");
}

// The nodes behind a frozen relay must find another source before the lease runs out.
TEST_F(CredentialOutage, AFrozenRelayIsNotFelt) {
  SimFleet::Node* relay = test_.fleet.Relay("haro");
  ASSERT_NE(relay, nullptr);
  test_.fleet.world.Pause(relay->host);
  for (int n = 0; n < 500; ++n) {
    test_.Run(kStep);
    ASSERT_GE(test_.Using("haro"), 4) << n * 20 << " ms after the pause";
  }
}

}  // namespace
}  // namespace quetzal::simulation
