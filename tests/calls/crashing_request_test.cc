// Requests that crash the backend servers that run them, beside ordinary requests.
#include <algorithm>

#include <gtest/gtest.h>

#include "calls/crash_cluster.h"

namespace quetzal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class CrashingRequestTest : public ::testing::Test {
 protected:
  /// Sends ordinary requests and, with each `period`, the request for `path` at changing
  /// nodes.
  void SendLoad(const std::string& path, Duration period, Duration span) {
    constexpr Duration kStep = milliseconds(20);
    for (Duration done{}; done < span; done += kStep) {
      const std::size_t node = sent_++ % kNodes;
      ordinary_.push_back(cluster_.cluster.Send(
          node, "GET", "/reports/" + std::to_string(sent_), "", ""));
      if (done % period == Duration::zero()) {
        crashing_.push_back(cluster_.cluster.Send(node, "GET", path, "", ""));
      }
      cluster_.Run(kStep);
    }
  }

  static constexpr int kNodes = 6;
  CrashCluster cluster_{kNodes};
  int sent_ = 0;
  std::vector<std::shared_ptr<AnswerRecorder>> ordinary_;
  std::vector<std::shared_ptr<AnswerRecorder>> crashing_;
};

// Guards against a request that crashes one backend server after another: it may reach at
// most three more 3 s after the third crash.
TEST_F(CrashingRequestTest, ARepeatedCrashingRequestIsShutOut) {
  cluster_.crashing_paths = {"/reports/crash"};
  SendLoad("/reports/crash", milliseconds(400), seconds(40));
  ASSERT_GE(cluster_.crashes, 1);
  if (cluster_.crashes < 3) return;
  const SteadyTime limit = cluster_.crashed_at[2] + seconds(3);
  EXPECT_LE(std::count_if(cluster_.crashing_runs.begin(), cluster_.crashing_runs.end(),
                          [&](SteadyTime at) { return at > limit; }),
            3)
      << cluster_.crashes << " crashes in all";
}

}  // namespace
}  // namespace quetzal
