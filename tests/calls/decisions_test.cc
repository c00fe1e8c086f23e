#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "calls/admission_control.h"
#include "calls/attempt_table.h"
#include "calls/call_headers.h"
#include "calls/load_table.h"
#include "calls/route_matcher.h"
#include "calls/via_header.h"

namespace quetzal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class AdmissionControlTest : public testing::Test {
 protected:
  AdmissionControlTest() { SetServer(SERVER_UP); }

  AdmissionControl::Decisions SetServer(ServerState state) {
    AdmissionLimits limits;
    limits.state = state;
    limits.slots = 2;
    limits.queue = 2;
    return control_.SetLimits(limits, clock_.Now());
  }
  /// Code of the decision on `id`, or -1 while it waits.
  int Offer(std::uint64_t id, bool idempotent, std::uint32_t priority = 0,
            Duration left = seconds(5)) {
    last_ = control_.Offer({id, idempotent, priority, clock_.Now() + left}, clock_.Now());
    return Decision(id);
  }
  int Decision(std::uint64_t id) const {
    for (const auto& decision : last_) {
      if (decision.id == id) return static_cast<int>(decision.code);
    }
    return -1;
  }
  void Finish(Duration service) { last_ = control_.Finish(service, clock_.Now()); }

  static constexpr int kShed = static_cast<int>(ResultCode::kShed);
  static constexpr int kFull = static_cast<int>(ResultCode::kServerFull);
  ManualClock clock_;
  AdmissionControl control_;
  AdmissionControl::Decisions last_;
};

TEST_F(AdmissionControlTest, FullQueueShedsIdempotentRequestsFirst) {
  for (const int id : {1, 2}) EXPECT_EQ(Offer(id, true), 0);
  for (const int id : {3, 4}) EXPECT_EQ(Offer(id, true), -1);
  EXPECT_EQ(Offer(5, true), kFull);
  EXPECT_EQ(Offer(6, false), -1);
  EXPECT_EQ(Decision(3) == kShed || Decision(4) == kShed, true);
  EXPECT_EQ(Offer(7, true, 1), kFull);
  EXPECT_GT(last_[0].retry_after, Duration::zero());
  Finish(milliseconds(10));
  EXPECT_EQ(Decision(6), 0) << "the non-idempotent request is served first";
}

TEST_F(AdmissionControlTest, RequestThatCannotFinishInTimeIsShed) {
  Offer(1, true);
  Finish(milliseconds(100));
  for (const int id : {2, 3}) Offer(id, true);
  EXPECT_EQ(Offer(4, true, 0, milliseconds(120)), kShed);
  EXPECT_EQ(Offer(5, true, 0, milliseconds(400)), -1);
  clock_.Advance(milliseconds(350));
  Finish(milliseconds(100));
  EXPECT_EQ(Decision(5), kShed);
}

TEST_F(AdmissionControlTest, StopAdmitsQueuedRequestsAndRefusesNewOnes) {
  for (const int id : {1, 2, 3}) Offer(id, true);
  control_.Stop();
  EXPECT_EQ(Offer(4, true), static_cast<int>(ResultCode::kNodeStopping));
  Finish(milliseconds(10));
  EXPECT_EQ(Decision(3), 0);
}

TEST_F(AdmissionControlTest, LeavingServerRefusesQueuedRequests) {
  for (const int id : {1, 2, 3}) Offer(id, true);
  last_ = SetServer(SERVER_LEAVING);
  EXPECT_EQ(Decision(3), static_cast<int>(ResultCode::kServerLeaving));
  EXPECT_EQ(control_.load(clock_.Now()).slots, 0U);
}

RC_GTEST_PROP(AdmissionProperty, LimitsHoldAndEachRequestGetsOneDecision, ()) {
  ManualClock clock;
  AdmissionControl control;
  AdmissionLimits limits;
  limits.state = SERVER_UP;
  limits.slots = *rc::gen::inRange(1, 6);
  limits.queue = *rc::gen::inRange(1, 6);
  limits.slow_start = milliseconds(*rc::gen::inRange(0, 50));
  control.SetLimits(limits, clock.Now());
  std::map<std::uint64_t, int> decisions;
  std::uint64_t offered = 0;
  std::uint32_t running = 0;
  const auto count = [&](const AdmissionControl::Decisions& list) {
    for (const auto& decision : list) {
      ++decisions[decision.id];
      if (decision.code == ResultCode::kOk) ++running;
    }
  };
  for (const int action : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5))) {
    clock.Advance(milliseconds(action));
    if (action < 3) {
      count(control.Offer({++offered, action == 0, 0U, clock.Now() + milliseconds(20)},
                          clock.Now()));
    } else if (running > 0) {
      --running;
      count(control.Finish(milliseconds(action), clock.Now()));
    }
    RC_ASSERT(control.outstanding() == running);
    RC_ASSERT(running <= limits.slots);
    RC_ASSERT(control.queued() <= limits.queue);
  }
  for (const auto& [id, times] : decisions) RC_ASSERT(times == 1);
  RC_ASSERT(decisions.size() + control.queued() == offered);
}

std::string AttemptAt(int micros) { return AttemptId::Make("node", 1, micros, micros); }

TEST(AttemptTableTest, EvictedAttemptsAreRefusedAndNotReportedAsNotRun) {
  AttemptTable table(3, 100);
  for (int n = 1; n <= 4; ++n) {
    EXPECT_TRUE(table.Begin(AttemptAt(n)));
    table.End(AttemptAt(n), AttemptState::kDone, {});
  }
  EXPECT_EQ(table.size(), 3U);
  EXPECT_FALSE(table.Begin(AttemptAt(1)));
  EXPECT_EQ(table.Inquire(AttemptAt(1), true).state, AttemptState::kUnknown);
  EXPECT_EQ(table.Inquire(AttemptAt(4), false).state, AttemptState::kDone);
  EXPECT_EQ(table.Inquire(AttemptAt(9), false).state, AttemptState::kNeverSeen);
  EXPECT_EQ(table.Inquire(AttemptAt(9), true).state, AttemptState::kNotRun);
  EXPECT_FALSE(table.Begin(AttemptAt(9)));
}

class LoadTableTest : public testing::Test {
 protected:
  LoadTableTest() {
    for (int n = 0; n < 4; ++n) {
      BackendTarget target;
      target.instance = "node-" + std::to_string(n);
      target.data_centre = n < 2 ? "haro" : "logrono";
      target.incarnation = 1;
      target.slots = 2;
      target.state = SERVER_UP;
      targets_.push_back(target);
    }
    options_.data_centre = "haro";
    options_.load_policy = "two_choices";
  }
  const BackendTarget* Choose() {
    std::vector<const BackendTarget*> list;
    for (const auto& target : targets_) list.push_back(&target);
    return table_.Choose(list, options_);
  }
  void Fail(const std::string& instance) {
    for (const auto& target : targets_) {
      if (target.instance == instance) table_.End(target, AttemptEnd::kFailed);
    }
  }

  ManualClock clock_;
  Random random_{7};
  LoadTable table_{&clock_, &random_};
  std::vector<BackendTarget> targets_;
  ChoiceOptions options_;
};

TEST_F(LoadTableTest, LocalDataCentreIsPreferredUntilItIsFull) {
  for (int n = 0; n < 4; ++n) EXPECT_EQ(Choose()->data_centre, "haro");
  for (int n = 0; n < 4; ++n) EXPECT_EQ(Choose()->data_centre, "logrono");
  EXPECT_NE(Choose(), nullptr) << "a full service can still queue the request";
}

TEST_F(LoadTableTest, FailuresEjectForATimeUnlessMostInstancesFail) {
  for (int n = 0; n < 3; ++n) Fail("node-0");
  EXPECT_FALSE(table_.ejected("node-0")) << "no attempt was outstanding at the target";
  for (int n = 0; n < 8; ++n) Choose();
  for (const char* name : {"node-0", "node-1", "node-2"}) {
    for (int n = 0; n < 3; ++n) Fail(name);
    EXPECT_TRUE(table_.ejected(name));
  }
  std::set<std::string> chosen;
  for (int n = 0; n < 60; ++n) chosen.insert(Choose()->instance);
  EXPECT_EQ(chosen.size(), 4U) << "ejections are ignored when three of four are ejected";
  clock_.Advance(milliseconds(1001));
  EXPECT_FALSE(table_.ejected("node-0"));
  Fail("node-0");
  EXPECT_TRUE(table_.ejected("node-0")) << "one failure is enough after an ejection";
}

TEST_F(LoadTableTest, SlowServerIsAvoidedUntilItsReportExpires) {
  const auto choose_often = [this] {
    std::set<std::string> chosen;
    for (int n = 0; n < 20; ++n) {
      const BackendTarget* target = Choose();
      chosen.insert(target->instance);
      table_.End(*target, AttemptEnd::kAnswered);
    }
    return chosen;
  };
  table_.Report(targets_[0], {0, 0, 2, milliseconds(100)});
  table_.Report(targets_[1], {0, 0, 2, milliseconds(10)});
  clock_.Advance(seconds(9));
  EXPECT_EQ(choose_often(), std::set<std::string>({"node-1"}));
  clock_.Advance(seconds(2));
  EXPECT_EQ(choose_often().size(), 2U) << "a load report expires";
}

TEST_F(LoadTableTest, LeavingAndTriedInstancesAreNotChosen) {
  targets_[0].state = SERVER_LEAVING;
  options_.tried = {"node-1", "node-2"};
  for (int n = 0; n < 5; ++n) EXPECT_EQ(Choose()->instance, "node-3");
  options_.tried.emplace_back("node-3");
  EXPECT_EQ(Choose(), nullptr);
}

TEST(RouteMatcherTest, LongestPrefixThenHostThenMethod) {
  auto configuration = std::make_shared<Configuration>();
  const auto add = [&](const char* name, const char* prefix, const char* host,
                       const char* method) {
    Route* route = configuration->add_routes();
    route->set_name(name);
    route->set_path_prefix(prefix);
    route->set_host(host);
    if (*method != 0) route->add_methods(method);
  };
  add("all", "/", "", "");
  add("a", "/a", "", "");
  add("a-host", "/a", "desk", "");
  add("a-post", "/a", "", "POST");
  add("ab", "/a/b", "", "GET");
  auto snapshot = std::make_shared<RoutingSnapshot>();
  snapshot->configuration = configuration;
  const RouteMatcher matcher(snapshot);
  const auto match = [&](const char* host, const char* path, const char* method) {
    return matcher.Match(host, path, method)->name();
  };
  EXPECT_EQ(match("x", "/a/b?q=1", "GET"), "ab");
  EXPECT_EQ(match("x", "/a/b", "POST"), "a-post");
  EXPECT_EQ(match("x", "/a/c", "GET"), "a");
  EXPECT_EQ(match("DESK:8080", "/a/c", "POST"), "a-host");
  EXPECT_EQ(match("x", "/ab", "GET"), "all");
}

TEST(RouteMatcherTest, ServiceIsPickedByWeightAmongServicesWithAnInstance) {
  auto configuration = std::make_shared<Configuration>();
  Route* route = configuration->add_routes();
  const auto add = [&](const char* service, std::uint32_t weight) {
    Target* target = route->add_targets();
    target->set_service(service);
    target->set_weight(weight);
  };
  add("desk", 90);
  add("desk-2", 6);
  add("spare", 0);
  add("desk-3", 4);
  auto snapshot = std::make_shared<RoutingSnapshot>();
  snapshot->configuration = configuration;
  const auto pick = [&](double unit) {
    return std::string(RouteMatcher(snapshot).PickService(*route, unit));
  };
  const auto set_state = [&](const char* service, ServerState state) {
    BackendTarget target;
    target.instance = service;
    target.service = service;
    target.state = state;
    snapshot->targets.push_back(target);
  };
  EXPECT_EQ(pick(0.5), "desk") << "without any instance the weights alone decide";
  set_state("spare", SERVER_UP);
  EXPECT_EQ(pick(0.5), "desk") << "a target of weight zero gets no requests";
  EXPECT_EQ(pick(0.9999), "desk-3");
  set_state("desk", SERVER_LEAVING);
  set_state("desk-2", SERVER_UP);
  set_state("desk-3", SERVER_UP);
  EXPECT_EQ(pick(0.0), "desk-2");
  EXPECT_EQ(pick(0.59), "desk-2");
  EXPECT_EQ(pick(0.61), "desk-3");
  set_state("desk", SERVER_UP);
  EXPECT_EQ(pick(0.89), "desk");
}

TEST(ViaHeaderTest, LoopsAndTooManyHopsAreRefused) {
  const std::string entry = MakeViaEntry("desk", "GET", "/a", "");
  std::string via;
  for (int n = 0; n < 9; ++n) {
    EXPECT_EQ(CheckForwardingLoop(via, n, entry, false, 12), ResultCode::kOk);
    via = AppendViaEntry(via, entry);
  }
  EXPECT_EQ(CheckForwardingLoop(via, 9, entry, true, 12), ResultCode::kLoop);
  EXPECT_EQ(CheckForwardingLoop(AppendViaEntry(via, entry), 10, entry, false, 12),
            ResultCode::kLoop);
  EXPECT_EQ(CheckForwardingLoop("", 12, entry, false, 12), ResultCode::kHopLimit);
}

RC_GTEST_PROP(CallHeadersProperty, ArbitraryFieldsAreDecodedOrRejected, ()) {
  const auto names = rc::gen::element<std::string>(
      "x-qz-method", "x-qz-path", "x-qz-service", "x-qz-priority", "x-qz-remaining-ns",
      "x-qz-hops", "x-qz-load", "x-qz-refusal", "x-qz-idempotent", "x-qz-attempt",
      "x-qz-incarnation", "connection");
  const auto values =
      rc::gen::oneOf(rc::gen::arbitrary<std::string>(),
                     rc::gen::element<std::string>("1", "0", "1;1;1", "1;2;3;4",
                                                   "99999999999999999999", "-1", ";;;"));
  const auto headers = *rc::gen::container<StreamHeaders>(rc::gen::pair(names, values));
  const auto head = DecodeCall(headers);
  if (head) {
    RC_ASSERT(!head->method.empty());
    RC_ASSERT(head->idempotent || !head->attempt_id.empty());
    const auto again = DecodeCall(EncodeCall(*head, {}));
    RC_ASSERT(again && again->path == head->path && again->remaining == head->remaining);
  }
  if (const auto refusal = DecodeRefusal(headers)) {
    RC_ASSERT(InfoOf(refusal->code).code == refusal->code);
  }
  DecodeLoad(headers);
  for (const auto& [name, value] : EndToEndFields(headers)) RC_ASSERT(name[0] != 'x');
}

}  // namespace
}  // namespace quetzal
