#include "ctl/ctl_session.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <istream>
#include <iterator>
#include <ostream>
#include <utility>

#include "base/concat.h"
#include "base/result_code.h"
#include "configuration/configuration_check.h"
#include "configuration/intent_file.h"
#include "control/intent_id.h"
#include "ctl/text_report.h"

namespace quetzal {
namespace {

using Json = nlohmann::ordered_json;

constexpr Duration kRetryDelay = std::chrono::milliseconds(200);
constexpr Duration kMinRequestTimeout = std::chrono::milliseconds(50);
constexpr Duration kPollPeriod = std::chrono::milliseconds(100);
constexpr std::size_t kInputLimitBytes = kMaxIntentBytes + 1;

ResultCode CodeOf(const Json& answer) {
  return ResultCodeFromInt(answer.value("code", static_cast<int>(ResultCode::kPending)));
}

/// True when another control instance may give a better answer.
bool IsRetryable(const Json& answer) {
  switch (CodeOf(answer)) {
    case ResultCode::kNotLeader:
    case ResultCode::kNoQuorum:
    case ResultCode::kPending:
    case ResultCode::kOverloaded:
      return true;
    default:
      return false;
  }
}

bool IsRefusal(ResultCode code) {
  switch (code) {
    case ResultCode::kIntentMalformed:
    case ResultCode::kIntentTooLarge:
    case ResultCode::kIntentUnknown:
    case ResultCode::kIntentIdReused:
    case ResultCode::kIntentIdExpired:
    case ResultCode::kPlanRefused:
    case ResultCode::kIntentConfirmed:
      return true;
    default:
      return false;
  }
}

bool IsIntentId(const std::string& text) {
  try {
    ParseIntentId(text);
    return true;
  } catch (const Error&) {
    return false;
  }
}

std::string ConvergenceState(const Json& answer) {
  const auto it = answer.find("convergence");
  return it == answer.end() ? "" : it->value("state", "");
}

bool IsNotRun(const Json& answer) {
  const auto it = answer.find("intent");
  return it != answer.end() && it->value("state", "") == "not_run" &&
         CodeOf(answer) == ResultCode::kOk;
}

std::string ReadAll(std::istream& in) {
  std::string text;
  char buf[4096];
  while (text.size() < kInputLimitBytes &&
         (in.read(buf, sizeof buf) || in.gcount() > 0)) {
    text.append(buf, static_cast<std::size_t>(in.gcount()));
  }
  return text;
}

}  // namespace

const std::vector<CtlSession::VerbRow>& CtlSession::Verbs() {
  static const auto* const verbs = new std::vector<VerbRow>{
      {"declare", "FILE", true,
       "Declare an intent from a file, or '-' for standard input.", &CtlSession::Declare},
      {"plan", "ID", true, "Show an intent with its plan and state.",
       &CtlSession::ShowPlan},
      {"confirm", "ID", true, "Confirm a plan.", &CtlSession::Confirm},
      {"cancel", "ID", true, "Cancel a plan that was not confirmed.",
       &CtlSession::Cancel},
      {"status", nullptr, false,
       "Show the leader, the open plans and which nodes use the configuration.",
       &CtlSession::Status},
      {"leave", "INSTANCE", true, "Declare that a backend server leaves.",
       &CtlSession::Leave},
      {"enter", "INSTANCE", true, "Declare that a leaving backend server stays.",
       &CtlSession::Enter},
      {"history", nullptr, false, "Show what was confirmed, the latest first.",
       &CtlSession::History},
      {"explain", "SERVICE|ID", false,
       "Explain why requests go where they go, or what became of an intent.",
       &CtlSession::Explain},
      {"rollouts", nullptr, false, "Show the last rollout of each service.",
       &CtlSession::Rollouts},
      {"roll-back", "SERVICE", true, "Declare that a rollout in progress is rolled back.",
       &CtlSession::RollBack},
      {"control-instances", nullptr, false,
       "Show the control instances and how many of them may fail.",
       &CtlSession::ControlInstances},
      {"add-control", "NAME=IP:PORT", true, "Declare that a control instance is added.",
       &CtlSession::AddControl},
      {"remove-control", "NAME", true, "Declare that a control instance is removed.",
       &CtlSession::RemoveControl},
  };
  return *verbs;
}

CtlSession::CtlSession(Dependencies dependencies, CtlOptions options)
    : dependencies_(std::move(dependencies)), options_(std::move(options)) {}

std::string CtlSession::VerbHelp() {
  std::string text;
  for (const VerbRow& verb : Verbs()) {
    char line[128];
    const std::string usage =
        Concat(verb.name, " ", verb.argument == nullptr ? "" : verb.argument);
    std::snprintf(line, sizeof line, "  %-25s %s\n", usage.c_str(), verb.help);
    text += line;
  }
  return text;
}

int CtlSession::Run(const std::vector<std::string>& arguments) {
  const std::string name = arguments.empty() ? "" : arguments.front();
  for (const VerbRow& verb : Verbs()) {
    if (name != verb.name) continue;
    const std::size_t max_arguments = verb.argument == nullptr ? 1 : 2;
    if (arguments.size() > max_arguments ||
        (verb.argument_required && arguments.size() < 2)) {
      *dependencies_.err << "usage: quetzalctl " << verb.name << " "
                         << (verb.argument == nullptr ? "" : verb.argument) << "\n";
      return kExitSettings;
    }
    try {
      return (this->*verb.run)(arguments.size() > 1 ? arguments[1] : "");
    } catch (const Error& error) {
      *dependencies_.err << error.what() << "\n";
      return error.code() == ResultCode::kFolderMissing ? kExitFolder : kExitRefused;
    }
  }
  *dependencies_.err << (name.empty() ? "a verb is missing" : "unknown verb " + name)
                     << "; the verbs are:\n"
                     << VerbHelp();
  return kExitSettings;
}

std::string CtlSession::ReadIntent(const std::string& file) {
  if (file == "-") return ReadAll(*dependencies_.in);
  std::ifstream in(file, std::ios::binary);
  if (!in) throw Error(ResultCode::kFolderMissing, Concat(file, ": cannot be read"));
  return ReadAll(in);
}

int CtlSession::Declare(const std::string& argument) {
  const std::string text = ReadIntent(argument);
  // Checked here as well, so that the error names the file.
  ParseIntent(argument == "-" ? "standard input" : argument, text);
  return DeclareText(text);
}

int CtlSession::DeclareText(const std::string& text) {
  const std::string id = options_.id.empty() ? NewIntentId() : options_.id;
  if (id.empty()) return PrintUnreachable();
  ParseIntentId(id);
  const auto answer = Ask("POST", "/v1/intents?id=" + id, text);
  // The operator needs the id to ask again.
  if (!answer) *dependencies_.err << "The intent id is " << id << ".\n";
  return PrintAnswer(answer, TextOfIntent);
}

int CtlSession::DeclareLeaveOrEnter(const char* field, const std::string& instance) {
  if (!IsLegalName(instance)) {
    throw Error(ResultCode::kIntentMalformed,
                Concat("'", instance, "' is not the name of an instance."));
  }
  const Json intent = {{"version", kIntentFormatVersion},
                       {"description", Concat(field, " ", instance)},
                       {field, Json::array({instance})}};
  return DeclareText(intent.dump());
}

int CtlSession::Leave(const std::string& argument) {
  return DeclareLeaveOrEnter("leave", argument);
}

int CtlSession::Enter(const std::string& argument) {
  return DeclareLeaveOrEnter("enter", argument);
}

int CtlSession::Rollouts(const std::string& /*argument*/) {
  return PrintAnswer(Ask("GET", "/v1/rollouts", ""), TextOfRollouts);
}

int CtlSession::RollBack(const std::string& argument) {
  if (!IsLegalName(argument)) {
    throw Error(ResultCode::kIntentMalformed,
                Concat("'", argument, "' is not the name of a service."));
  }
  const Json intent = {{"version", kIntentFormatVersion},
                       {"description", Concat("roll back ", argument)},
                       {"rollout", {{"service", argument}, {"roll_back", true}}}};
  return DeclareText(intent.dump());
}

int CtlSession::AddControl(const std::string& argument) {
  const std::size_t equals = argument.find('=');
  const std::string name = argument.substr(0, equals);
  if (equals == std::string::npos || !IsLegalName(name)) {
    throw Error(ResultCode::kIntentMalformed,
                Concat("'", argument, "' is not NAME=IP:PORT."));
  }
  const Json intent = {{"version", kIntentFormatVersion},
                       {"description", Concat("add control instance ", name)},
                       {"add_control_instance",
                        {{"name", name}, {"address", argument.substr(equals + 1)}}}};
  ParseIntent("command line", intent.dump());
  return DeclareText(intent.dump());
}

int CtlSession::RemoveControl(const std::string& argument) {
  if (!IsLegalName(argument)) {
    throw Error(ResultCode::kIntentMalformed,
                Concat("'", argument, "' is not the name of a control instance."));
  }
  const Json intent = {{"version", kIntentFormatVersion},
                       {"description", Concat("remove control instance ", argument)},
                       {"remove_control_instance", argument}};
  return DeclareText(intent.dump());
}

int CtlSession::ControlInstances(const std::string& /*argument*/) {
  return PrintAnswer(Ask("GET", "/v1/control-instances", ""), TextOfControlInstances);
}

std::string CtlSession::NewIntentId() {
  const auto status = Ask("GET", "/v1/status", "");
  if (!status || !status->contains("next_intent_number")) return "";
  char buf[48];
  std::snprintf(buf, sizeof buf, "%llu-%08llx",
                static_cast<unsigned long long>(  // NOLINT(google-runtime-int)
                    status->value("next_intent_number", std::uint64_t{0})),
                static_cast<unsigned long long>(  // NOLINT(google-runtime-int)
                    dependencies_.random->Below(std::uint64_t{1} << 32)));
  return buf;
}

int CtlSession::ShowPlan(const std::string& argument) {
  ParseIntentId(argument);
  auto answer = Ask("GET", "/v1/intents/" + argument, "");
  if (answer && options_.wait) answer = WaitUntilDone(argument, *answer);
  return PrintAnswer(answer, TextOfIntent);
}

int CtlSession::Confirm(const std::string& argument) {
  ParseIntentId(argument);
  auto answer = Ask("POST", Concat("/v1/intents/", argument, "/confirm"), "");
  if (answer && options_.wait) answer = WaitUntilDone(argument, *answer);
  // A confirmed change of the control instances can still end as not run. Confirming
  // again returns the result code of that outcome.
  if (answer && IsNotRun(*answer)) {
    answer = Ask("POST", Concat("/v1/intents/", argument, "/confirm"), "");
  }
  return PrintAnswer(answer, TextOfIntent);
}

int CtlSession::Cancel(const std::string& argument) {
  ParseIntentId(argument);
  return PrintAnswer(Ask("POST", Concat("/v1/intents/", argument, "/cancel"), ""),
                     TextOfIntent);
}

int CtlSession::Status(const std::string& /*argument*/) {
  return PrintAnswer(Ask("GET", "/v1/status", ""), TextOfStatus);
}

int CtlSession::History(const std::string& /*argument*/) {
  return PrintAnswer(Ask("GET", "/v1/history", ""), TextOfHistory);
}

int CtlSession::Explain(const std::string& argument) {
  if (IsIntentId(argument)) {
    const auto answer = Ask("GET", "/v1/explain?intent=" + argument, "");
    // The name of a service may look like an id.
    if (!answer || CodeOf(*answer) != ResultCode::kIntentUnknown) {
      return PrintAnswer(answer, TextOfExplanation);
    }
  }
  if (!argument.empty() && !IsLegalName(argument)) {
    throw Error(ResultCode::kIntentMalformed,
                Concat("'", argument, "' is not the name of a service."));
  }
  return PrintAnswer(Ask("GET", "/v1/explain?service=" + argument, ""),
                     TextOfExplanation);
}

std::optional<Json> CtlSession::AskOnce(const std::string& method,
                                        const std::string& path, const std::string& body,
                                        SteadyTime limit) {
  const std::size_t count = options_.control_instances.size();
  const std::size_t first = preferred_;
  std::optional<Json> best;
  for (std::size_t n = 0; n < count; ++n) {
    const std::size_t index = (first + n) % count;
    // An unresponsive instance must leave enough of the time limit for the others.
    const Duration share =
        (limit - dependencies_.clock->Now()) / static_cast<Duration::rep>(count - n);
    const auto text =
        dependencies_.channel->Send(options_.control_instances[index], method, path, body,
                                    std::max(share, kMinRequestTimeout));
    if (!text) continue;
    Json answer = Json::parse(*text, nullptr, false);
    if (!answer.is_object() || !answer.contains("code")) continue;
    preferred_ = index;
    const bool retry = IsRetryable(answer);
    best = std::move(answer);
    if (!retry) return best;
  }
  return best;
}

std::optional<Json> CtlSession::Ask(const std::string& method, const std::string& path,
                                    const std::string& body) {
  const SteadyTime limit = dependencies_.clock->Now() + options_.answer_limit;
  std::optional<Json> answer;
  for (;;) {
    // Keeps the answer of an earlier round when this round gets none.
    if (auto latest = AskOnce(method, path, body, limit)) answer = std::move(latest);
    if (answer && !IsRetryable(*answer)) return answer;
    if (dependencies_.clock->Now() + kRetryDelay >= limit) return answer;
    dependencies_.sleep(kRetryDelay);
  }
}

CtlSession::Json CtlSession::WaitUntilDone(const std::string& id, Json answer) {
  const SteadyTime limit = dependencies_.clock->Now() + options_.wait_limit;
  while (ConvergenceState(answer) == "pending" && dependencies_.clock->Now() < limit) {
    ShowProgress(answer);
    dependencies_.sleep(kPollPeriod);
    auto latest = AskOnce("GET", "/v1/intents/" + id, "",
                          dependencies_.clock->Now() + options_.answer_limit);
    if (latest && CodeOf(*latest) == ResultCode::kOk) answer = std::move(*latest);
  }
  if (options_.terminal) *dependencies_.err << "\r\033[K" << std::flush;
  return answer;
}

void CtlSession::ShowProgress(const Json& answer) {
  if (!options_.terminal) return;
  const Json& text = answer["convergence"].value("text", Json::array());
  if (text.empty() || !text.front().is_string()) return;
  *dependencies_.err << "\r\033[K" << text.front().get<std::string>() << std::flush;
}

int CtlSession::PrintAnswer(const std::optional<Json>& answer, Render render) {
  if (!answer) return PrintUnreachable();
  if (options_.json) {
    *dependencies_.out << answer->dump(2) << "\n";
  } else if (CodeOf(*answer) == ResultCode::kOk || answer->contains("intent")) {
    *dependencies_.out << render(*answer);
  } else {
    *dependencies_.err << TextOfRefusal(*answer);
  }
  return ExitCodeOf(*answer);
}

int CtlSession::PrintUnreachable() {
  const std::string message =
      "No control instance answered. A request that changes something may have run; ask "
      "again with the same intent id.";
  if (options_.json) {
    const Json answer = {{"code", static_cast<int>(ResultCode::kUnreachable)},
                         {"name", std::string(InfoOf(ResultCode::kUnreachable).name)},
                         {"not_run", false},
                         {"message", message}};
    *dependencies_.out << answer.dump(2) << "\n";
  } else {
    *dependencies_.err << message << "\n";
  }
  return kExitUnreachable;
}

int ExitCodeOf(const Json& answer) {
  const ResultCode code = CodeOf(answer);
  if (code == ResultCode::kOk) {
    const bool has_intent = answer.contains("intent");
    return has_intent && ConvergenceState(answer) == "pending" ? kExitPending : kExitOk;
  }
  if (IsRefusal(code)) return kExitRefused;
  return InfoOf(code).not_run ? kExitNotRun : kExitPending;
}

}  // namespace quetzal
