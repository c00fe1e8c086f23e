#include "base/limited_event_log.h"

#include <utility>

namespace quetzal {

LimitedEventLog::LimitedEventLog(EventLog* next, const Clock* clock, Settings settings)
    : next_(next),
      clock_(clock),
      settings_(std::move(settings)),
      tokens_(settings_.per_second, settings_.burst, settings_.burst, clock->Now()) {}

void LimitedEventLog::Emit(const Event& event) {
  std::uint64_t suppressed = 0;
  if (!Allow(event, &suppressed)) return;
  if (suppressed > 0) {
    next_->Emit({"log.suppressed", {{"events", std::to_string(suppressed)}}});
  }
  next_->Emit(event);
}

bool LimitedEventLog::Allow(const Event& event, std::uint64_t* suppressed) {
  if (event.name.compare(0, settings_.prefix.size(), settings_.prefix) != 0) return true;
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!tokens_.Take(clock_->Now())) {
    ++suppressed_;
    return false;
  }
  *suppressed = std::exchange(suppressed_, 0);
  return true;
}

}  // namespace quetzal
