#include "control/intent_events.h"

namespace quetzal {
namespace {

constexpr char kIntentField[] = "intent";

std::string IntentOf(const Event& event) {
  for (const auto& [name, value] : event.fields) {
    if (name == kIntentField) return value;
  }
  return "";
}

}  // namespace

IntentEvents::IntentEvents(EventLog* next, const Clock* clock, std::size_t max_events)
    : next_(next), clock_(clock), max_events_(max_events) {}

void IntentEvents::Emit(const Event& event) {
  next_->Emit(event);
  if (IntentOf(event).empty()) return;
  const std::lock_guard<std::mutex> lock(mutex_);
  events_.push_back({clock_->WallNow(), event});
  if (events_.size() > max_events_) events_.pop_front();
}

std::vector<TimedEvent> IntentEvents::ForIntent(const std::string& intent) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<TimedEvent> found;
  for (const TimedEvent& timed_event : events_) {
    if (IntentOf(timed_event.event) == intent) found.push_back(timed_event);
  }
  return found;
}

}  // namespace quetzal
