#include "timeline/timeline.h"

#include <algorithm>
#include <iterator>
#include <limits>

#include "base/result_code.h"

namespace quetzal {

namespace {

constexpr char kVersionField[] = "version";

bool Concerns(const TimelineRecord& record, const std::string& instance) {
  return record.origin.instance == instance || record.Field("peer") == instance ||
         record.Field("instance") == instance;
}

}  // namespace

bool Timeline::Matches(const TimelineRecord& record) {
  if (!filter_.key.empty() && record.Field("key") != filter_.key) return false;
  if (!filter_.instance.empty() && !Concerns(record, filter_.instance)) return false;
  if (filter_.intent.empty()) return true;
  const std::string version = record.Field(kVersionField);
  if (record.Field("intent") != filter_.intent) return versions_.count(version) != 0;
  if (!version.empty()) versions_.insert(version);
  return true;
}

void Timeline::AddLine(const std::string& line) {
  if (line.empty()) return;
  try {
    records_.push_back(ParseTimelineLine(line));
  } catch (const Error&) {
    ++malformed_lines_;
  }
}

void Timeline::Sort() {
  std::stable_sort(
      records_.begin(), records_.end(),
      [](const TimelineRecord& a, const TimelineRecord& b) { return a.hlc < b.hlc; });
}

std::vector<TimelineRecord> Timeline::TakeUntil(const HybridTime& horizon) {
  Sort();
  auto it = std::upper_bound(records_.begin(), records_.end(), horizon,
                             [](const HybridTime& time, const TimelineRecord& record) {
                               return time < record.hlc;
                             });
  std::vector<TimelineRecord> taken;
  std::copy_if(std::make_move_iterator(records_.begin()), std::make_move_iterator(it),
               std::back_inserter(taken),
               [this](const TimelineRecord& record) { return Matches(record); });
  records_.erase(records_.begin(), it);
  return taken;
}

std::vector<TimelineRecord> Timeline::TakeAll() {
  return TakeUntil({std::numeric_limits<std::uint64_t>::max(),
                    std::numeric_limits<std::uint32_t>::max()});
}

}  // namespace quetzal
