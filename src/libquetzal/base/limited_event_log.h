#ifndef QUETZAL_BASE_LIMITED_EVENT_LOG_H_
#define QUETZAL_BASE_LIMITED_EVENT_LOG_H_

#include <cstdint>
#include <mutex>
#include <string>

#include "base/clock.h"
#include "base/event_log.h"

namespace quetzal {

/// Hands events on, but of those that come with requests only so many a second; the
/// others are counted in "log.suppressed", which goes in front of the next one. Safe for
/// use from several threads.
class LimitedEventLog final : public EventLog {
 public:
  struct Settings {
    std::string prefix = "call.";  ///< Of the names of limited events.
    double per_second = 50;
    double burst = 200;
  };

  LimitedEventLog(EventLog* next, const Clock* clock, Settings settings);

  void Emit(const Event& event) override;

 private:
  /// True when `event` may pass; `suppressed` gets how many did not since the last one.
  bool Take(const Event& event, std::uint64_t* suppressed);

  EventLog* next_;
  const Clock* clock_;
  const Settings settings_;
  std::mutex mutex_;
  double tokens_;
  SteadyTime filled_at_;
  std::uint64_t suppressed_ = 0;
};

}  // namespace quetzal

#endif  // QUETZAL_BASE_LIMITED_EVENT_LOG_H_
