#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "control/control_fakes.h"

namespace quetzal {
namespace {

using Json = nlohmann::json;

/// A control instance that leads a group of one and has one confirmed intent.
class LeaderFixture {
 public:
  LeaderFixture()
      : executor_(&clock_),
        control_("a", {"127.0.0.1", 1}, &log_, &network_, {}, &clock_, &executor_) {
    control_.agreement.view.leading = true;
    control_.agreement.members = {{"a", {"127.0.0.1", 1}, true, true}};
    Send({"POST", "/v1/intents", {{"id", "1-first"}}, R"({"version":1})"});
    Send({"POST", "/v1/intents/1-first/confirm", {}, ""});
  }

  AdminResponse Send(const AdminRequest& request) {
    AdminResponse answer;
    control_.api->Handle(request, [&](const AdminResponse& response) {
      answer = response;
      ++answers_;
    });
    executor_.Run();
    return answer;
  }

  /// Sends a request and checks that exactly one answer comes, well-formed and with a
  /// known code.
  Json SendChecked(const AdminRequest& request) {
    const int before = answers_;
    const AdminResponse answer = Send(request);
    RC_ASSERT(answers_ == before + 1);
    RC_ASSERT(answer.content_type == "application/json");
    Json json = Json::parse(answer.body);
    const ResultCode code = ResultCodeFromInt(json.at("code").get<int>());
    RC_ASSERT(static_cast<int>(code) == json.at("code").get<int>());
    RC_ASSERT(InfoOf(code).http_status == answer.status);
    RC_ASSERT(json.at("name") == std::string(InfoOf(code).name));
    RC_ASSERT(json.at("message").is_string());
    return json;
  }

  std::string State() const { return control_.machine.TakeSnapshot(); }

 private:
  ManualClock clock_;
  ManualExecutor executor_;
  FakeLog log_;
  std::map<Endpoint, FakeRpc*> network_;
  ControlFixture control_;
  int answers_ = 0;
};

std::string AnyBytes() {
  return *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
}

/// Served paths, variations of them and arbitrary ones.
std::string AnyPath() {
  const std::string known = *rc::gen::element<std::string>(
      "/v1/intents", "/v1/intents/", "/v1/status", "/v1/history", "/v1/configuration",
      "/v1/explain", "/v1/control-instances", "/", "");
  return *rc::gen::element(known, known + AnyBytes(), known + AnyBytes() + "/confirm",
                           AnyBytes());
}

RC_GTEST_PROP(AdminApiProperty, AnyBodyIsRefusedWithACodeAndChangesNothing, ()) {
  LeaderFixture leader;
  const std::string before = leader.State();
  const std::string complete =
      R"({"version":1,"routes":[{"name":"r","match":{"path_prefix":"/"}}]})";
  const std::size_t kept_length = *rc::gen::inRange<std::size_t>(0, complete.size());
  const std::string body =
      *rc::gen::element(AnyBytes(), complete.substr(0, kept_length) + AnyBytes());
  const Json json = leader.SendChecked({"POST", "/v1/intents", {{"id", "2-x"}}, body});
  RC_ASSERT(json["code"] != 0);
  RC_ASSERT(json["not_run"] == true);
  RC_ASSERT(leader.State() == before);
}

RC_GTEST_PROP(AdminApiProperty, AnyPathMethodAndQueryGetsAnAnswerAndChangesNothing, ()) {
  LeaderFixture leader;
  const std::string before = leader.State();
  AdminRequest request;
  request.method = *rc::gen::element<std::string>("GET", "POST", "PUT", "DELETE", "get",
                                                  "", AnyBytes());
  request.path = AnyPath();
  for (const char* name : {"id", "max", "service", "intent"}) {
    if (*rc::gen::arbitrary<bool>()) request.query[name] = AnyBytes();
  }
  request.body = AnyBytes();
  leader.SendChecked(request);
  RC_ASSERT(leader.State() == before);
}

}  // namespace
}  // namespace quetzal
