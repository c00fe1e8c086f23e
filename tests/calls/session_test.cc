
#include <gtest/gtest.h>

#include "calls/sim_cluster.h"
#include "simulation/source_file.h"

namespace quetzal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Sends one order repeatedly and writes a transcript of events and answers.
class Session {
 public:
  explicit Session(const std::string& title) {
    Write("== " + title);
    // One instance in each data centre has a backend server.
    cluster.SetState(2, SERVER_NONE);
    cluster.SetState(3, SERVER_NONE);
    cluster.Distribute();
  }

  void PostOrder(std::size_t node) {
    ++tries_;
    const std::string caller = "caller, try " + std::to_string(tries_);
    Write(caller + ": order 17 to " + cluster.nodes[node].name);
    recorders_.emplace_back(caller, cluster.PostOrder(node, "key-17", "order 17"));
  }

  void Run(Duration span) {
    const Duration step = milliseconds(1);
    for (Duration done{}; done < span; done += step) {
      cluster.Run(step);
      for (auto& [caller, recorder] : recorders_) WriteAnswer(caller, recorder.get());
    }
  }

  void Write(const std::string& line) {
    AppendEvents();
    text_ += line + "\n";
  }

  std::string Finish() {
    Write("backend servers ran order 17: " + std::to_string(cluster.runs("order 17")));
    return text_;
  }

  SimCluster cluster{4};

 private:
  /// Writes an answer once, when it has ended.
  void WriteAnswer(const std::string& caller, AnswerRecorder* recorder) {
    if (!recorder->ended && !recorder->cut) return;
    if (!written_.insert(recorder).second) return;
    std::string line = caller + ": ";
    line +=
        recorder->cut ? "cut" : "received " + recorder->status() + " " + recorder->body;
    for (const char* name : {"x-quetzal-replayed", "retry-after"}) {
      const auto value = HeaderValue(recorder->headers, name);
      if (!value.empty()) line.append(", ").append(name).append(" ").append(value);
    }
    Write(line);
  }

  void AppendEvents() {
    for (const std::string& line : cluster.lines) text_ += line + "\n";
    cluster.lines.clear();
  }

  std::string text_;
  int tries_ = 0;
  std::vector<std::pair<std::string, std::shared_ptr<AnswerRecorder>>> recorders_;
  std::set<AnswerRecorder*> written_;
};

TEST(SessionTest, OrderResentAcrossTwoDataCentres) {
  Session session("an order is resent across two data centres");
  session.cluster.servers[0]->service_time = milliseconds(100);
  session.PostOrder(2);
  session.Run(milliseconds(30));
  session.Write(
      "-- node-3, which received it, dies; the caller resends it to the other data "
      "centre");
  session.cluster.Kill(2);
  session.PostOrder(1);
  session.Run(milliseconds(30));
  session.PostOrder(3);
  session.Run(milliseconds(300));
  session.Write("-- much later");
  session.PostOrder(1);
  session.Run(milliseconds(50));
  ExpectGolden("tests/calls/golden/order_resent.txt", session.Finish());
}

TEST(SessionTest, OrderDuringACut) {
  Session session("an order is resent while the data centres are cut off");
  SimCluster& cluster = session.cluster;
  cluster.servers[0]->service_time = milliseconds(50);
  session.PostOrder(0);
  session.Run(milliseconds(10));
  session.Write(
      "-- haro and logrono are cut off; logrono has no majority of the records");
  for (const std::size_t haro : {0, 2}) {
    for (const std::size_t logrono : {1, 3}) {
      cluster.net.Block(cluster.nodes[haro].streams.address,
                        cluster.nodes[logrono].streams.address);
    }
  }
  cluster.nodes[1].keys->quorum = false;
  session.PostOrder(1);
  session.Run(milliseconds(200));
  session.Write("-- a majority answers logrono again, the admitting node does not");
  cluster.nodes[1].keys->quorum = true;
  cluster.records["key-17"].set_phase(KEY_SENT);
  session.PostOrder(1);
  session.Run(seconds(4));
  session.Write("-- the cut is over");
  cluster.net.Heal();
  session.PostOrder(1);
  session.Run(milliseconds(100));
  ExpectGolden("tests/calls/golden/order_during_cut.txt", session.Finish());
}

TEST(SessionTest, OrderWhoseAdmittingNodeRestarted) {
  Session session("the admitting node restarts while its backend server runs an order");
  session.cluster.servers[0]->service_time = milliseconds(50);
  session.PostOrder(2);
  session.Run(milliseconds(10));
  session.Write("-- node-1 restarts with empty memory");
  session.cluster.Restart(0);
  session.Run(milliseconds(100));
  session.PostOrder(1);
  session.Run(milliseconds(100));
  ExpectGolden("tests/calls/golden/admitting_node_restarted.txt", session.Finish());
}

}  // namespace
}  // namespace quetzal
