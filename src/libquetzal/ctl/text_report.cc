#include "ctl/text_report.h"

#include <cstdint>

#include "base/concat.h"

namespace quetzal {
namespace {

using Json = nlohmann::ordered_json;

std::string Text(const Json& json, const char* field) {
  const auto it = json.find(field);
  return it != json.end() && it->is_string() ? it->get<std::string>() : "";
}

std::uint64_t Index(const Json& json, const char* field) {
  const auto it = json.find(field);
  return it == json.end() ? 0 : it->value("index", std::uint64_t{0});
}

std::string Lines(const Json& json, const char* field, const std::string& indent) {
  std::string text;
  const auto it = json.find(field);
  if (it == json.end() || !it->is_array()) return text;
  for (const Json& line : *it) {
    if (line.is_string()) text += Concat(indent, line.get<std::string>(), "\n");
  }
  return text;
}

std::string Numbered(const Json& steps) {
  std::string text;
  std::size_t n = 0;
  for (const Json& step : steps) {
    if (step.is_string()) text += Concat("  ", ++n, ". ", step.get<std::string>(), "\n");
  }
  return text.empty() ? "  Nothing changes: the configuration is as requested already.\n"
                      : text;
}

std::string TextOfPlan(const Json& intent) {
  std::string text = Concat("Plan, made for configuration ", Index(intent, "base"), ":\n",
                            Numbered(intent.value("steps", Json::array())));
  const std::string warnings = Lines(intent, "warnings", "  - ");
  if (!warnings.empty()) text += Concat("Allowed, with warnings:\n", warnings);
  return text;
}

std::string TextOfState(const Json& intent) {
  const std::string state = Text(intent, "state");
  const std::string id = Text(intent, "id");
  if (state == "planned") {
    return Concat("Nothing changes until you confirm it: quetzalctl confirm ", id, "\n");
  }
  if (state == "confirmed" && !intent.contains("confirmed")) return "Confirmed.\n";
  if (state == "confirmed") {
    return Concat("Confirmed as configuration ", Index(intent, "confirmed"), ".\n");
  }
  if (state == "refused") return Concat("Refused: ", Text(intent, "reason"), "\n");
  return Concat(Text(intent, "reason"), "\n");
}

}  // namespace

std::string TextOfIntent(const Json& answer) {
  const Json intent = answer.value("intent", Json::object());
  const std::string description = Text(intent, "description");
  std::string text = Concat("Intent ", Text(intent, "id"),
                            description.empty() ? "" : ": ", description, "\n");
  if (Text(intent, "state") != "refused") text += TextOfPlan(intent);
  text += TextOfState(intent);
  const std::string message = Text(answer, "message");
  if (!message.empty() && message != Text(intent, "reason")) text += message + "\n";
  if (answer.contains("convergence")) text += Lines(answer["convergence"], "text", "");
  return text;
}

std::string TextOfStatus(const Json& answer) {
  const Json leadership = answer.value("leadership", Json::object());
  const std::string leader = Text(leadership, "leader");
  std::string text = Concat("Control instance ", Text(answer, "instance"),
                            "; leader: ", leader.empty() ? "none known" : leader,
                            ", term ", leadership.value("term", std::uint64_t{0}), ".\n");
  const Json plans = answer.value("open_plans", Json::array());
  for (const Json& plan : plans) {
    text += Concat("Waits to be confirmed: intent ", Text(plan, "id"), " (",
                   plan.value("steps", std::uint64_t{0}), " changes).\n");
  }
  if (plans.empty()) text += "No plan waits to be confirmed.\n";
  if (answer.contains("convergence")) text += Lines(answer["convergence"], "text", "");
  return text;
}

std::string TextOfControlInstances(const Json& answer) {
  std::string text;
  const std::string leader = Text(answer, "leader");
  for (const Json& member : answer.value("control_instances", Json::array())) {
    const std::string name = Text(member, "name");
    text += Concat(name, " at ", Text(member, "address"), ": ",
                   member.value("votes", false) ? "votes" : "is catching up",
                   member.value("answers", false) ? "" : ", does not answer",
                   name == leader ? ", leads" : "", "\n");
  }
  return Concat(text, Text(answer, "tolerance"), ".\n");
}

std::string TextOfHistory(const Json& answer) {
  const Json items = answer.value("history", Json::array());
  if (items.empty()) return "Nothing has been confirmed yet.\n";
  std::string text;
  for (const Json& item : items) {
    const bool by_system = Text(item, "by") == "system";
    const std::string reason = Text(item, "reason");
    text += Concat(item.value("control_instances", false)
                       ? std::string("Control instances")
                       : Concat("Configuration ", Index(item, "version")),
                   ", ", Text(item, "at"), ", ",
                   by_system ? "by the system" : Concat("intent ", Text(item, "intent")),
                   reason.empty() ? "" : ": ", reason, "\n", Lines(item, "steps", "  "));
  }
  return text;
}

std::string TextOfRollouts(const Json& answer) {
  const Json items = answer.value("rollouts", Json::array());
  if (items.empty()) return "No rollout of any service was started.\n";
  std::string text;
  for (const Json& item : items) {
    const std::string reason = Text(item, "reason");
    text += Concat(Text(item, "service"), " to version ", Text(item, "version"), ": ",
                   Text(item, "state"), ", started ", Text(item, "at"), " for ",
                   item.value("duration_ms", 0) / 1000, " s", reason.empty() ? "" : "; ",
                   reason, "\n");
  }
  return text;
}

std::string TextOfExplanation(const Json& answer) { return Lines(answer, "text", ""); }

std::string TextOfRefusal(const Json& answer) {
  return Concat(Text(answer, "message"), " (", answer.value("code", 0), " ",
                Text(answer, "name"), ")\n");
}

}  // namespace quetzal
