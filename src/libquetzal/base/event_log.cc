#include "base/event_log.h"

#include <ctime>

#include <nlohmann/json.hpp>

namespace quetzal {
namespace {

std::string FormatWallTime(WallTime wall) {
  const auto since_epoch = wall.time_since_epoch();
  const auto secs = std::chrono::duration_cast<std::chrono::seconds>(since_epoch);
  const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(since_epoch - secs);
  const std::time_t t = secs.count();
  std::tm tm{};
  gmtime_r(&t, &tm);
  char buf[48];
  const std::size_t n = std::strftime(buf, sizeof(buf), "%Y-%m-%dT%H:%M:%S", &tm);
  std::snprintf(buf + n, sizeof(buf) - n, ".%06dZ", static_cast<int>(micros.count()));
  return buf;
}

}  // namespace

std::string FormatEventLine(const EventOrigin& origin, WallTime wall,
                            const HybridTime& hlc, const Event& event) {
  nlohmann::ordered_json line;
  line["time"] = FormatWallTime(wall);
  line["hlc"] = hlc.ToString();
  line["program"] = origin.program;
  line["instance"] = origin.instance;
  line["data_centre"] = origin.data_centre;
  line["event"] = event.name;
  for (const auto& [key, value] : event.fields) line[key] = value;
  return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace quetzal
