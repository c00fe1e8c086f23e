#ifndef QUETZAL_TIMELINE_TIMELINE_H_
#define QUETZAL_TIMELINE_TIMELINE_H_

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "timeline/timeline_record.h"

namespace quetzal {

/// Selects events; an empty member selects all. Filtering by an intent also selects the
/// later events of the configuration version that the intent was confirmed as.
struct TimelineFilter {
  std::string intent;
  std::string key;
  std::string instance;
};

/// Merges the events of many processes in the order of their hybrid times. A cause thus
/// precedes its effects even when the wall clocks of the instances differ. Events of one
/// instance keep the order in which it wrote them.
class Timeline {
 public:
  explicit Timeline(TimelineFilter filter) : filter_(std::move(filter)) {}

  /// Adds one line of a log. Ignores empty lines; skips and counts malformed ones.
  void AddLine(const std::string& line);

  /// Removes and returns, in order, the events no later than `horizon`.
  std::vector<TimelineRecord> TakeUntil(const HybridTime& horizon);

  /// Removes and returns all events in order.
  std::vector<TimelineRecord> TakeAll();

  std::uint64_t malformed_lines() const { return malformed_lines_; }

 private:
  void Sort();
  bool Matches(const TimelineRecord& record);

  TimelineFilter filter_;
  std::vector<TimelineRecord> records_;
  std::set<std::string> versions_;  ///< Versions that the intent was confirmed as.
  std::uint64_t malformed_lines_ = 0;
};

}  // namespace quetzal

#endif  // QUETZAL_TIMELINE_TIMELINE_H_
