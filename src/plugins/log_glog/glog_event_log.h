#ifndef QUETZAL_PLUGINS_LOG_GLOG_GLOG_EVENT_LOG_H_
#define QUETZAL_PLUGINS_LOG_GLOG_GLOG_EVENT_LOG_H_

#include <memory>
#include <string>

#include "base/event_log.h"

namespace quetzal {

/// Writes events as JSON lines through glog: to `file`, to standard output when it is
/// "-", or to standard error when it is empty.
class GlogEventLog final : public EventLog {
 public:
  /// Throws Error(kFolderMissing) when `file` cannot be opened for appending.
  GlogEventLog(EventOrigin origin, const std::string& file, const Clock* clock,
               HybridClock* hybrid_clock);
  ~GlogEventLog() override;

  void Emit(const Event& event) override;

 private:
  class Sink;

  EventOrigin origin_;
  const Clock* clock_;
  HybridClock* hybrid_clock_;
  std::unique_ptr<Sink> sink_;
};

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_LOG_GLOG_GLOG_EVENT_LOG_H_
