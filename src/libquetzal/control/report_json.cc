#include "control/report_json.h"

#include <google/protobuf/util/json_util.h>

#include <cstdio>
#include <ctime>

#include "configuration/rollout_list.h"
#include "control/convergence_text.h"

namespace quetzal {
namespace {

constexpr std::uint64_t kMicrosPerSecond = 1'000'000;
constexpr std::uint64_t kMicrosPerMilli = 1000;

const char* NameOf(IntentState state) {
  switch (state) {
    case INTENT_PLANNED:
      return "planned";
    case INTENT_REFUSED:
      return "refused";
    case INTENT_CONFIRMED:
      return "confirmed";
    case INTENT_NOT_RUN:
      return "not_run";
    case INTENT_CANCELLED:
      return "cancelled";
    default:
      return "unknown";
  }
}

template <class List>
ReportJson JsonOfTexts(const List& texts) {
  ReportJson list = ReportJson::array();
  for (const std::string& text : texts) list.push_back(text);
  return list;
}

std::int64_t Millis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

ReportJson JsonOfProxy(const TrackedProxy& proxy, SteadyTime now) {
  return {{"instance", proxy.ack.instance},
          {"data_centre", proxy.ack.data_centre},
          {"held", JsonOfVersion(proxy.ack.applied_version)},
          {"last_word_ms", Millis(now - proxy.last_report)}};
}

}  // namespace

ReportJson JsonOfCode(ResultCode code, const std::string& message) {
  const ResultCodeInfo& info = InfoOf(code);
  return {{"code", static_cast<int>(code)},
          {"name", std::string(info.name)},
          {"not_run", info.not_run},
          {"message", message}};
}

ReportJson JsonOfVersion(const Version& version) {
  return {{"term", version.term()}, {"index", version.index()}};
}

ReportJson JsonOfConvergence(const Version& version, const ConvergenceReport& report,
                             SteadyTime now) {
  ReportJson json = {{"state", report.done ? "done" : "pending"},
                     {"version", JsonOfVersion(version)},
                     {"live", report.live},
                     {"acknowledged", report.acknowledged}};
  if (report.convergence_time) {
    json["convergence_seconds"] =
        std::chrono::duration<double>(*report.convergence_time).count();
  }
  if (report.control_bytes) json["control_bytes"] = *report.control_bytes;
  json["waiting"] = ReportJson::array();
  for (const TrackedProxy& proxy : report.waiting) {
    json["waiting"].push_back(JsonOfProxy(proxy, now));
  }
  json["silent"] = ReportJson::array();
  for (const TrackedProxy& proxy : report.unresponsive) {
    json["silent"].push_back(JsonOfProxy(proxy, now));
  }
  json["cut_off"] = ReportJson::array();
  for (const UnresponsiveDataCentre& centre : report.cut_off) {
    json["cut_off"].push_back({{"data_centre", centre.name},
                               {"proxies", centre.proxies},
                               {"silent_ms", Millis(centre.unresponsive_for)}});
  }
  json["leader_wait_ms"] = Millis(report.leader_wait);
  json["text"] = JsonOfTexts(DescribeConvergence(version, report, now));
  return json;
}

ReportJson JsonOfIntent(const IntentRecord& record) {
  ReportJson json = {{"id", record.id()},
                     {"state", NameOf(record.state())},
                     {"description", record.description()},
                     {"base", JsonOfVersion(record.base())},
                     {"steps", JsonOfTexts(record.steps())},
                     {"warnings", JsonOfTexts(record.warnings())},
                     {"reason", record.reason()},
                     {"declared_at", FormatMicros(record.declared_micros())}};
  if (record.closed_micros() > 0)
    json["closed_at"] = FormatMicros(record.closed_micros());
  if (record.has_confirmed()) json["confirmed"] = JsonOfVersion(record.confirmed());
  return json;
}

ReportJson JsonOfEvents(const std::vector<TimedEvent>& events) {
  ReportJson list = ReportJson::array();
  for (const TimedEvent& timed_event : events) {
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(
        timed_event.wall.time_since_epoch());
    ReportJson entry = {
        {"time", FormatMicros(static_cast<std::uint64_t>(micros.count()))},
        {"event", timed_event.event.name}};
    for (const auto& [name, value] : timed_event.event.fields) entry[name] = value;
    list.push_back(std::move(entry));
  }
  return list;
}

ReportJson JsonOfHistory(const std::vector<HistoryItem>& items) {
  ReportJson list = ReportJson::array();
  for (const HistoryItem& item : items) {
    list.push_back({{"version", JsonOfVersion(item.version())},
                    {"at", FormatMicros(item.wall_micros())},
                    {"by", item.intent().empty() ? "system" : "operator"},
                    {"intent", item.intent()},
                    {"reason", item.reason()},
                    {"control_instances", item.group_only()},
                    {"steps", JsonOfTexts(item.steps())}});
  }
  return list;
}

ReportJson JsonOfRollouts(const Configuration& configuration) {
  ReportJson list = ReportJson::array();
  for (const Rollout& rollout : configuration.rollouts()) {
    list.push_back({{"service", rollout.service()},
                    {"version", rollout.version()},
                    {"state", RolloutStateText(rollout.state())},
                    {"started", JsonOfVersion(rollout.started())},
                    {"at", FormatMicros(rollout.started_micros())},
                    {"duration_ms", rollout.duration_ms()},
                    {"share_permille", rollout.max_share_permille()},
                    {"reason", rollout.reason()}});
  }
  return list;
}

ReportJson JsonOfConfiguration(const Configuration& configuration) {
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  std::string text;
  const auto status =
      google::protobuf::util::MessageToJsonString(configuration, &text, options);
  if (!status.ok()) throw Error(ResultCode::kInternalError, status.ToString());
  ReportJson json = ReportJson::parse(text);
  // A digest would show an attacker when a guessed credential is right.
  for (ReportJson& team : json["teams"]) {
    const std::size_t count = team["credential_digests"].size();
    team.erase("credential_digests");
    team["credentials"] = count;
  }
  return json;
}

ReportJson JsonOfGroup(const ControlGroup& group) {
  ReportJson json = {{"leader", group.leader()},
                     {"control_instances", ReportJson::array()},
                     {"tolerance", DescribeTolerance(group)}};
  for (const ControlMember& member : group.members()) {
    json["control_instances"].push_back({{"name", member.name()},
                                         {"address", member.address()},
                                         {"votes", member.votes()},
                                         {"answers", member.answers()}});
  }
  return json;
}

ReportJson JsonOfGroupChange(const GroupChangeReport& report) {
  return {{"state", report.state}, {"text", ReportJson::array({report.text})}};
}

ReportJson JsonOfLeadership(const LeadershipView& view) {
  return {{"leading", view.leading},
          {"leader", view.leader},
          {"term", view.term},
          {"since_quorum_ms", Millis(view.since_quorum)}};
}

std::string FormatMicros(std::uint64_t micros) {
  const auto seconds = static_cast<std::time_t>(micros / kMicrosPerSecond);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char buf[32];
  const std::size_t n = std::strftime(buf, sizeof buf, "%Y-%m-%dT%H:%M:%S", &parts);
  char millis[8];
  std::snprintf(millis, sizeof millis, ".%03uZ",
                static_cast<unsigned>(micros % kMicrosPerSecond / kMicrosPerMilli));
  return std::string(buf, n) + millis;
}

}  // namespace quetzal
