#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "base/random.h"
#include "control/control_fakes.h"
#include "ctl/ctl_session.h"
#include "simulation/source_file.h"

namespace quetzal {
namespace {

Endpoint First() { return {"127.0.0.1", 7001}; }
Endpoint Second() { return {"127.0.0.1", 7002}; }

/// Runs commands against two control instances and six nodes, and records a transcript.
class CtlGoldenTest : public testing::Test, public ControlChannel {
 protected:
  CtlGoldenTest() : executor_(&clock_), random_(20261203) {
    const std::map<std::string, Endpoint> peers = {{"control-1", First()},
                                                   {"control-2", Second()}};
    for (const auto& [name, address] : peers) {
      control_instances_[address] = std::make_unique<ControlFixture>(
          name, address, &log_, &network_, peers, &clock_, &executor_);
      control_instances_[address]->agreement.view.leader = "control-1";
    }
    leader().agreement.view.leading = true;
    executor_.Advance(std::chrono::seconds(30));
  }

  ControlFixture& leader() { return *control_instances_.at(First()); }

  /// Reports from each node of Arrieta's data centres that it has applied `applied`.
  void ReportFromAllNodes(const Version& applied) {
    for (const char* data_centre : {"haro", "logrono", "cenicero"}) {
      for (const char* service : {"bodega-desk", "taller"}) {
        leader().service->OnAck(MakeAck(std::string(service) + "-" + data_centre,
                                        data_centre, service, applied));
      }
    }
    executor_.Run();
  }

  std::optional<std::string> Send(const Endpoint& control_instance,
                                  const std::string& method,
                                  const std::string& path_and_query,
                                  const std::string& body, Duration timeout) override {
    ++request_counts_[control_instance];
    if (frozen_.count(control_instance) > 0) {
      clock_.Advance(timeout);
      return std::nullopt;
    }
    const auto it = control_instances_.find(control_instance);
    if (it == control_instances_.end()) return std::nullopt;
    AdminRequest request;
    request.method = method;
    request.path = path_and_query.substr(0, path_and_query.find('?'));
    const std::size_t equals = path_and_query.find('=');
    if (equals != std::string::npos) {
      const std::size_t query_start = path_and_query.find('?');
      request.query[path_and_query.substr(query_start + 1, equals - query_start - 1)] =
          path_and_query.substr(equals + 1);
    }
    request.body = body;
    std::string answer;
    it->second->api->Handle(
        request, [&](const AdminResponse& response) { answer = response.body; });
    executor_.Run();
    if (answers_to_lose_ > 0) {
      --answers_to_lose_;
      return std::nullopt;
    }
    return answer;
  }

  /// Runs one command and adds the command, its output and its exit code to the
  /// transcript.
  int Ctl(std::vector<std::string> arguments, CtlOptions options = {},
          const std::string& input = "") {
    if (options.control_instances.empty())
      options.control_instances = {Second(), First()};
    std::string line = "$ quetzalctl";
    for (const std::string& argument : arguments) line += " " + argument;
    if (!options.id.empty()) line += " --id " + options.id;
    if (options.wait) line += " --wait";
    if (options.json) line += " --json";
    if (arguments.size() == 2 && arguments[1].rfind("meshes/", 0) == 0) {
      arguments[1] = SourcePath(arguments[1]);
    }
    std::istringstream in(input);
    std::ostringstream out;
    std::ostringstream err;
    CtlSession session({this, &clock_, &random_,
                        [this](Duration delay) {
                          executor_.Advance(delay);
                          if (on_sleep_) on_sleep_();
                        },
                        &in, &out, &err},
                       options);
    const int code = session.Run(arguments);
    transcript_ +=
        line + "\n" + out.str() + err.str() + "(exit " + std::to_string(code) + ")\n\n";
    return code;
  }

  void AddComment(const std::string& text) { transcript_ += "# " + text + "\n"; }

  void CompareWithGolden(const std::string& name) {
    ExpectGolden("tests/ctl/golden/" + name + ".txt", transcript_);
  }

  ManualClock clock_;
  ManualExecutor executor_;
  Random random_;
  FakeLog log_;
  std::map<Endpoint, FakeRpc*> network_;
  std::map<Endpoint, std::unique_ptr<ControlFixture>> control_instances_;
  std::function<void()> on_sleep_;
  int answers_to_lose_ = 0;
  std::set<Endpoint> frozen_;  ///< Accept connections and never answer.
  std::map<Endpoint, int> request_counts_;
  std::string transcript_;
};

CtlOptions WithId(const std::string& id) {
  CtlOptions options;
  options.id = id;
  return options;
}

CtlOptions WithWait() {
  CtlOptions options;
  options.wait = true;
  return options;
}

TEST_F(CtlGoldenTest, FirstDeclarationOfArrieta) {
  ReportFromAllNodes({});
  EXPECT_EQ(Ctl({"status"}), kExitOk);
  EXPECT_EQ(Ctl({"declare", "meshes/arrieta.json"}, WithId("1-first")), kExitOk);
  EXPECT_EQ(Ctl({"plan", "1-first"}), kExitOk);
  on_sleep_ = [this] { ReportFromAllNodes(leader().published); };
  EXPECT_EQ(Ctl({"confirm", "1-first"}, WithWait()), kExitOk);
  EXPECT_EQ(Ctl({"history"}), kExitOk);
  EXPECT_EQ(Ctl({"explain", "taller"}), kExitOk);
  CompareWithGolden("first_declaration");
}

TEST_F(CtlGoldenTest, BadIntent) {
  EXPECT_EQ(Ctl({"declare", "-"}, WithId("1-bad"), "{\"version\": 1,\n \"routes\": [}"),
            kExitRefused);
  EXPECT_EQ(Ctl({"declare", "-"}, WithId("1-bad"),
                R"({"version": 1, "routes": [{"name": "r", "weigth": 3}]})"),
            kExitRefused);
  EXPECT_EQ(Ctl({"declare", "-"}, WithId("1-bad"),
                R"({"version": 1, "routes": [{"name": "r", "match": {"path_prefix": "/"},
              "idempotent": true, "targets": [{"service": "cooper"}]}]})"),
            kExitRefused);
  EXPECT_EQ(Ctl({"confirm", "1-bad"}), kExitRefused);
  EXPECT_EQ(Ctl({"history"}), kExitOk);
  CompareWithGolden("bad_intent");
}

TEST_F(CtlGoldenTest, TwoOperatorsRace) {
  ReportFromAllNodes({});
  const std::string a = R"({"version": 1, "services": [{"name": "taller"}]})";
  const std::string b = R"({"version": 1, "services": [{"name": "bodega-desk"}]})";
  EXPECT_EQ(Ctl({"declare", "-"}, WithId("1-alba"), a), kExitOk);
  EXPECT_EQ(Ctl({"declare", "-"}, WithId("1-bruno"), b), kExitOk);
  EXPECT_EQ(Ctl({"confirm", "1-bruno"}), kExitPending);
  EXPECT_EQ(Ctl({"confirm", "1-alba"}), kExitNotRun);
  AddComment("Alba declares the intent again and confirms the new plan.");
  EXPECT_EQ(Ctl({"declare", "-"}, WithId("3-alba"), a), kExitOk);
  ReportFromAllNodes(leader().published);
  on_sleep_ = [this] { ReportFromAllNodes(leader().published); };
  EXPECT_EQ(Ctl({"confirm", "3-alba"}, WithWait()), kExitOk);
  EXPECT_EQ(leader().machine.configuration()->services_size(), 2);
  CompareWithGolden("two_operators_race");
}

TEST_F(CtlGoldenTest, Resend) {
  ReportFromAllNodes({});
  const std::string intent = R"({"version": 1, "services": [{"name": "taller"}]})";
  AddComment("The answers of both control instances are lost once.");
  answers_to_lose_ = 2;
  EXPECT_EQ(Ctl({"declare", "-"}, WithId("1-again"), intent), kExitOk);
  leader().agreement.next_outcomes = {ProposalOutcome::kCommitAnswerLost};
  on_sleep_ = [this] { ReportFromAllNodes(leader().published); };
  EXPECT_EQ(Ctl({"confirm", "1-again"}, WithWait()), kExitOk);
  EXPECT_EQ(Ctl({"declare", "-"}, WithId("1-again"), intent), kExitOk);
  EXPECT_EQ(Ctl({"declare", "-"}, WithId("1-again"), R"({"version": 1})"), kExitRefused);
  EXPECT_EQ(leader().machine.History(10).size(), 1U);
  CompareWithGolden("resend");
}

TEST_F(CtlGoldenTest, LeavingServer) {
  ReportFromAllNodes({});
  on_sleep_ = [this] { ReportFromAllNodes(leader().published); };
  EXPECT_EQ(Ctl({"declare", "meshes/arrieta.json"}, WithId("1-first")), kExitOk);
  EXPECT_EQ(Ctl({"confirm", "1-first"}, WithWait()), kExitOk);
  EXPECT_EQ(Ctl({"leave", "taller-haro"}, WithId("2-leave")), kExitOk);
  EXPECT_EQ(Ctl({"confirm", "2-leave"}, WithWait()), kExitOk);
  EXPECT_EQ(Ctl({"explain", "taller"}), kExitOk);
  EXPECT_EQ(Ctl({"enter", "taller-haro"}, WithId("3-enter")), kExitOk);
  EXPECT_EQ(Ctl({"cancel", "3-enter"}), kExitOk);
  CompareWithGolden("leaving_server");
}

// A rollout is planned, shown and rolled back; a plan that the events overtook never
// runs.
TEST_F(CtlGoldenTest, RolloutOfAService) {
  ReportFromAllNodes({});
  const std::string start = R"({"version": 1, "rollout": {"service": "taller",
      "version": "v2", "duration_ms": 60000}})";
  on_sleep_ = [this] { ReportFromAllNodes(leader().published); };
  EXPECT_EQ(Ctl({"declare", "meshes/arrieta.json"}, WithId("1-first")), kExitOk);
  EXPECT_EQ(Ctl({"confirm", "1-first"}, WithWait()), kExitOk);
  EXPECT_EQ(Ctl({"rollouts"}), kExitOk);
  EXPECT_EQ(Ctl({"roll-back", "taller"}, WithId("2-none")), kExitRefused);
  EXPECT_EQ(Ctl({"declare", "-"}, WithId("3-v2"), start), kExitOk);
  EXPECT_EQ(Ctl({"confirm", "3-v2"}, WithWait()), kExitOk);
  EXPECT_EQ(Ctl({"rollouts"}), kExitOk);
  EXPECT_EQ(Ctl({"declare", "-"}, WithId("4-v3"),
                R"({"version": 1, "rollout": {"service": "taller", "version": "v3",
      "duration_ms": 60000}})"),
            kExitRefused);
  EXPECT_EQ(Ctl({"roll-back", "taller"}, WithId("5-back")), kExitOk);
  EXPECT_EQ(Ctl({"roll-back", "taller"}, WithId("6-late")), kExitOk);
  EXPECT_EQ(Ctl({"confirm", "5-back"}, WithWait()), kExitOk);
  EXPECT_EQ(Ctl({"confirm", "6-late"}), kExitNotRun);
  EXPECT_EQ(Ctl({"rollouts"}), kExitOk);
  CompareWithGolden("rollout");
}

TEST_F(CtlGoldenTest, ProgressOfAnIntent) {
  ReportFromAllNodes({});
  EXPECT_EQ(Ctl({"declare", "meshes/arrieta.json"}, WithId("1-first")), kExitOk);
  EXPECT_EQ(Ctl({"explain", "1-first"}), kExitOk);
  EXPECT_EQ(Ctl({"confirm", "1-first"}), kExitPending);
  const Version confirmed = leader().published;
  ProxyAck refusal = MakeAck("taller-haro", "haro", "taller", {});
  refusal.refused = confirmed;
  refusal.refused_code = ResultCode::kConfigurationInvalid;
  leader().service->OnAck(refusal);
  leader().service->OnAck(MakeAck("bodega-desk-haro", "haro", "bodega-desk", confirmed));
  executor_.Advance(std::chrono::seconds(2));
  AddComment("A node refuses the change, and four have sent no report since.");
  EXPECT_EQ(Ctl({"explain", "1-first"}), kExitPending);
  EXPECT_EQ(Ctl({"explain", "taller"}), kExitOk);
  ReportFromAllNodes(confirmed);
  EXPECT_EQ(Ctl({"explain", "1-first"}), kExitOk);
  CtlOptions json;
  json.json = true;
  EXPECT_EQ(Ctl({"explain", "1-first"}, json), kExitOk);
  EXPECT_EQ(Ctl({"declare", "-"}, WithId("2-x"), R"({"version": 1, "leave": ["a"]})"),
            kExitOk);
  EXPECT_EQ(Ctl({"cancel", "2-x"}), kExitOk);
  EXPECT_EQ(Ctl({"explain", "2-x"}), kExitOk);
  EXPECT_EQ(Ctl({"explain", "2-nothing"}), kExitOk);
  CompareWithGolden("progress_of_an_intent");
}

TEST_F(CtlGoldenTest, FrozenInstanceLeavesTheOthersTimeAndIsAskedLast) {
  ReportFromAllNodes({});
  CtlOptions options;
  options.control_instances = {{"127.0.0.1", 1}, Second(), First()};
  frozen_.insert(options.control_instances.front());
  const SteadyTime began = clock_.Now();
  EXPECT_EQ(Ctl({"declare", "meshes/arrieta.json"}, options), kExitOk);
  EXPECT_LE(clock_.Now() - began, options.answer_limit / 2);
  EXPECT_EQ(request_counts_.at(options.control_instances.front()), 1);
}

TEST_F(CtlGoldenTest, NobodyAnswers) {
  CtlOptions options;
  options.control_instances = {{"127.0.0.1", 1}};
  EXPECT_EQ(Ctl({"status"}, options), kExitUnreachable);
  leader().agreement.view = {};
  control_instances_.at(Second())->agreement.view = {};
  control_instances_.at(Second())->agreement.view.since_quorum = std::chrono::seconds(12);
  options.control_instances = {Second()};
  EXPECT_EQ(Ctl({"status"}, options), kExitPending);
  EXPECT_EQ(Ctl({"confirm", "1-x"}, options), kExitPending);
  CompareWithGolden("nobody_answers");
}

}  // namespace
}  // namespace quetzal
