#include "control/rollout_controller.h"

#include <gtest/gtest.h>

#include "base/result_code.h"
#include "configuration/rollout_list.h"
#include "control/control_fakes.h"
#include "control/order_content.h"
#include "control/order_service.h"

namespace quetzal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RecordingLog final : public EventLog {
 public:
  void Emit(const Event& event) override { events.push_back(event); }
  int Count(const std::string& name, const std::string& value = "") const {
    return static_cast<int>(
        std::count_if(events.begin(), events.end(), [&](const Event& event) {
          if (event.name != name) return false;
          return value.empty() ||
                 std::any_of(event.fields.begin(), event.fields.end(),
                             [&](const auto& field) { return field.second == value; });
        }));
  }
  std::vector<Event> events;
};

/// A node that reports to one control instance.
struct Node {
  std::string name;
  std::string data_centre;
  int control = 0;
  std::uint64_t incarnation = 1;
  bool connected = true;
  bool applies = true;
  std::uint64_t old_answered = 0;
  std::uint64_t new_answered = 0;
  std::uint64_t new_failed = 0;
  std::uint32_t old_running = 0;
  Version applied;
};

/// Control instances a, which leads at first, and b, with two nodes each.
class RolloutControllerTest : public testing::Test {
 protected:
  struct Instance {
    Instance(const std::string& name, std::uint16_t port, RolloutControllerTest* test)
        : control(name, {"127.0.0.1", port}, &test->log_, &test->network_,
                  {{"a", {"127.0.0.1", 1}}, {"b", {"127.0.0.1", 2}}}, &test->clock_,
                  &test->executor_),
          rollouts({&control.agreement, &control.machine, control.service.get(),
                    &test->executor_, &test->clock_, &events}) {
      rollouts.Start();
    }
    ControlFixture control;
    RecordingLog events;
    RolloutController rollouts;
  };

  RolloutControllerTest() {
    for (const char* name : {"n1", "n2"}) nodes_.push_back({name, "haro", 0});
    for (const char* name : {"n3", "n4"}) nodes_.push_back({name, "este", 1});
    Lead(0);
    ControlEntry entry;
    ReplaceConfiguration order;
    order.set_number(1);
    ReplacedContent content;
    content.mutable_configuration()->add_services()->set_name("desk");
    order.set_digest(DigestOfDocument(content.document()));
    order.set_content(content.SerializeAsString());
    *entry.mutable_replace() = At(0).control.machine.Pack(order);
    Commit(entry);
    Run(seconds(9));  // The lease of a new leader.
  }

  Instance& At(int i) { return i == 0 ? a_ : b_; }

  void Lead(int leader) {
    ++log_.term;
    for (int i = 0; i < 2; ++i) {
      LeadershipView& view = At(i).control.agreement.view;
      view.leading = i == leader;
      view.term = log_.term;
      view.leader = leader == 0 ? "a" : "b";
    }
  }
  void Commit(const ControlEntry& entry) {
    log_.Commit(&a_.control.machine, entry.SerializeAsString());
  }
  void StartRollout(int duration_s = 40) {
    ControlEntry entry;
    entry.set_wall_micros(
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                       clock_.WallNow().time_since_epoch())
                                       .count()));
    auto* start = entry.mutable_start_rollout();
    start->set_service("desk");
    start->set_version("v2");
    start->set_duration_ms(static_cast<std::uint32_t>(duration_s * 1000));
    start->set_max_share_permille(100);
    Commit(entry);
  }
  Rollout Get() {
    const auto configuration = a_.control.machine.configuration();
    const Rollout* rollout = FindRollout(*configuration, "desk");
    return rollout == nullptr ? Rollout() : *rollout;
  }
  RolloutState State() { return Get().state(); }

  VersionCounts Counts(const Node& node, bool new_version) {
    VersionCounts counts;
    counts.set_service("desk");
    *counts.mutable_started() = Get().started();
    counts.set_route("r");
    counts.set_new_version(new_version);
    counts.set_answered(new_version ? node.new_answered : node.old_answered);
    counts.set_failed(new_version ? node.new_failed : 0);
    counts.set_time_ms(counts.answered() * 100);
    counts.set_running(new_version ? 0 : node.old_running);
    return counts;
  }

  void Report(Node* node) {
    if (node->applies) node->applied = At(node->control).control.published;
    ProxyAck ack =
        MakeAck(node->name, node->data_centre, "desk", node->applied, node->incarnation);
    ack.version_counts = {Counts(*node, false), Counts(*node, true)};
    At(node->control).control.service->OnAck(ack);
  }

  /// Each node gets 10 responses a second of the old version and 5 of the new one, of
  /// which `failing_` fail, and reports every 200 ms.
  void Run(Duration time) {
    for (; time > Duration(0); time -= milliseconds(200)) {
      for (Node& node : nodes_) {
        node.old_answered += State() == ROLLOUT_RUNNING ? 2 : 0;
        node.new_answered += failing_ ? 0 : 1;
        node.new_failed += failing_ ? 1 : 0;
        if (node.connected) Report(&node);
      }
      executor_.Advance(milliseconds(200));
    }
  }

  ManualClock clock_;
  ManualExecutor executor_{&clock_};
  FakeLog log_;
  std::map<Endpoint, FakeRpc*> network_;
  Instance a_{"a", 1, this};
  Instance b_{"b", 2, this};
  std::vector<Node> nodes_;
  bool failing_ = false;
};

TEST_F(RolloutControllerTest, AGoodVersionIsShiftedAndCompletes) {
  StartRollout();
  Run(seconds(23));
  EXPECT_EQ(State(), ROLLOUT_RUNNING);
  Run(seconds(5));
  EXPECT_EQ(State(), ROLLOUT_COMPLETE);
  EXPECT_EQ(a_.events.Count("rollout.started"), 1);
  EXPECT_EQ(a_.events.Count("rollout.advanced", "shifting"), 1);
  EXPECT_EQ(a_.events.Count("rollout.advanced", "complete"), 1);
  EXPECT_TRUE(b_.events.events.empty()) << "only the leader logs and decides";
}

TEST_F(RolloutControllerTest, ABadVersionIsRolledBackWithinSeconds) {
  StartRollout();
  Run(seconds(5));
  failing_ = true;
  Run(seconds(5));
  EXPECT_EQ(State(), ROLLOUT_ROLLED_BACK);
  EXPECT_NE(Get().reason().find("failed"), std::string::npos) << Get().reason();
}

// Guards against old servers that are stopped while requests run there.
TEST_F(RolloutControllerTest, ItCompletesOnlyWhenNoRequestRunsAtOldServers) {
  StartRollout();
  nodes_[3].old_running = 1;
  Run(seconds(35));
  EXPECT_EQ(State(), ROLLOUT_SHIFTING);
  EXPECT_GE(a_.events.Count("rollout.delayed", "requests of n4 at old servers"), 1);
  EXPECT_LE(a_.events.Count("rollout.delayed"), 6) << "bounded";
  nodes_[3].old_running = 0;
  Run(seconds(1));
  EXPECT_EQ(State(), ROLLOUT_COMPLETE);
}

TEST_F(RolloutControllerTest, ItCompletesOnlyWhenAllNodesApplyTheShift) {
  StartRollout();
  Run(seconds(20));
  nodes_[1].applies = false;
  Run(seconds(30));
  EXPECT_EQ(State(), ROLLOUT_SHIFTING) << "also after the deadline";
  nodes_[1].applies = true;
  Run(seconds(1));
  EXPECT_EQ(State(), ROLLOUT_COMPLETE);
}

// Guards against a node that cannot be reached during the shift, keeps the old state and
// has its servers stopped.
TEST_F(RolloutControllerTest, AnUnreachableNodeDelaysTheEnd) {
  StartRollout();
  Run(seconds(20));
  nodes_[2].connected = false;
  Run(seconds(60));
  EXPECT_EQ(State(), ROLLOUT_SHIFTING);
  nodes_[2].connected = true;
  Run(seconds(1));
  EXPECT_EQ(State(), ROLLOUT_COMPLETE);
}

TEST_F(RolloutControllerTest,
       APartitionedDataCentreDelaysTheEndAlsoIfItsNodesCountAsDead) {
  StartRollout();
  Run(seconds(20));
  for (const std::size_t i : {2U, 3U}) {
    nodes_[i].connected = false;
    ProxyAck dead = MakeAck(nodes_[i].name, "este", "desk", nodes_[i].applied);
    dead.state = MEMBER_DEAD;
    a_.control.service->OnAck(dead);
  }
  Run(seconds(130));  // Beyond the time after which the tracker forgets dead nodes.
  EXPECT_EQ(State(), ROLLOUT_SHIFTING);
  EXPECT_GE(a_.events.Count("rollout.delayed", "the data centre este"), 1);
  for (Node& node : nodes_) {
    node.connected = true;
    if (node.data_centre == "este") node.incarnation = 2;
  }
  Run(seconds(1));
  EXPECT_EQ(State(), ROLLOUT_COMPLETE);
}

TEST_F(RolloutControllerTest, ADeadNodeOfAnAnsweringDataCentreIsWaitedForABoundedTime) {
  StartRollout();
  Run(seconds(23));
  nodes_[2].connected = false;
  ProxyAck dead = MakeAck("n3", "este", "desk", nodes_[2].applied);
  dead.state = MEMBER_DEAD;
  a_.control.service->OnAck(dead);
  Run(seconds(8));
  EXPECT_EQ(State(), ROLLOUT_SHIFTING);
  Run(seconds(4));
  EXPECT_EQ(State(), ROLLOUT_COMPLETE);
}

// Guards against a decision of the old leader that gets lost or is made twice.
TEST_F(RolloutControllerTest, TheNextLeaderContinuesFromTheLog) {
  StartRollout();
  Run(seconds(20));
  nodes_[0].old_running = 1;
  Run(seconds(5));
  EXPECT_EQ(State(), ROLLOUT_SHIFTING);
  Lead(1);
  nodes_[0].old_running = 0;
  Run(seconds(2));
  EXPECT_EQ(State(), ROLLOUT_SHIFTING) << "a node may not have reported to it yet";
  EXPECT_EQ(b_.events.Count("rollout.advanced", "shifting"), 1);
  Run(seconds(8));
  EXPECT_EQ(State(), ROLLOUT_COMPLETE);
  EXPECT_EQ(a_.events.Count("rollout.advanced", "complete"), 0);
  EXPECT_EQ(b_.events.Count("rollout.advanced", "complete"), 1);
}

TEST_F(RolloutControllerTest, AnUnknownOutcomeIsDecidedAgain) {
  StartRollout();
  Run(seconds(23));
  a_.control.agreement.next_outcomes = {ProposalOutcome::kLost,
                                        ProposalOutcome::kCommitAnswerLost,
                                        ProposalOutcome::kCommitTwice};
  Run(seconds(5));
  EXPECT_EQ(State(), ROLLOUT_COMPLETE);
}

// Guards against a new leader that shifts on the reports of its own nodes while the other
// half has seen the failures.
TEST_F(RolloutControllerTest, ANewLeaderWaitsForReports) {
  StartRollout();
  Run(seconds(23));
  Lead(1);
  Run(seconds(2));
  EXPECT_EQ(State(), ROLLOUT_RUNNING);
  Run(seconds(3));
  EXPECT_EQ(State(), ROLLOUT_SHIFTING);
}

// Guards against a rollout of which the duration begins again with each leader.
TEST_F(RolloutControllerTest, ANewLeaderKnowsTheTimeSinceTheStart) {
  StartRollout();
  Run(seconds(10));
  Lead(1);
  Run(seconds(12));
  EXPECT_EQ(State(), ROLLOUT_RUNNING);
  Run(seconds(4));
  EXPECT_NE(State(), ROLLOUT_RUNNING);
}

TEST_F(RolloutControllerTest, WithoutALeaderNothingAdvances) {
  StartRollout();
  Run(seconds(5));
  for (int i = 0; i < 2; ++i) {
    At(i).control.agreement.view.leading = false;
    At(i).control.agreement.view.leader = "";
  }
  failing_ = true;
  Run(seconds(60));
  EXPECT_EQ(State(), ROLLOUT_RUNNING);
  Lead(0);
  Run(seconds(1));
  EXPECT_EQ(State(), ROLLOUT_ROLLED_BACK) << "clear evidence is acted on at once";
}

// Guards against a restarted node whose lost counts hide the failures.
TEST_F(RolloutControllerTest, RestartsOfNodesDoNotReduceTheCounts) {
  StartRollout();
  failing_ = true;
  Run(milliseconds(600));
  EXPECT_EQ(a_.rollouts.responses().new_version.failed, 4U * 3U);
  for (Node& node : nodes_) {
    ++node.incarnation;
    node.new_failed = 0;
    node.old_answered = 0;
    node.new_answered = 0;
  }
  Run(milliseconds(400));
  EXPECT_EQ(a_.rollouts.responses().new_version.failed, 4U * 5U);
  EXPECT_EQ(a_.rollouts.in_progress(), 1U);
}

}  // namespace
}  // namespace quetzal
