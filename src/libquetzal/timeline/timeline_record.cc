#include "timeline/timeline_record.h"

#include <nlohmann/json.hpp>

#include "base/result_code.h"

namespace quetzal {
namespace {

using Json = nlohmann::ordered_json;

std::string RemoveText(Json* line, const char* name) {
  auto it = line->find(name);
  if (it == line->end() || !it->is_string()) {
    throw Error(ResultCode::kMessageMalformed,
                std::string("missing text field '") + name + "'");
  }
  std::string text = it->get<std::string>();
  line->erase(name);
  return text;
}

}  // namespace

std::string TimelineRecord::Field(const std::string& name) const {
  for (const auto& [key, value] : event.fields) {
    if (key == name) return value;
  }
  return "";
}

TimelineRecord ParseTimelineLine(const std::string& line) {
  Json json = Json::parse(line, nullptr, false);
  if (!json.is_object()) {
    throw Error(ResultCode::kMessageMalformed, "the line is not a JSON object");
  }
  TimelineRecord record;
  record.time = RemoveText(&json, "time");
  record.hlc = ParseHybridTime(RemoveText(&json, "hlc"));
  record.origin.program = RemoveText(&json, "program");
  record.origin.instance = RemoveText(&json, "instance");
  record.origin.data_centre = RemoveText(&json, "data_centre");
  record.event.name = RemoveText(&json, "event");
  for (const auto& [key, value] : json.items()) {
    record.event.fields.emplace_back(
        key, value.is_string() ? value.get<std::string>() : value.dump());
  }
  return record;
}

std::string FormatTimelineText(const TimelineRecord& record) {
  std::string text = record.time + "  " + record.origin.instance;
  if (!record.origin.data_centre.empty()) text += "@" + record.origin.data_centre;
  text += "  " + record.event.name;
  for (const auto& [key, value] : record.event.fields) text += "  " + key + "=" + value;
  return text;
}

std::string FormatTimelineJson(const TimelineRecord& record) {
  Json line;
  line["time"] = record.time;
  line["hlc"] = record.hlc.ToString();
  line["program"] = record.origin.program;
  line["instance"] = record.origin.instance;
  line["data_centre"] = record.origin.data_centre;
  line["event"] = record.event.name;
  for (const auto& [key, value] : record.event.fields) line[key] = value;
  return line.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace quetzal
