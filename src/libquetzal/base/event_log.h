#ifndef QUETZAL_BASE_EVENT_LOG_H_
#define QUETZAL_BASE_EVENT_LOG_H_

#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/hybrid_clock.h"

namespace quetzal {

/// One entry of the event log, which quetzal-timeline reads.
struct Event {
  std::string name;  ///< "area.action", such as "intent.confirmed".
  std::vector<std::pair<std::string, std::string>> fields;
};

/// Identifies the process that writes events.
struct EventOrigin {
  std::string program;
  std::string instance;
  std::string data_centre;
};

/// Receives events. Implementations are thread-safe.
class EventLog {
 public:
  virtual ~EventLog() = default;
  virtual void Emit(const Event& event) = 0;
};

/// Discards every event.
class NullEventLog final : public EventLog {
 public:
  void Emit(const Event&) override {}
};

/// Formats `event` as one line of JSON without a line end, with the fields of its origin,
/// the wall time in RFC 3339 (UTC, microseconds) and the hybrid time.
std::string FormatEventLine(const EventOrigin& origin, WallTime wall,
                            const HybridTime& hlc, const Event& event);

}  // namespace quetzal

#endif  // QUETZAL_BASE_EVENT_LOG_H_
