#ifndef QUETZAL_TIMELINE_TIMELINE_RECORD_H_
#define QUETZAL_TIMELINE_TIMELINE_RECORD_H_

#include <string>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "base/hybrid_clock.h"

namespace quetzal {

/// One event as read from a log file.
struct TimelineRecord {
  HybridTime hlc;
  std::string time;  ///< Wall time, RFC 3339.
  EventOrigin origin;
  Event event;

  /// Returns the value of the event's field `name`; empty when there is none.
  std::string Field(const std::string& name) const;
};

/// Parses a line written by FormatEventLine. Throws Error(kMessageMalformed).
TimelineRecord ParseTimelineLine(const std::string& line);

/// Formats `record` as one line of readable text.
std::string FormatTimelineText(const TimelineRecord& record);

/// Formats `record` as one line of JSON.
std::string FormatTimelineJson(const TimelineRecord& record);

}  // namespace quetzal

#endif  // QUETZAL_TIMELINE_TIMELINE_RECORD_H_
