#include <gtest/gtest.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>
#include <vector>

#include "configuration/configuration_check.h"
#include "configuration/named_list.h"
#include "control/control_fakes.h"

namespace quetzal {
namespace {

using Json = nlohmann::json;

constexpr char kOwnId[] = "1-own";
constexpr char kOwnService[] = "own";
constexpr int kMaxAttempts = 60;
constexpr Duration kStepTime = std::chrono::milliseconds(200);

struct Proxy {
  std::string instance;
  std::string data_centre;
  std::uint64_t incarnation = 1;
  Version applied;
};

/// Two control instances over one log, three proxies and one operator, who declares and
/// confirms one intent. Compares every answer with the actual state.
class Driver {
 public:
  Driver() : executor_(&clock_) {
    for (const char* place : {"haro", "logrono", "cenicero"}) {
      proxies_.push_back({std::string("node-") + place, place, 1, {}});
    }
    for (const auto& [name, address] : peers_) Build(address, "");
    Lead(First());
    AdvanceTime(std::chrono::seconds(9));
  }

  // Steps.
  void Declare() {
    SendUntilKnown("POST", "/v1/intents", kOwnId,
                   R"({"version": 1, "services": [{"name": "own"}]})");
  }
  void Plan() { SendUntilKnown("GET", std::string("/v1/intents/") + kOwnId, "", ""); }
  void Confirm() {
    SendUntilKnown("POST", std::string("/v1/intents/") + kOwnId + "/confirm", "", "");
  }
  void Apply() {
    for (Proxy& proxy : proxies_) {
      for (const auto& [address, control] : controls_) {
        const Version& published = control->published;
        ASSERT_FALSE(control->machine.version().index() < published.index());
        if (proxy.applied.index() < published.index()) proxy.applied = published;
      }
    }
  }
  void Acknowledge() {
    for (const Proxy& proxy : proxies_) {
      ProxyAck ack = MakeAck(proxy.instance, proxy.data_centre, "taller", proxy.applied,
                             proxy.incarnation);
      for (const auto& [address, control] : controls_) control->service->OnAck(ack);
    }
    executor_.Run();
  }
  void Report() { Plan(); }

  // Faults. Each ends by itself.
  void Nothing() {}
  void LeaderCrash() {
    const Endpoint other = leading_ == First() ? Second() : First();
    controls_.erase(leading_);
    Build(leading_, "");
    log_.Replay(&controls_.at(leading_)->machine);
    ++log_.term;
    Lead(other);
  }
  void CommitAnswerLost() { QueueOutcome(ProposalOutcome::kCommitAnswerLost); }
  void ProposalLost() { QueueOutcome(ProposalOutcome::kLost); }
  void DuplicateEntry() { QueueOutcome(ProposalOutcome::kCommitTwice); }
  void AnswerLost() { answers_to_lose_ = 2; }
  void DuplicateRequest() { duplicate_requests_ = true; }
  void RacingOperator() { ConfirmAnother("racer"); }
  void SourceOutage() {
    for (const auto& [address, control] : controls_) control->agreement.view = {};
    outage_steps_ = 5;
  }
  void ExpiredId() {
    for (int n = 0; n < 8; ++n) ConfirmAnother("late" + std::to_string(n));
  }
  void RestartFromSnapshot() {
    for (const auto& [name, address] : peers_) {
      const std::string snapshot = controls_.at(address)->machine.TakeSnapshot();
      controls_.erase(address);
      Build(address, snapshot);
    }
    Lead(leading_);
  }
  void NodeRestart() {
    ++proxies_[0].incarnation;
    proxies_[0].applied = {};
    Acknowledge();
  }

  /// After the faults: the intent must end either confirmed or not run, as its answers
  /// report.
  void CheckFinalState() {
    if (!IsDeclared()) Declare();
    Confirm();
    AdvanceTime(std::chrono::seconds(9));
    Report();
    const auto configuration = control().machine.configuration();
    CheckConfiguration(*configuration);
    int times = 0;
    for (const HistoryItem& item : control().machine.History(100)) {
      times += item.intent() == kOwnId ? 1 : 0;
    }
    EXPECT_LE(times, 1) << "confirmed twice";
    if (code_ == ResultCode::kIntentIdExpired) return;
    const std::string state = last_["intent"]["state"];
    const bool present = FindNamed(configuration->services(), kOwnService) != nullptr;
    EXPECT_EQ(state == "confirmed", present) << last_.dump(2);
    EXPECT_TRUE(state == "confirmed" || state == "not_run") << state;
    if (state == "confirmed") {
      EXPECT_EQ(last_["convergence"]["state"], "done") << last_.dump(2);
    }
  }

 private:
  static Endpoint First() { return {"127.0.0.1", 1}; }
  static Endpoint Second() { return {"127.0.0.1", 2}; }

  ControlFixture& control() { return *controls_.at(leading_); }

  void Build(const Endpoint& address, const std::string& snapshot) {
    IntentRetention retention;
    retention.closed_intents = 4;
    auto control = std::make_unique<ControlFixture>(address == First() ? "one" : "two",
                                                    address, &log_, &network_, peers_,
                                                    &clock_, &executor_, retention);
    if (!snapshot.empty()) control->machine.RestoreSnapshot(log_.last(), snapshot);
    controls_[address] = std::move(control);
  }

  void Lead(const Endpoint& address) {
    leading_ = address;
    for (const auto& [at, control] : controls_) {
      control->agreement.view = {};
      control->agreement.view.term = log_.term;
      control->agreement.view.leader = address == First() ? "one" : "two";
      control->agreement.view.leading = at == address;
    }
  }

  void QueueOutcome(ProposalOutcome outcome) {
    control().agreement.next_outcomes.push_back(outcome);
  }

  bool IsDeclared() { return control().machine.Find(kOwnId).has_value(); }

  void AdvanceTime(Duration time) {
    for (; time > Duration(0); time -= kStepTime) {
      executor_.Advance(kStepTime);
      if (outage_steps_ > 0 && --outage_steps_ == 0) Lead(leading_);
      Apply();
      Acknowledge();
    }
  }

  void ConfirmAnother(const std::string& name) {
    const std::string id = std::to_string(control().machine.next_number()) + "-" + name;
    ControlEntry declare;
    declare.mutable_declare()->set_id(id);
    declare.mutable_declare()->mutable_content()->add_set_services()->set_name(name);
    log_.Commit(nullptr, declare.SerializeAsString());
    ControlEntry confirm;
    confirm.mutable_confirm()->set_id(id);
    log_.Commit(nullptr, confirm.SerializeAsString());
    executor_.Run();
  }

  std::string Send(const Endpoint& address, const AdminRequest& request) {
    std::string body;
    controls_.at(address)->api->Handle(
        request, [&](const AdminResponse& response) { body = response.body; });
    executor_.Run();
    return body;
  }

  /// Repeats the request with the same id until the outcome is known, as quetzalctl does.
  void SendUntilKnown(const std::string& method, const std::string& path,
                      const std::string& id, const std::string& body) {
    AdminRequest request{method, path, {}, body};
    if (!id.empty()) request.query["id"] = id;
    for (int n = 0; n < kMaxAttempts; ++n) {
      const Endpoint address = n % 2 == 0 ? Second() : First();
      if (duplicate_requests_) Send(address, request);
      const std::string text = Send(address, request);
      if (answers_to_lose_ > 0) {
        --answers_to_lose_;
        continue;
      }
      last_ = Json::parse(text);
      code_ = ResultCodeFromInt(last_["code"]);
      CheckAnswer(method);
      if (!IsUnknown(code_)) return;
      AdvanceTime(kStepTime);
    }
    ADD_FAILURE() << method << " " << path << " did not finish: " << last_.dump(2);
  }

  static bool IsUnknown(ResultCode code) {
    return code == ResultCode::kPending || code == ResultCode::kNotLeader ||
           code == ResultCode::kNoQuorum;
  }

  /// Checks that the answer matches the current state.
  void CheckAnswer(const std::string& method) {
    const auto& machine = control().machine;
    EXPECT_GE(machine.version().index(), highest_index_) << "a configuration reverted";
    highest_index_ = machine.version().index();
    const bool present =
        FindNamed(machine.configuration()->services(), kOwnService) != nullptr;
    if (method == "POST" && InfoOf(code_).not_run) {
      EXPECT_FALSE(present) << "reported as not run: " << last_.dump(2);
    }
    if (!last_.contains("intent")) return;
    const bool confirmed = last_["intent"]["state"] == "confirmed";
    EXPECT_TRUE(present || !confirmed) << last_.dump(2);
    if (!last_.contains("convergence")) return;
    if (last_["convergence"]["state"] != "done") return;
    for (const Proxy& proxy : proxies_) {
      EXPECT_GE(proxy.applied.index(), last_["intent"]["confirmed"]["index"])
          << proxy.instance << " has not applied it: " << last_.dump(2);
    }
  }

  const std::map<std::string, Endpoint> peers_ = {{"one", First()}, {"two", Second()}};
  ManualClock clock_;
  ManualExecutor executor_;
  FakeLog log_;
  std::map<Endpoint, FakeRpc*> network_;
  std::map<Endpoint, std::unique_ptr<ControlFixture>> controls_;
  Endpoint leading_;
  std::vector<Proxy> proxies_;
  Json last_;
  ResultCode code_ = ResultCode::kOk;
  std::uint64_t highest_index_ = 0;
  int answers_to_lose_ = 0;
  int outage_steps_ = 0;
  bool duplicate_requests_ = false;
};

struct Action {
  const char* name;
  void (Driver::*run)();
};

const std::vector<Action>& Steps() {
  static const auto* const steps = new std::vector<Action>{
      {"Declare", &Driver::Declare},         {"Plan", &Driver::Plan},
      {"Confirm", &Driver::Confirm},         {"Apply", &Driver::Apply},
      {"Acknowledge", &Driver::Acknowledge}, {"Report", &Driver::Report}};
  return *steps;
}

const std::vector<Action>& Faults() {
  static const auto* const faults =
      new std::vector<Action>{{"Nothing", &Driver::Nothing},
                              {"LeaderCrash", &Driver::LeaderCrash},
                              {"CommitAnswerLost", &Driver::CommitAnswerLost},
                              {"ProposalLost", &Driver::ProposalLost},
                              {"DuplicateEntry", &Driver::DuplicateEntry},
                              {"AnswerLost", &Driver::AnswerLost},
                              {"DuplicateRequest", &Driver::DuplicateRequest},
                              {"RacingOperator", &Driver::RacingOperator},
                              {"SourceOutage", &Driver::SourceOutage},
                              {"ExpiredId", &Driver::ExpiredId},
                              {"RestartFromSnapshot", &Driver::RestartFromSnapshot},
                              {"NodeRestart", &Driver::NodeRestart}};
  return *faults;
}

/// Indices of a step and of the fault before it; each test runs all faults after it.
using Cell = std::tuple<std::size_t, std::size_t>;

/// Guards against false answers, double execution and hanging intents when a fault occurs
/// directly before and after any step of an intent.
class FaultMatrixTest : public testing::TestWithParam<Cell> {};

void RunCell(std::size_t faulty, const Action& before, const Action& after) {
  Driver driver;
  for (std::size_t n = 0; n < Steps().size(); ++n) {
    if (n == faulty) (driver.*before.run)();
    (driver.*Steps()[n].run)();
    if (n == faulty) (driver.*after.run)();
  }
  driver.CheckFinalState();
}

TEST_P(FaultMatrixTest, AnswersMatchTheStateAndTheIntentReachesAFinalState) {
  const auto [step, before] = GetParam();
  for (const Action& after : Faults()) {
    SCOPED_TRACE(std::string("then ") + after.name);
    RunCell(step, Faults()[before], after);
  }
}

std::string CellName(const testing::TestParamInfo<Cell>& info) {
  const auto [step, before] = info.param;
  return std::string(Faults()[before].name) + "Before" + Steps()[step].name;
}

INSTANTIATE_TEST_SUITE_P(Control, FaultMatrixTest,
                         testing::Combine(testing::Range<std::size_t>(0, Steps().size()),
                                          testing::Range<std::size_t>(0,
                                                                      Faults().size())),
                         CellName);

}  // namespace
}  // namespace quetzal
