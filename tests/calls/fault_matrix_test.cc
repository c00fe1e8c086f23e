#include <functional>
#include <ostream>

#include <gtest/gtest.h>

#include "calls/sim_cluster.h"

namespace quetzal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Node 0 receives the request and has no backend server; nodes 1 and 2 can admit it; node
// 3 receives the resends.
constexpr std::size_t kReceiver = 0;
constexpr std::size_t kResendReceiver = 3;
constexpr char kCaller[] = "10.9.0.1";
constexpr char kReceiverHost[] = "10.0.0.1";

/// One cell of the matrix: a request with one fault at one step.
struct Cell {
  SimCluster cluster{4};
  std::shared_ptr<AnswerRecorder> first;
  std::vector<std::shared_ptr<AnswerRecorder>> resends;
  bool keyed = false;
  bool fault_injected = false;
  std::size_t admitting = 1;  ///< The admitting node, once it is known.
  int backend_streams = 0;    ///< Streams opened to backend servers.

  FakeBackendServer& server() { return *cluster.servers[admitting]; }
  const std::string& admitting_host() { return cluster.nodes[admitting].streams.address; }
  std::shared_ptr<AnswerRecorder> Send(std::size_t node) {
    return keyed ? cluster.PostOrder(node, "key-1", "hoops")
                 : cluster.GetReport(node, "hoops");
  }
};

struct Fault {
  const char* name;
  std::function<void(Cell*)> inject;
  bool for_idempotent = true;  ///< Applies to idempotent requests too.
  bool caller_may_get_no_answer = false;
};

struct Step {
  const char* name;
  bool for_idempotent;
  /// True for the event at which the fault is injected; null: the claim of the key.
  std::function<bool(Cell*, const std::string& from, const std::string& to,
                     const std::string& kind)>
      reached;
  std::function<void(Cell*)> before_fault = nullptr;
};

bool IsBackend(const std::string& host) { return host.rfind("10.0.1.", 0) == 0; }

const std::vector<Fault>& Faults() {
  static const auto* const faults = new std::vector<Fault>{
      {"none", [](Cell*) {}},
      {"caller_disconnects", [](Cell* c) { c->first->stream->Reset(); }, true, true},
      {"receiving_node_dies", [](Cell* c) { c->cluster.Kill(kReceiver); }, true, true},
      {"admitting_node_dies", [](Cell* c) { c->cluster.Kill(c->admitting); }},
      {"admitting_node_restarts", [](Cell* c) { c->cluster.Restart(c->admitting); }},
      {"both_nodes_die",
       [](Cell* c) {
         c->cluster.Kill(kReceiver);
         c->cluster.Kill(c->admitting);
       },
       true, true},
      {"streams_cut",
       [](Cell* c) { c->cluster.net.CutStreams(kReceiverHost, c->admitting_host()); }},
      {"nodes_cut_off",
       [](Cell* c) {
         c->cluster.net.Block(kReceiverHost, c->admitting_host());
         c->cluster.loop.Schedule(milliseconds(300), [c] {
           c->cluster.net.CutStreams(kReceiverHost, c->admitting_host());
         });
         c->cluster.loop.Schedule(seconds(20), [c] { c->cluster.net.Heal(); });
       }},
      {"server_leaves",
       [](Cell* c) { c->cluster.SetState(c->admitting, SERVER_LEAVING); }},
      {"connect_fails",
       [](Cell* c) {
         c->cluster.net.listeners.erase(c->cluster.nodes[c->admitting].backend);
       }},
      {"server_runs_and_closes",
       [](Cell* c) { c->server().behaviour = Behaviour::kRunAndClose; }},
      {"answer_is_cut", [](Cell* c) { c->server().behaviour = Behaviour::kCutAnswer; }},
      {"answer_is_doubled",
       [](Cell* c) { c->server().behaviour = Behaviour::kDoubledAnswer; }},
      {"answer_is_late", [](Cell* c) { c->server().behaviour = Behaviour::kSlow; }},
      {"server_is_overloaded", [](Cell* c) { c->server().status = "503"; }},
      {"server_hangs", [](Cell* c) { c->server().behaviour = Behaviour::kHang; }},
      {"key_quorum_is_lost",
       [](Cell* c) { c->cluster.nodes[kReceiver].keys->quorum = false; }, false},
      {"receiver_pauses", [](Cell* c) { c->cluster.loop.clock.Advance(seconds(6)); }},
      {"resent_at_once", [](Cell* c) { c->resends.push_back(c->Send(kResendReceiver)); },
       false},
      {"configuration_is_lost", [](Cell* c) { c->cluster.routing.current = nullptr; }},
  };
  return *faults;
}

const std::vector<Step>& Steps() {
  using S = const std::string&;
  static const auto* const steps = new std::vector<Step>{
      {"accept", true,
       [](Cell*, S from, S to, S kind) {
         return from == kCaller && to == kReceiverHost && kind == "open";
       }},
      {"route", true,
       [](Cell*, S from, S to, S kind) {
         return from == kCaller && to == kReceiverHost && kind == "end";
       }},
      {"record", false, nullptr},
      {"admit", true,
       [](Cell*, S from, S to, S kind) {
         return from == kReceiverHost && !IsBackend(to) && kind == "open";
       }},
      {"connect", true,
       [](Cell*, S, S to, S kind) { return IsBackend(to) && kind == "open"; }},
      {"send", true,
       [](Cell*, S, S to, S kind) { return IsBackend(to) && kind == "end"; }},
      {"answer", true,
       [](Cell*, S from, S, S kind) { return IsBackend(from) && kind == "headers"; }},
      {"deliver", true,
       [](Cell*, S from, S to, S kind) {
         return from == kReceiverHost && to == kCaller && kind == "headers";
       }},
      {"drain", true,
       [](Cell*, S, S to, S kind) { return IsBackend(to) && kind == "open"; },
       [](Cell* c) { c->cluster.nodes[kReceiver].path->Drain([] {}); }},
      {"stop", true,
       [](Cell*, S, S to, S kind) { return IsBackend(to) && kind == "open"; },
       [](Cell* c) {
         const std::size_t node = c->admitting;
         // The process ends once its transport has sent the pending data.
         c->cluster.nodes[node].path->Drain([c, node] {
           c->cluster.loop.Schedule(2 * c->cluster.net.delay,
                                    [c, node] { c->cluster.Kill(node); });
         });
       }},
  };
  return *steps;
}

struct CellName {
  std::size_t fault;
  std::size_t step;
  bool keyed;
};

void PrintTo(const CellName& name, std::ostream* out) {
  *out << Faults()[name.fault].name << " at " << Steps()[name.step].name;
}

std::vector<CellName> AllCells() {
  std::vector<CellName> cells;
  for (std::size_t fault = 0; fault < Faults().size(); ++fault) {
    for (std::size_t step = 0; step < Steps().size(); ++step) {
      for (const bool keyed : {false, true}) {
        const bool applies =
            keyed || (Faults()[fault].for_idempotent && Steps()[step].for_idempotent);
        if (applies) cells.push_back({fault, step, keyed});
      }
    }
  }
  return cells;
}

class FaultMatrixTest : public testing::TestWithParam<CellName> {
 protected:
  FaultMatrixTest()
      : fault_(Faults()[GetParam().fault]), step_(Steps()[GetParam().step]) {
    cell_.keyed = GetParam().keyed;
    cell_.cluster.SetState(kReceiver, SERVER_NONE);
    cell_.cluster.SetState(kResendReceiver, SERVER_NONE);
    cell_.cluster.Distribute();
    cell_.cluster.nodes[kReceiver].keys->on_claim = [this] {
      if (!step_.reached) InjectFault();
    };
    cell_.cluster.net.should_drop = [this](const std::string& from, const std::string& to,
                                           const std::string& kind) {
      OnNetworkEvent(from, to, kind);
      return false;
    };
  }

  void OnNetworkEvent(const std::string& from, const std::string& to,
                      const std::string& kind) {
    if (from == kReceiverHost && !IsBackend(to) && kind == "open") {
      cell_.admitting = to == cell_.cluster.nodes[1].streams.address ? 1 : 2;
    }
    if (IsBackend(to) && kind == "open") ++cell_.backend_streams;
    if (step_.reached && step_.reached(&cell_, from, to, kind)) InjectFault();
  }

  void InjectFault() {
    if (cell_.fault_injected) return;
    cell_.fault_injected = true;
    cell_.cluster.loop.Schedule({}, [this] {
      if (step_.before_fault) step_.before_fault(&cell_);
      fault_.inject(&cell_);
    });
  }

  void CheckAnswer(const AnswerRecorder& received) {
    EXPECT_LE(received.answers, 1);
    if (received.has_server_answer()) {
      EXPECT_EQ(received.body, "done");
    }
  }

  const Fault& fault_;
  const Step& step_;
  Cell cell_;
};

TEST_P(FaultMatrixTest, RunsMatchTheAnswersToCallers) {
  SimCluster& cluster = cell_.cluster;
  cell_.first = cell_.Send(kReceiver);
  cluster.Run(seconds(15));
  EXPECT_TRUE(cell_.fault_injected);
  const AnswerRecorder& first = *cell_.first;
  CheckAnswer(first);
  if (!fault_.caller_may_get_no_answer) {
    EXPECT_TRUE(first.ended || first.cut) << "the caller got no answer";
  }
  const int runs = cluster.runs("hoops");
  if (first.reports_not_run() && cell_.resends.empty()) {
    EXPECT_EQ(runs, 0) << first.body;
  }
  if (first.has_server_answer()) {
    EXPECT_GE(runs, 1);
  }
  if (std::string(fault_.name) == "none") {
    EXPECT_TRUE(first.has_server_answer()) << first.body;
  }
  if (!cell_.keyed) return;
  EXPECT_LE(runs, 1);

  // The caller resends the request through another node.
  cluster.net.Heal();
  cluster.nodes[kResendReceiver].keys->quorum = true;
  if (!cluster.routing.current) cluster.Distribute();
  for (int n = 0; n < 3; ++n) {
    cell_.resends.push_back(cell_.Send(kResendReceiver));
    cluster.Run(seconds(8));
  }
  cluster.Run(seconds(60));
  EXPECT_LE(cluster.runs("hoops"), 1);
  for (const auto& received : cell_.resends) {
    CheckAnswer(*received);
    EXPECT_TRUE(received->whole()) << "a resend got no whole answer";
    if (received->has_server_answer()) {
      EXPECT_EQ(cluster.runs("hoops"), 1);
    }
  }
  if (cell_.resends.back()->reports_not_run()) {
    EXPECT_EQ(cluster.runs("hoops"), 0);
  }
}

TEST_P(FaultMatrixTest, NoRequestStaysInFlight) {
  cell_.first = cell_.Send(kReceiver);
  cell_.cluster.Run(seconds(120));
  for (const SimNode& node : cell_.cluster.nodes) {
    if (!*node.alive) continue;
    EXPECT_EQ(node.path->counts().in_flight, 0U) << node.name;
    EXPECT_EQ(node.path->counts().queued, 0U) << node.name;
  }
}

INSTANTIATE_TEST_SUITE_P(Cells, FaultMatrixTest, testing::ValuesIn(AllCells()),
                         [](const testing::TestParamInfo<CellName>& info) {
                           return std::string(Faults()[info.param.fault].name) + "_at_" +
                                  Steps()[info.param.step].name +
                                  (info.param.keyed ? "_keyed" : "_idempotent");
                         });

}  // namespace
}  // namespace quetzal
