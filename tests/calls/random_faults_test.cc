#include <gtest/gtest.h>

#include "calls/sim_cluster.h"

namespace quetzal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSchedules = 1500;
constexpr int kKeys = 4;
constexpr std::size_t kNodes = 4;

/// Sends orders with a few keys repeatedly through all nodes while several random faults
/// are active at once: nodes die, restart or are cut off, servers misbehave, nodes lose
/// the quorum of the key records.
class Schedule {
 public:
  explicit Schedule(std::uint64_t seed) : random_(seed) {
    cluster_.net.jitter = [this] { return Jitter(); };
  }

  void Run() {
    for (int n = 0; n < 12; ++n) {
      SendOrder();
      if (random_.Below(3) == 0) InjectFault();
      cluster_.Run(milliseconds(random_.Below(4)) +
                   std::chrono::microseconds(random_.Below(1000)));
      if (random_.Below(4) == 0) cluster_.Run(milliseconds(random_.Below(3000)));
    }
    cluster_.Run(seconds(90));
  }

  void Check() const {
    for (int key = 0; key < kKeys; ++key) {
      EXPECT_LE(cluster_.runs(Body(key)), 1) << Body(key);
    }
    for (const auto& [key, received] : sent_) {
      EXPECT_LE(received->answers, 1);
      if (!received->has_server_answer()) continue;
      EXPECT_EQ(cluster_.runs(Body(key)), 1);
      EXPECT_EQ(received->body, "done");
    }
  }

  int runs() const {
    int all = 0;
    for (int key = 0; key < kKeys; ++key) all += cluster_.runs(Body(key));
    return all;
  }

 private:
  /// Mostly zero; at times longer than another coordinating node waits before it
  /// fences the attempt.
  Duration Jitter() {
    if (random_.Below(12) != 0) return {};
    return milliseconds(random_.Below(200));
  }

  static std::string Body(int key) { return "order " + std::to_string(key); }

  void SendOrder() {
    const int key = static_cast<int>(random_.Below(kKeys));
    const std::size_t node = random_.Below(kNodes);
    sent_.emplace_back(key,
                       cluster_.PostOrder(node, "key-" + std::to_string(key), Body(key)));
  }

  void InjectFault() {
    const std::size_t node = random_.Below(kNodes);
    const std::string& host = cluster_.nodes[node].streams.address;
    const std::string& other = cluster_.nodes[(node + 1) % kNodes].streams.address;
    switch (random_.Below(9)) {
      case 0:
        return cluster_.Kill(node);
      case 1:
      case 2:
        return cluster_.Restart(node);
      case 3:
        return cluster_.net.CutStreams(host, other);
      case 4:
        return cluster_.net.Block(host, other);
      case 5:
        return cluster_.net.Heal();
      case 6:
        cluster_.nodes[node].keys->quorum = !cluster_.nodes[node].keys->quorum;
        return;
      case 7:
        cluster_.servers[node]->behaviour = static_cast<Behaviour>(random_.Below(6));
        return;
      default:
        cluster_.SetState(node, random_.Below(2) == 0 ? SERVER_LEAVING : SERVER_UP);
        return cluster_.Distribute();
    }
  }

  Random random_;
  SimCluster cluster_{kNodes};
  std::vector<std::pair<int, std::shared_ptr<AnswerRecorder>>> sent_;
};

TEST(RandomFaultsTest, NoOrderRunsTwice) {
  int runs = 0;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Schedule schedule(seed);
    schedule.Run();
    schedule.Check();
    runs += schedule.runs();
    if (HasFailure()) break;
  }
  // The test proves nothing if the faults prevent the orders from running.
  EXPECT_GT(runs, kSchedules);
}

}  // namespace
}  // namespace quetzal
