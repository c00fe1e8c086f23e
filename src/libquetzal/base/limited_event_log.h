#ifndef QUETZAL_BASE_LIMITED_EVENT_LOG_H_
#define QUETZAL_BASE_LIMITED_EVENT_LOG_H_

#include <cstdint>
#include <mutex>
#include <string>

#include "base/clock.h"
#include "base/event_log.h"
#include "base/token_bucket.h"

namespace quetzal {

/// Forwards events and limits the rate of those that requests cause. Counts the events
/// over the limit, which it drops, and reports their number as "log.suppressed" before
/// the next limited event that it forwards. Thread-safe.
class LimitedEventLog final : public EventLog {
 public:
  struct Settings {
    std::string prefix = "call.";  ///< Name prefix of the limited events.
    double per_second = 50;
    double burst = 200;  ///< Capacity of the token bucket, in events.
  };

  LimitedEventLog(EventLog* next, const Clock* clock, Settings settings);

  void Emit(const Event& event) override;

 private:
  /// Returns true when `event` is within the limit; `*suppressed` is then set to the
  /// number of events dropped since the last one within it.
  bool Allow(const Event& event, std::uint64_t* suppressed);

  EventLog* next_;
  const Clock* clock_;
  const Settings settings_;
  std::mutex mutex_;
  TokenBucket tokens_;
  std::uint64_t suppressed_ = 0;
};

}  // namespace quetzal

#endif  // QUETZAL_BASE_LIMITED_EVENT_LOG_H_
