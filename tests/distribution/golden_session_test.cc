// Compares whole simulated sessions with golden files, with a fixed seed.
// QUETZAL_WRITE_GOLDEN=1 rewrites the files.
#include <iomanip>
#include <sstream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "simulation/sim_faults.h"
#include "simulation/source_file.h"

namespace quetzal::simulation {
namespace {

class Session {
 public:
  Session(std::uint64_t seed, FleetShape shape) : fleet(seed, std::move(shape)) {
    fleet.StartAll();
    fleet.world.Run(milliseconds(10));
    for (auto& node : fleet.nodes) fleet.Announce(&node, SERVER_UP);
    EXPECT_EQ(fleet.Settle(seconds(20)), "");
    start_ = fleet.world.clock.Now();
    Note("settled");
  }

  void Note(const std::string& event) {
    const auto since =
        std::chrono::duration_cast<milliseconds>(fleet.world.clock.Now() - start_);
    text_ << std::setw(6) << since.count() << " ms  " << event << "\n";
    AddStateLine();
  }

  /// Advances the simulation by `span` and adds a line whenever the visible state
  /// changes.
  void Run(Duration span) {
    const SteadyTime end = fleet.world.clock.Now() + span;
    while (fleet.world.clock.Now() < end) {
      fleet.world.Run(milliseconds(250));
      AddStateLine();
    }
  }

  std::string text() const { return text_.str(); }

  SimFleet fleet;

 private:
  void AddStateLine() {
    std::ostringstream line;
    std::map<std::string, int> versions;
    std::size_t up = 0;
    std::string relays;
    for (const auto& node : fleet.nodes) {
      if (node.distribution == nullptr) continue;
      ++up;
      const auto snapshot = node.distribution->routing().snapshot();
      ++versions[snapshot == nullptr ? "none" : ToText(snapshot->version)];
      const bool relay = node.distribution->status().relay;
      if (relay && node.host->data_centre == "haro") relays += " " + node.host->name;
    }
    line << "up " << up << ", serving";
    for (const auto& [version, count] : versions) line << " " << version << " x" << count;
    line << ", relays of haro:" << relays;
    if (line.str() == last_) return;
    last_ = line.str();
    const auto since =
        std::chrono::duration_cast<milliseconds>(fleet.world.clock.Now() - start_);
    text_ << std::setw(6) << since.count() << " ms    " << last_ << "\n";
  }

  std::ostringstream text_;
  std::string last_;
  SteadyTime start_;
};

TEST(GoldenSession, DataCentreCrashAndMassRestart) {
  Session session(11,
                  {{{"haro", 30}, {"logrono", 10}}, {"haro", "logrono", "cenicero"}, 8});
  for (auto& node : session.fleet.nodes) {
    if (node.host->data_centre == "haro") session.fleet.Crash(&node);
  }
  session.Note("every node of haro dies");
  session.Run(seconds(2));
  session.fleet.Confirm();
  session.Note("a configuration is confirmed");
  session.Run(seconds(8));
  RestartCrashed(&session.fleet);
  session.Note("all start at once");
  session.Run(seconds(8));
  EXPECT_EQ(session.fleet.Settle(seconds(40)), "");
  EXPECT_THAT(session.fleet.violations, testing::IsEmpty());
  ExpectGolden("tests/distribution/golden/data_centre_crash_and_mass_restart.txt",
               session.text());
}

TEST(GoldenSession, RelayLostRightAfterItReplacedAnother) {
  Session session(12,
                  {{{"haro", 12}, {"logrono", 3}}, {"haro", "logrono", "cenicero"}, 8});
  const int relays = session.fleet.events["relay.started"];
  session.fleet.Crash(session.fleet.Relay("haro"));
  session.Note("a relay dies");
  for (int n = 0; n < 150 && session.fleet.events["relay.started"] == relays; ++n) {
    session.fleet.world.Run(milliseconds(100));
  }
  ASSERT_GT(session.fleet.events["relay.started"], relays);
  session.Note("another has taken over");
  session.fleet.Confirm();
  session.fleet.Crash(session.fleet.Relay("haro"));
  session.Note("a configuration is confirmed; the next relay dies");
  session.Run(seconds(12));
  EXPECT_TRUE(session.fleet.AllLiveNodes([&](const SimFleet::Node& node) {
    return IsSame(node.distribution->status().applied_version,
                  session.fleet.LastVersion());
  }));
  RestartCrashed(&session.fleet);
  session.Note("both are back");
  session.Run(seconds(5));
  EXPECT_EQ(session.fleet.Settle(seconds(40)), "");
  EXPECT_THAT(session.fleet.violations, testing::IsEmpty());
  ExpectGolden("tests/distribution/golden/relay_lost_after_it_replaced_another.txt",
               session.text());
}

}  // namespace
}  // namespace quetzal::simulation
