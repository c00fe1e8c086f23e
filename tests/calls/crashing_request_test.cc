// Requests that crash the backend servers that run them, beside ordinary requests; see
// backend_call_crashes.cc for what the node beside a server does.
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

// The same at other rates, from several requests within the time until a crash is known.
class CrashingRequestRateTest : public CrashingRequestTest,
                                public ::testing::WithParamInterface<int> {};

TEST_P(CrashingRequestRateTest, ItIsShutOut) {
  cluster_.crashing_paths = {"/reports/crash"};
  SendLoad("/reports/crash", milliseconds(GetParam()), seconds(30));
  cluster_.Run(seconds(1));
  RecordProperty("crashes", cluster_.crashes);
  if (cluster_.crashes < 3) return;
  const SteadyTime limit = cluster_.crashed_at[2] + seconds(3);
  EXPECT_LE(std::count_if(cluster_.crashing_runs.begin(), cluster_.crashing_runs.end(),
                          [&](SteadyTime at) { return at > limit; }),
            3)
      << cluster_.crashes << " crashes in all";
  EXPECT_EQ(std::count_if(ordinary_.begin(), ordinary_.end(),
                          [](const auto& answer) {
                            return answer->result() ==
                                   static_cast<int>(ResultCode::kRequestCrashesServers);
                          }),
            0);
}

INSTANTIATE_TEST_SUITE_P(PeriodMs, CrashingRequestRateTest,
                         ::testing::Values(100, 200, 400, 800, 1600));

// Guards against a proper request that is shut out since it ran on servers that crashed
// together.
TEST_F(CrashingRequestTest, ARequestThatRanInAMassCrashIsServed) {
  for (const auto& server : cluster_.cluster.servers) {
    server->service_time = milliseconds(600);
  }
  const auto send_page = [this](int count) {
    std::vector<std::shared_ptr<AnswerRecorder>> answers;
    for (int n = 0; n < count; ++n) {
      answers.push_back(
          cluster_.cluster.Send(n % kNodes, "GET", "/reports/page", "", ""));
    }
    return answers;
  };
  SendLoad("/reports/other", seconds(100), seconds(2));
  const auto burst = send_page(30);
  cluster_.Run(milliseconds(300));
  for (int n = 0; n < 3; ++n) cluster_.EndServer(n);
  cluster_.Run(seconds(8));
  for (int n = 0; n < 10; ++n) {
    const auto answers = send_page(2);
    cluster_.Run(seconds(1));
    for (const auto& answer : answers) EXPECT_EQ(answer->status(), "200") << n;
  }
}

/// Servers that crash together while many callers send the same request, again and again.
class MassCrashTest : public CrashingRequestTest {
 protected:
  using Answers = std::vector<std::shared_ptr<AnswerRecorder>>;

  MassCrashTest() {
    for (const auto& server : cluster_.cluster.servers) {
      server->service_time = milliseconds(600);
    }
  }

  Answers Send(int count, const std::string& method, const std::string& path,
               const std::string& body = "") {
    Answers answers;
    for (int n = 0; n < count; ++n) {
      answers.push_back(cluster_.cluster.Send(n % kNodes, method, path, "", body));
    }
    return answers;
  }

  /// Three servers crash, others in each round if `shift` is not zero; all are back
  /// before the end.
  void CrashTogether(int round, int shift) {
    cluster_.Run(milliseconds(300));
    for (int n = 0; n < 3; ++n) cluster_.EndServer((n + round * shift) % kNodes);
    cluster_.Run(seconds(6));
  }

  void ExpectNotShutOut(const Answers& answers) {
    for (const auto& answer : answers) {
      EXPECT_NE(answer->result(), static_cast<int>(ResultCode::kRequestCrashesServers));
    }
  }
};

// Guards against a request that is shut out since the same servers crash again and again
// beside it.
TEST_F(MassCrashTest, RepeatedCrashesOfTheSameServersShutNothingOut) {
  for (int round = 0; round < 8; ++round) {
    const auto answers = Send(30, "GET", "/reports/page");
    CrashTogether(round, 0);
    ExpectNotShutOut(answers);
  }
  for (const auto& answer : Send(2, "GET", "/reports/page")) {
    cluster_.Run(seconds(1));
    EXPECT_EQ(answer->status(), "200");
  }
}

// The same with other servers each time, and callers between the crashes.
TEST_F(MassCrashTest, RepeatedCrashesOfOtherServersShutNothingOut) {
  for (int round = 0; round < 8; ++round) {
    const auto answers = Send(30, "GET", "/reports/page");
    CrashTogether(round, 1);
    ExpectNotShutOut(answers);
    for (int n = 0; n < 10; ++n) {
      const auto later = Send(2, "GET", "/reports/page");
      cluster_.Run(seconds(1));
      for (const auto& answer : later) EXPECT_EQ(answer->status(), "200") << round;
    }
  }
}

// Guards against orders that are shut out: they are not repeated, so that no call that
// lost a server proves that another one answers them.
TEST_F(MassCrashTest, OrdersThatMayNotBeRepeatedAreNotShutOut) {
  for (int round = 0; round < 4; ++round) {
    const auto answers = Send(30, "POST", "/orders", "the same order");
    CrashTogether(round, 0);
    ExpectNotShutOut(answers);
    cluster_.Run(seconds(2));
  }
  const auto later = Send(2, "POST", "/orders", "the same order");
  cluster_.Run(seconds(1));
  for (const auto& answer : later) EXPECT_EQ(answer->status(), "200");
}

// Guards against a cause that is hidden by other crashes, or by a page that is popular.
TEST_F(MassCrashTest, ACauseIsShutOutAmidMassCrashes) {
  cluster_.crashing_paths = {"/reports/crash"};
  Answers pages;
  for (int round = 0; round < 5; ++round) {
    for (const auto& answer : Send(6, "GET", "/reports/page")) pages.push_back(answer);
    SendLoad("/reports/crash", milliseconds(400), seconds(3));
    CrashTogether(round, 1);
  }
  ExpectNotShutOut(pages);
  const std::size_t runs = cluster_.crashing_runs.size();
  ASSERT_GE(runs, 3U);
  const SteadyTime limit =
      cluster_.crashing_runs[2] + CrashCluster::kTimeToCrash + seconds(3);
  EXPECT_LE(std::count_if(cluster_.crashing_runs.begin(), cluster_.crashing_runs.end(),
                          [&](SteadyTime at) { return at > limit; }),
            3);
  const auto later = Send(6, "GET", "/reports/crash");
  cluster_.Run(seconds(1));
  for (const auto& answer : later) EXPECT_EQ(answer->status(), "400");
  EXPECT_EQ(cluster_.crashing_runs.size(), runs);
}

// Guards against a doubt that costs several servers at a time.
TEST_F(MassCrashTest, ASuspectedRequestRunsOnOneServer) {
  Send(30, "GET", "/reports/page");
  CrashTogether(0, 0);
  std::vector<int> runs;
  for (const auto& server : cluster_.cluster.servers)
    runs.push_back(server->total_runs());
  Send(6, "GET", "/reports/page");
  cluster_.Run(seconds(1));
  int used = 0;
  for (std::size_t n = 0; n < runs.size(); ++n) {
    used += cluster_.cluster.servers[n]->total_runs() > runs[n] ? 1 : 0;
  }
  EXPECT_EQ(used, 1);
}

// Guards against ordinary requests that are shut out with the one beside them.
TEST_F(CrashingRequestTest, OrdinaryRequestsAreServedBesideIt) {
  cluster_.crashing_paths = {"/reports/crash"};
  SendLoad("/reports/crash", milliseconds(400), seconds(10));
  cluster_.Run(seconds(5));
  const std::size_t sent_before = ordinary_.size();
  SendLoad("/reports/crash", milliseconds(400), seconds(10));
  cluster_.Run(seconds(2));
  for (std::size_t n = 0; n < ordinary_.size(); ++n) {
    const int result = ordinary_[n]->result();
    EXPECT_NE(result, static_cast<int>(ResultCode::kRequestCrashesServers)) << n;
    if (n >= sent_before) {
      EXPECT_EQ(ordinary_[n]->status(), "200") << n;
    }
  }
}

// Guards against a request that counts as another one at each node, since its caller
// names the host by the node's address.
TEST_F(CrashingRequestTest, TheHostOfTheRequestMakesNoDifference) {
  cluster_.crashing_paths = {"/reports/crash"};
  for (int n = 0; n < 20; ++n) {
    cluster_.cluster.Send(n % kNodes, "GET", "/reports/crash", "", "",
                          {{"host", "10.0.0." + std::to_string(n % kNodes + 1)}});
    cluster_.Run(seconds(1));
  }
  EXPECT_EQ(cluster_.crashes, 4) << "both attempts of a call, and two on trial";
}

TEST_F(CrashingRequestTest, ItsCallerIsToldNotToRepeatIt) {
  cluster_.crashing_paths = {"/reports/crash"};
  SendLoad("/reports/crash", milliseconds(400), seconds(10));
  const auto received = cluster_.cluster.Send(0, "GET", "/reports/crash", "", "");
  cluster_.Run(milliseconds(50));
  EXPECT_EQ(received->status(), "400");
  EXPECT_EQ(received->result(), static_cast<int>(ResultCode::kRequestCrashesServers));
  EXPECT_TRUE(received->reports_not_run());
  EXPECT_EQ(HeaderValue(received->headers, "retry-after"), "600");
}

TEST_F(CrashingRequestTest, OneCallCostsTwoServersAtMost) {
  cluster_.crashing_paths = {"/reports/crash"};
  for (Route& route : *cluster_.cluster.configuration.mutable_routes()) {
    route.set_attempts(0);
  }
  cluster_.Run(seconds(1));
  const auto received = cluster_.cluster.Send(0, "GET", "/reports/crash", "", "");
  cluster_.Run(seconds(5));
  EXPECT_EQ(cluster_.crashes, 2);
  EXPECT_FALSE(received->reports_not_run());
}

// One request a second, so that no other one finds out that a server has ended, and each
// crash is known everywhere before the next request. Guards against ends that are noticed
// only when the successor starts.
TEST_F(CrashingRequestTest, AnOrderIsJudgedByItsBody) {
  cluster_.crashing_paths = {"bad order"};
  const auto post = [this](const std::string& body) {
    return cluster_.cluster.Send(sent_++ % kNodes, "POST", "/orders", "", body);
  };
  for (int n = 0; n < 20; ++n) {
    post("bad order");
    cluster_.Run(seconds(1));
  }
  EXPECT_EQ(cluster_.crashes, 3) << "nothing ran beside it: all but the first on trial";
  cluster_.Run(seconds(4));
  const auto bad = post("bad order");
  const auto good = post("good order");
  cluster_.Run(milliseconds(300));
  EXPECT_TRUE(bad->reports_not_run());
  EXPECT_EQ(bad->status(), "400");
  EXPECT_EQ(good->status(), "200");
}

// A body that comes in pieces after the node has judged the head.
TEST_F(CrashingRequestTest, AStreamedOrderWaitsForItsBody) {
  cluster_.crashing_paths = {"bad order"};
  for (int n = 0; n < 10; ++n) {
    cluster_.cluster.Send(sent_++ % kNodes, "POST", "/orders", "", "bad order");
    cluster_.Run(milliseconds(500));
  }
  cluster_.Run(seconds(4));
  const int crashes = cluster_.crashes;
  const auto bad = cluster_.cluster.SendPieces(0, "/orders", "", {"bad ", "order"});
  const auto good = cluster_.cluster.SendPieces(1, "/orders", "", {"good ", "order"});
  cluster_.Run(milliseconds(300));
  EXPECT_EQ(bad->status(), "400");
  EXPECT_EQ(good->status(), "200");
  EXPECT_EQ(cluster_.crashes, crashes);
}

// One caller polls the same report everywhere while all servers lose power. Guards
// against a request that is shut out for running on many servers at once.
TEST_F(CrashingRequestTest, APollOutlivesMassCrashes) {
  for (int round = 0; round < 4; ++round) {
    SendLoad("/reports/poll", milliseconds(20), seconds(3));
    for (int n = 0; n < kNodes; ++n) cluster_.EndServer(n);
    cluster_.Run(seconds(5));
  }
  EXPECT_EQ(cluster_.crashes, 4 * kNodes);
  const auto received = cluster_.cluster.Send(0, "GET", "/reports/poll", "", "");
  cluster_.Run(milliseconds(300));
  EXPECT_EQ(received->status(), "200");
}

// Runs that end well must not hide a request that crashes servers from now on.
TEST_F(CrashingRequestTest, ARequestThatWasHarmlessBeforeIsShutOut) {
  SendLoad("/reports/crash", milliseconds(100), seconds(3));
  cluster_.crashing_paths = {"/reports/crash"};
  SendLoad("/reports/crash", milliseconds(400), seconds(20));
  const SteadyTime limit = cluster_.crashed_at.back() + seconds(3);
  EXPECT_LT(limit, cluster_.cluster.loop.clock.Now()) << "the last crash was long ago";
  EXPECT_LE(cluster_.crashes, 2 * kNodes) << "each node forgives one crash";
}

// Guards against planned work that counts as crashes.
TEST_F(CrashingRequestTest, AReplacementOfAllServersShutsNothingOut) {
  for (int round = 0; round < 4; ++round) {
    for (int n = 0; n < kNodes; ++n) {
      cluster_.LeaveAndReplace(n);
      SendLoad("/reports/poll", milliseconds(20), milliseconds(500));
    }
  }
  EXPECT_TRUE(cluster_.cluster.crashing == nullptr || cluster_.cluster.crashing->empty());
}

}  // namespace
}  // namespace quetzal
