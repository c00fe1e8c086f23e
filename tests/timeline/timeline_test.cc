#include "timeline/timeline.h"

#include <sstream>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/result_code.h"
#include "simulation/source_file.h"

namespace quetzal {
namespace {

/// One process with its own wall clock and hybrid clock.
class Process {
 public:
  Process(const std::string& program, const std::string& instance, Duration skew)
      : origin_{program, instance, "haro"}, hybrid_(&clock_) {
    clock_.SkewWall(skew);
  }

  HybridTime Emit(const Event& event) {
    const HybridTime hlc = hybrid_.Tick();
    lines_.push_back(FormatEventLine(origin_, clock_.WallNow(), hlc, event));
    return hlc;
  }

  void Receive(const HybridTime& sent) { hybrid_.Observe(sent); }
  void Advance(Duration by) { clock_.Advance(by); }
  const std::vector<std::string>& lines() const { return lines_; }

 private:
  EventOrigin origin_;
  ManualClock clock_;
  HybridClock hybrid_;
  std::vector<std::string> lines_;
};

std::string Text(Timeline* timeline) {
  std::string text;
  for (const TimelineRecord& record : timeline->TakeAll()) {
    text += FormatTimelineText(record) + "\n";
  }
  return text;
}

void AddAll(const Process& process, Timeline* timeline) {
  for (const std::string& line : process.lines()) timeline->AddLine(line);
}

/// Events of an intent, logged by processes whose wall clocks are minutes apart.
struct IntentScenario {
  Process control{"quetzal-control", "control-1", std::chrono::minutes(-3)};
  Process node{"quetzal-node", "haro-1", std::chrono::minutes(4)};

  IntentScenario() {
    node.Emit({"process.started", {}});
    control.Emit({"intent.declared", {{"intent", "1-a"}}});
    control.Emit({"intent.planned", {{"intent", "1-a"}, {"code", "0"}}});
    control.Advance(std::chrono::milliseconds(5));
    const HybridTime sent = control.Emit(
        {"configuration.confirmed", {{"intent", "1-a"}, {"version", "2.7"}}});
    node.Receive(sent);
    const HybridTime applied = node.Emit({"configuration.applied", {{"version", "2.7"}}});
    node.Emit({"configuration.applied", {{"version", "2.8"}}});
    control.Receive(applied);
    // The operator is answered after the first nodes have the configuration.
    control.Emit(
        {"intent.confirmed", {{"intent", "1-a"}, {"code", "0"}, {"version", "2.7"}}});
    control.Emit(
        {"intent.done", {{"intent", "1-a"}, {"version", "2.7"}, {"proxies", "1"}}});
  }
};

/// Events of a request with a key: from the node that received it from the caller to the
/// node of the backend server, and back.
struct KeyScenario {
  Process receiving{"quetzal-node", "haro-1", std::chrono::minutes(2)};
  Process admitting{"quetzal-node", "haro-2", std::chrono::minutes(-7)};

  KeyScenario() {
    const HybridTime accepted =
        receiving.Emit({"call.accepted", {{"key", "order-1"}, {"code", "0"}}});
    receiving.Emit({"call.accepted", {{"key", "order-2"}, {"code", "0"}}});
    admitting.Receive(accepted);
    const HybridTime admitted =
        admitting.Emit({"call.admitted", {{"key", "order-1"}, {"attempt", "a-1"}}});
    receiving.Receive(admitted);
    receiving.Emit(
        {"call.delivered", {{"key", "order-1"}, {"code", "0"}, {"peer", "haro-2"}}});
  }
};

/// Events of the instance haro-1 from its start to its stop, logged by itself and a peer.
struct InstanceScenario {
  Process instance{"quetzal-node", "haro-1", std::chrono::minutes(-6)};
  Process peer{"quetzal-node", "haro-2", std::chrono::minutes(6)};

  InstanceScenario() {
    peer.Emit({"member.joined", {{"peer", "haro-3"}}});
    const HybridTime started = instance.Emit({"process.started", {{"incarnation", "5"}}});
    peer.Receive(started);
    peer.Emit({"member.joined", {{"peer", "haro-1"}}});
    const HybridTime suspected = peer.Emit({"member.suspect", {{"peer", "haro-1"}}});
    instance.Receive(suspected);
    instance.Emit({"configuration.applied", {{"version", "2.7"}}});
    instance.Emit({"process.stopping", {}});
    const HybridTime leaving = instance.Emit({"member.leaving", {{"peer", "haro-1"}}});
    peer.Receive(leaving);
    const HybridTime left = peer.Emit({"member.left", {{"peer", "haro-1"}}});
    instance.Receive(left);
    instance.Emit({"process.stopped", {{"cut", "0"}}});
  }
};

TEST(TimelineTest, EventsOfAnIntentMatchTheGoldenFile) {
  IntentScenario scenario;
  Timeline timeline({"1-a", "", ""});
  AddAll(scenario.node, &timeline);
  AddAll(scenario.control, &timeline);
  ExpectGolden("tests/timeline/golden/intent.txt", Text(&timeline));
}

TEST(TimelineTest, EventsOfAKeyMatchTheGoldenFile) {
  KeyScenario scenario;
  Timeline timeline({"", "order-1", ""});
  AddAll(scenario.admitting, &timeline);
  AddAll(scenario.receiving, &timeline);
  ExpectGolden("tests/timeline/golden/key.txt", Text(&timeline));
}

TEST(TimelineTest, EventsOfAnInstanceMatchTheGoldenFile) {
  InstanceScenario scenario;
  Timeline timeline({"", "", "haro-1"});
  AddAll(scenario.peer, &timeline);
  AddAll(scenario.instance, &timeline);
  ExpectGolden("tests/timeline/golden/instance.txt", Text(&timeline));
}

TEST(TimelineTest, EventsAfterTheHorizonAreKept) {
  IntentScenario scenario;
  Timeline timeline({});
  AddAll(scenario.control, &timeline);
  const auto first = ParseTimelineLine(scenario.control.lines().front());
  EXPECT_EQ(timeline.TakeUntil(first.hlc).size(), 1U);
  EXPECT_EQ(timeline.TakeAll().size(), 4U);
}

TEST(TimelineTest, InstanceFilterSelectsEventsOfOrAboutTheInstance) {
  IntentScenario scenario;
  Timeline timeline({"", "", "haro-1"});
  AddAll(scenario.control, &timeline);
  AddAll(scenario.node, &timeline);
  EXPECT_EQ(timeline.TakeAll().size(), 3U);
}

TEST(TimelineTest, MalformedLinesAreCounted) {
  Timeline timeline({});
  timeline.AddLine("{\"time\":");
  timeline.AddLine("[1]");
  timeline.AddLine("");
  EXPECT_EQ(timeline.malformed_lines(), 2U);
  EXPECT_TRUE(timeline.TakeAll().empty());
}

RC_GTEST_PROP(TimelineProperty, AnyBytesAreAnEventOrAMalformedLine,
              (const std::string& line)) {
  Timeline timeline({});
  timeline.AddLine(line);
  RC_ASSERT(timeline.TakeAll().size() + timeline.malformed_lines() <= 1U);
}

RC_GTEST_PROP(TimelineProperty, JsonOutputIsReadAgainAsTheSameEvent,
              (const std::string& value, std::uint32_t counter)) {
  const Event event{"area.what", {{"field", value}}};
  const std::string line =
      FormatEventLine({"p", "i", "d"}, WallTime(), HybridTime{5, counter}, event);
  const TimelineRecord record = ParseTimelineLine(line);
  RC_ASSERT(FormatTimelineJson(record) == line);
}

}  // namespace
}  // namespace quetzal
