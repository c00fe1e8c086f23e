#ifndef QUETZAL_CONTROL_INTENT_EVENTS_H_
#define QUETZAL_CONTROL_INTENT_EVENTS_H_

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/event_log.h"

namespace quetzal {

/// An event and the wall time at which it was logged.
struct TimedEvent {
  WallTime wall;
  Event event;
};

/// Forwards every event to the next log and keeps the latest ones that name an intent.
/// Thread-safe.
class IntentEvents final : public EventLog {
 public:
  static constexpr std::size_t kMaxEvents = 4096;

  /// At most `max_events` are kept.
  IntentEvents(EventLog* next, const Clock* clock, std::size_t max_events = kMaxEvents);

  void Emit(const Event& event) override;

  /// The kept events that name `intent`, oldest first.
  std::vector<TimedEvent> ForIntent(const std::string& intent) const;

 private:
  EventLog* next_;
  const Clock* clock_;
  const std::size_t max_events_;
  mutable std::mutex mutex_;
  std::deque<TimedEvent> events_;
};

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_INTENT_EVENTS_H_
