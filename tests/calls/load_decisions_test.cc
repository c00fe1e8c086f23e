// Admission, retries and the choice of a server under typical patterns of load, without a
// network.
#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "calls/admission_control.h"
#include "calls/caller_timeout_estimator.h"
#include "calls/load_table.h"
#include "calls/refusal_rates.h"
#include "calls/retry_budgets.h"
#include "calls/service_times.h"

namespace quetzal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(ServiceTimesTest, EachKindOfWorkHasItsOwnEstimate) {
  ServiceTimes times;
  EXPECT_EQ(times.Expected("read"), Duration::zero());
  for (int n = 0; n < 50; ++n) {
    times.Record("read", milliseconds(50));
    times.Record("report", milliseconds(900));
  }
  EXPECT_EQ(times.Expected("read"), milliseconds(50));
  EXPECT_EQ(times.Expected("report"), milliseconds(900));
  EXPECT_EQ(times.Expected("new"), times.mean());
  EXPECT_GT(times.mean(), milliseconds(50));
}

class AdmissionPatternTest : public testing::Test {
 protected:
  AdmissionPatternTest() {
    AdmissionLimits limits;
    limits.state = SERVER_UP;
    limits.slots = 2;
    limits.queue = 8;
    control_.SetLimits(limits, clock_.Now());
  }

  /// Runs requests of kind `work` that take `time` each, so that their duration is known.
  void TrainServiceTime(const std::string& work, Duration time) {
    for (int n = 0; n < 100; ++n) {
      Offer(1000 + n, work, seconds(9));
      RecordDecisions(control_.Finish(work, time, clock_.Now()));
    }
    decisions_.clear();
  }

  void Offer(std::uint64_t id, const std::string& work, Duration objective,
             std::optional<Duration> max_wait = std::nullopt,
             std::uint32_t priority = 1) {
    AdmissionRequest request;
    request.id = id;
    request.priority = priority;
    request.deadline = clock_.Now() + seconds(10);
    request.objective = clock_.Now() + objective;
    request.max_wait = max_wait;
    request.work = work;
    RecordDecisions(control_.Offer(request, clock_.Now()));
  }
  void Finish(const std::string& work, Duration time) {
    RecordDecisions(control_.Finish(work, time, clock_.Now()));
  }
  void RecordDecisions(const AdmissionControl::Decisions& decisions) {
    for (const AdmissionDecision& decision : decisions)
      decisions_[decision.id] = decision;
  }
  ResultCode CodeOf(std::uint64_t id) {
    return decisions_.count(id) == 0 ? ResultCode::kPending : decisions_[id].code;
  }

  ManualClock clock_;
  AdmissionControl control_;
  std::map<std::uint64_t, AdmissionDecision> decisions_;
};

// A service near its capacity: some servers still have free slots. A request that accepts
// no wait is refused with the expected wait.
TEST_F(AdmissionPatternTest, ARequestThatAcceptsNoWaitIsRefusedWithTheExpectedWait) {
  TrainServiceTime("read", milliseconds(100));
  for (const int id : {1, 2}) Offer(id, "read", seconds(1), Duration::zero());
  EXPECT_EQ(CodeOf(1), ResultCode::kOk);
  EXPECT_EQ(CodeOf(2), ResultCode::kOk);
  Offer(3, "read", seconds(1), Duration::zero());
  EXPECT_EQ(CodeOf(3), ResultCode::kServerFull);
  EXPECT_EQ(decisions_[3].retry_after, milliseconds(50)) << "half a service time";
  Offer(4, "read", seconds(1));
  EXPECT_EQ(CodeOf(4), ResultCode::kPending);
  Offer(5, "read", seconds(2), Duration::zero());
  EXPECT_EQ(decisions_[5].retry_after, milliseconds(100)) << "behind the queued request";
}

// A burst beyond capacity: requests that would miss their objective are refused at once,
// so that the others meet theirs.
TEST_F(AdmissionPatternTest, RequestsOfABurstThatWouldMissTheirObjectiveAreShed) {
  TrainServiceTime("read", milliseconds(100));
  for (int id = 1; id <= 12; ++id) {
    Offer(id, "read", milliseconds(260));
    clock_.Advance(std::chrono::microseconds(10));
  }
  int waiting = 0;
  int refused = 0;
  for (int id = 3; id <= 12; ++id) {
    if (CodeOf(id) == ResultCode::kPending) ++waiting;
    if (CodeOf(id) == ResultCode::kShed) ++refused;
  }
  EXPECT_EQ(waiting, 3) << "three more fit into 160 ms at two slots";
  EXPECT_EQ(refused, 7);
  clock_.Advance(milliseconds(100));
  for (int n = 0; n < 2; ++n) Finish("read", milliseconds(100));
  EXPECT_EQ(CodeOf(3), ResultCode::kOk);
}

// Urgent calls, which other requests wait for, arrive behind long requests.
TEST_F(AdmissionPatternTest, UrgentRequestsOvertakeLongOnes) {
  TrainServiceTime("report", milliseconds(800));
  TrainServiceTime("call", milliseconds(50));
  for (const int id : {1, 2, 3, 4}) Offer(id, "report", seconds(4));
  Offer(5, "call", milliseconds(700), std::nullopt, 0);
  EXPECT_EQ(CodeOf(5), ResultCode::kPending);
  Finish("report", milliseconds(800));
  EXPECT_EQ(CodeOf(5), ResultCode::kOk);
  EXPECT_EQ(CodeOf(3), ResultCode::kPending);
}

// Calls of another service's requests arrive at a server that is full of long orders of
// the same priority: a refused call would waste the work of the request that made it.
TEST_F(AdmissionPatternTest, ShortCallsOvertakeLongOrdersOfTheSamePriority) {
  TrainServiceTime("order", milliseconds(200));
  TrainServiceTime("call", milliseconds(40));
  for (int id = 1; id <= 6; ++id) Offer(id, "order", seconds(2));
  for (int id = 7; id <= 9; ++id) Offer(id, "call", milliseconds(400));
  for (int id = 7; id <= 9; ++id) EXPECT_EQ(CodeOf(id), ResultCode::kPending) << id;
  for (int id = 7; id <= 9; ++id) {
    Finish("call", milliseconds(40));
    EXPECT_EQ(CodeOf(id), ResultCode::kOk) << id;
  }
  EXPECT_EQ(CodeOf(3), ResultCode::kPending);
}

// Kinds of work of similar length keep the order of their callers' objectives.
TEST_F(AdmissionPatternTest, WorkOfSimilarLengthIsNotReordered) {
  TrainServiceTime("read", milliseconds(120));
  TrainServiceTime("report", milliseconds(200));
  for (const int id : {1, 2}) Offer(id, "read", seconds(2));
  Offer(3, "report", seconds(1));
  Offer(4, "read", seconds(2));
  Finish("read", milliseconds(120));
  EXPECT_EQ(CodeOf(3), ResultCode::kOk);
  EXPECT_EQ(CodeOf(4), ResultCode::kPending);
}

// Work whose time varies: half of the requests with just enough time for the mean are
// answered in time, which is better than to refuse them all.
TEST_F(AdmissionPatternTest, VaryingWorkIsAdmittedByItsMeanTime) {
  TrainServiceTime("read", milliseconds(100));
  for (int n = 0; n < 100; ++n) {
    Offer(1000 + n, "read", seconds(9));
    Finish("read", n % 2 == 0 ? milliseconds(20) : milliseconds(180));
  }
  decisions_.clear();
  for (const int id : {1, 2}) Offer(id, "read", seconds(2));
  Offer(3, "read", milliseconds(180));
  EXPECT_EQ(CodeOf(3), ResultCode::kPending);
}

// A server becomes slow while requests are queued for it.
TEST_F(AdmissionPatternTest, ALateRequestIsShedWhenAnotherCanStillBeInTime) {
  TrainServiceTime("read", milliseconds(100));
  for (const int id : {1, 2}) Offer(id, "read", seconds(1));
  Offer(3, "read", milliseconds(300));
  clock_.Advance(milliseconds(250));
  Offer(4, "read", milliseconds(500));
  Finish("read", milliseconds(250));
  EXPECT_EQ(CodeOf(3), ResultCode::kShed);
  EXPECT_EQ(CodeOf(4), ResultCode::kOk);
}

// The same without another queued request: a late answer is better than none.
TEST_F(AdmissionPatternTest, ALateRequestIsServedWhenNoOtherIsQueued) {
  TrainServiceTime("read", milliseconds(100));
  for (const int id : {1, 2}) Offer(id, "read", seconds(1));
  Offer(3, "read", milliseconds(300));
  clock_.Advance(milliseconds(400));
  Finish("read", milliseconds(400));
  EXPECT_EQ(CodeOf(3), ResultCode::kOk);
}

// Sustained overload: callers that retry at once would be refused again.
// A server in need: it has free slots and takes fewer requests than come. Its requests
// are spread over time, and those that can't be served in time are refused at once.
class RateLimitPatternTest : public AdmissionPatternTest {
 protected:
  void SetRateLimit(std::optional<double> per_second) {
    RecordDecisions(control_.SetRateLimit(per_second, clock_.Now()));
  }
  void AdvanceAndAdmit(Duration by) {
    clock_.Advance(by);
    RecordDecisions(control_.AdmitDue(clock_.Now()));
  }
  int Admitted() const {
    return static_cast<int>(std::count_if(
        decisions_.begin(), decisions_.end(),
        [](const auto& entry) { return entry.second.code == ResultCode::kOk; }));
  }
};

TEST_F(RateLimitPatternTest, QueuedRequestsAreAdmittedAtTheRate) {
  TrainServiceTime("read", milliseconds(20));
  SetRateLimit(10);
  for (const int id : {1, 2, 3}) Offer(id, "read", seconds(2));
  EXPECT_EQ(Admitted(), 0) << "nothing is saved when a limit begins";
  EXPECT_EQ(control_.NextAdmission(clock_.Now()), Duration(milliseconds(100)));
  AdvanceAndAdmit(milliseconds(100));
  EXPECT_EQ(CodeOf(1), ResultCode::kOk);
  Finish("read", milliseconds(20));
  EXPECT_EQ(CodeOf(2), ResultCode::kPending) << "a free slot is not enough";
  AdvanceAndAdmit(milliseconds(100));
  EXPECT_EQ(CodeOf(2), ResultCode::kOk);
}

TEST_F(RateLimitPatternTest, ARefusalStatesTheWaitForTheRate) {
  TrainServiceTime("read", milliseconds(20));
  SetRateLimit(4);
  Offer(1, "read", seconds(2), Duration::zero());
  EXPECT_EQ(CodeOf(1), ResultCode::kServerFull);
  EXPECT_EQ(decisions_[1].retry_after, Duration(milliseconds(250)));
  Offer(2, "read", milliseconds(200));
  EXPECT_EQ(CodeOf(2), ResultCode::kShed) << "it would be late";
}

TEST_F(RateLimitPatternTest, RequestsAreAdmittedAtOnceWhenTheLimitEnds) {
  TrainServiceTime("read", milliseconds(20));
  SetRateLimit(1);
  for (const int id : {1, 2}) Offer(id, "read", seconds(5));
  SetRateLimit(std::nullopt);
  EXPECT_EQ(Admitted(), 2);
  EXPECT_EQ(control_.NextAdmission(clock_.Now()), std::nullopt);
}

// Guards against a limit that never ends, since no answer can end it.
TEST_F(RateLimitPatternTest, AServerThatTakesNothingIsAskedNowAndThen) {
  TrainServiceTime("read", milliseconds(20));
  SetRateLimit(0);
  for (const int id : {1, 2, 3}) Offer(id, "read", seconds(9));
  AdvanceAndAdmit(seconds(4));
  EXPECT_EQ(Admitted(), 1);
  AdvanceAndAdmit(seconds(2));
  EXPECT_EQ(Admitted(), 2);
}

TEST_F(RateLimitPatternTest, OtherNodesSeeASmallerServer) {
  TrainServiceTime("read", milliseconds(200));
  EXPECT_EQ(control_.load(clock_.Now()).slots, 2U);
  SetRateLimit(5);
  EXPECT_EQ(control_.load(clock_.Now()).slots, 1U) << "five times 200 ms a second";
  SetRateLimit(0);
  EXPECT_EQ(control_.load(clock_.Now()).slots, 1U);
}

// Requests press on a server whose stated limit changes from answer to answer.
RC_GTEST_PROP(RateLimitProperty, AnyWindowStaysWithinTheHighestRate, ()) {
  constexpr seconds kWindow{4};
  ManualClock clock;
  AdmissionControl control;
  AdmissionLimits limits;
  limits.state = SERVER_UP;
  limits.slots = 18;
  control.SetLimits(limits, clock.Now());
  const double rate = *rc::gen::inRange(1, 40);
  std::deque<SteadyTime> admitted;
  for (std::uint64_t id = 1; id <= 1500; ++id) {
    AdmissionRequest request;
    request.id = id;
    request.deadline = clock.Now() + seconds(1);
    auto decisions = control.SetRateLimit(id % 2 == 0 ? rate : 0.9 * rate, clock.Now());
    for (const auto& decision : control.Offer(request, clock.Now())) {
      decisions.push_back(decision);
    }
    for (const AdmissionDecision& decision : decisions) {
      if (decision.code == ResultCode::kOk) admitted.push_back(clock.Now());
    }
    while (control.outstanding() > 0) {
      for (const AdmissionDecision& decision :
           control.Finish("read", milliseconds(5), clock.Now())) {
        if (decision.code == ResultCode::kOk) admitted.push_back(clock.Now());
      }
    }
    while (!admitted.empty() && clock.Now() - admitted.front() >= kWindow) {
      admitted.pop_front();
    }
    RC_ASSERT(static_cast<double>(admitted.size()) <= 1.1 * rate * kWindow.count() + 2);
    clock.Advance(milliseconds(*rc::gen::inRange(1, 20)));
  }
}

TEST(RefusalRatesTest, RetryAfterGrowsWithTheShareOfRefusedRequests) {
  RefusalRates rates;
  const SteadyTime now = SteadyTime(seconds(100));
  for (int n = 0; n < 100; ++n) rates.Record("calm", false, now);
  for (int n = 0; n < 100; ++n) rates.Record("full", n % 4 != 0, now);
  EXPECT_LT(rates.RetryAfter("calm", milliseconds(100), now), milliseconds(110));
  EXPECT_GT(rates.RetryAfter("full", milliseconds(100), now), seconds(1));
  EXPECT_LT(rates.RetryAfter("full", milliseconds(100), now + seconds(10)),
            milliseconds(110))
      << "old refusals expire";
  EXPECT_EQ(rates.RetryAfter("full", seconds(60), now), seconds(5));
  EXPECT_GE(rates.RetryAfter("new", Duration::zero(), now), milliseconds(50));
}

// Refused callers retry with the rest of their timeout while others send new requests.
TEST(CallerTimeoutEstimatorTest, LessTimeLeftMeansThatTheRestHasElapsed) {
  CallerTimeoutEstimator caller_timeouts;
  const SteadyTime now = SteadyTime(seconds(100));
  EXPECT_EQ(caller_timeouts.ElapsedBefore("views", milliseconds(800), now),
            Duration::zero());
  EXPECT_EQ(caller_timeouts.ElapsedBefore("views", milliseconds(550), now),
            milliseconds(250));
  EXPECT_EQ(caller_timeouts.ElapsedBefore("orders", milliseconds(550), now),
            Duration::zero());
  EXPECT_EQ(caller_timeouts.ElapsedBefore("views", milliseconds(800), now),
            Duration::zero());
}

TEST(CallerTimeoutEstimatorTest, OldTimeoutsExpire) {
  CallerTimeoutEstimator caller_timeouts;
  const SteadyTime now = SteadyTime(seconds(100));
  caller_timeouts.ElapsedBefore("views", milliseconds(800), now);
  EXPECT_EQ(caller_timeouts.ElapsedBefore("views", milliseconds(300), now + seconds(15)),
            milliseconds(500));
  EXPECT_EQ(caller_timeouts.ElapsedBefore("views", milliseconds(300), now + seconds(30)),
            Duration::zero());
}

// All servers of a service fail at once, and all nodes retry.
TEST(RetryBudgetsTest, NodesTogetherStayWithinTheSharedBudget) {
  constexpr std::uint32_t kNodes = 12;
  constexpr std::uint32_t kBurst = 64;
  constexpr int kRequests = 1000;
  int retries = 0;
  for (std::uint32_t node = 0; node < kNodes; ++node) {
    RetryBudgets budgets(20, kBurst);
    budgets.SetNodes(kNodes);
    for (int n = 0; n < kRequests; ++n) {
      budgets.Earn("desk", 0);
      while (budgets.Spend("desk")) ++retries;
    }
  }
  EXPECT_LE(retries, static_cast<int>(0.2 * kRequests * kNodes + kBurst));
  EXPECT_GE(retries, static_cast<int>(0.09 * kRequests * kNodes));
}

TEST(RetryBudgetsTest, SavedRetriesAreBoundedAndCountedPerService) {
  RetryBudgets budgets(20, 64);
  budgets.SetNodes(4);
  for (int n = 0; n < 10'000; ++n) budgets.Earn("desk", 0);
  int retries = 0;
  while (budgets.Spend("desk")) ++retries;
  EXPECT_EQ(retries, 8);
  EXPECT_TRUE(budgets.Spend("taller"));
}

class LoadPatternTest : public testing::Test {
 protected:
  LoadPatternTest() {
    for (int n = 0; n < 4; ++n) {
      BackendTarget target;
      target.instance = "node-" + std::to_string(n);
      target.data_centre = "haro";
      target.incarnation = 1;
      target.service = "desk";
      target.slots = 10;
      target.state = SERVER_UP;
      targets_.push_back(target);
    }
    options_.data_centre = "haro";
    options_.load_policy = "random";
  }

  const BackendTarget* Choose() {
    std::vector<const BackendTarget*> list;
    for (const BackendTarget& target : targets_) list.push_back(&target);
    return table_.Choose(list, options_);
  }
  std::set<std::string> ChooseRepeatedly(int times,
                                         AttemptEnd end = AttemptEnd::kAnswered) {
    std::set<std::string> chosen;
    for (int n = 0; n < times; ++n) {
      const BackendTarget* target = Choose();
      chosen.insert(target->instance);
      table_.End(*target, end);
    }
    return chosen;
  }

  ManualClock clock_;
  Random random_{3};
  LoadTable table_{&clock_, &random_};
  std::vector<BackendTarget> targets_;
  ChoiceOptions options_;
};

// An instance freezes, or its network link drops all packets.
TEST_F(LoadPatternTest, AnInstanceThatStopsRespondingIsNotChosen) {
  table_.Begin(targets_[0]);
  clock_.Advance(milliseconds(200));
  EXPECT_EQ(ChooseRepeatedly(40).count("node-0"), 1U) << "a request may take this long";
  clock_.Advance(milliseconds(400));
  EXPECT_EQ(ChooseRepeatedly(40).count("node-0"), 0U);
  table_.End(targets_[0], AttemptEnd::kAnswered);
  EXPECT_EQ(ChooseRepeatedly(40).count("node-0"), 1U);
}

// Long requests on a slow server do not mean that it has stopped responding.
TEST_F(LoadPatternTest, ASlowServerIsNotTreatedAsUnresponsive) {
  table_.Report(targets_[0], {0, 0, 10, milliseconds(900)});
  table_.Begin(targets_[0]);
  clock_.Advance(seconds(3));
  EXPECT_EQ(ChooseRepeatedly(40).count("node-0"), 1U);
}

// A server fails part of its requests while its health check passes.
TEST_F(LoadPatternTest, AFailingServerGetsFewerRequests) {
  options_.load_policy = "least_outstanding";
  std::map<std::string, int> chosen;
  for (int n = 0; n < 400; ++n) {
    const BackendTarget* target = Choose();
    ++chosen[target->instance];
    const bool fails = target->instance == "node-0" && n % 2 == 0;
    table_.End(*target, fails ? AttemptEnd::kRefusedByServer : AttemptEnd::kAnswered);
  }
  EXPECT_LT(chosen["node-0"], 60);
  EXPECT_GT(chosen["node-0"], 0);
}

// After a burst, the last report of each server shows it as full.
TEST_F(LoadPatternTest, OldReportsOfFullServersExpire) {
  for (const BackendTarget& target : targets_) {
    table_.Report(target, {10, 10, 10, milliseconds(100)});
  }
  targets_[3].data_centre = "logrono";
  table_.Report(targets_[3], {0, 0, 10, milliseconds(100)});
  EXPECT_EQ(Choose()->instance, "node-3");
  clock_.Advance(seconds(1));
  EXPECT_NE(Choose()->data_centre, "logrono")
      << "the local data centre has free slots again";
}

}  // namespace
}  // namespace quetzal
