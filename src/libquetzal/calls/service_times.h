#ifndef QUETZAL_CALLS_SERVICE_TIMES_H_
#define QUETZAL_CALLS_SERVICE_TIMES_H_

#include <cstddef>
#include <string>
#include <unordered_map>

#include "base/clock.h"

namespace quetzal {

/// Moving averages of the time that a backend server takes for a request, by kind of
/// work. The caller serializes the calls.
class ServiceTimes {
 public:
  /// Records the time of one request. `work` names a kind of work, whose requests take
  /// about the same time.
  void Record(const std::string& work, Duration time);

  /// Mean time of requests of this kind; of all requests while the kind is not known, and
  /// zero before the first one.
  Duration Expected(const std::string& work) const;

  /// True for a kind that takes at most half as long as the slowest one.
  bool IsShort(const std::string& work) const;

  /// Mean over all kinds.
  Duration mean() const { return all_; }

 private:
  static void AddSample(Duration time, Duration* mean);

  Duration all_{};
  std::unordered_map<std::string, Duration> by_work_;
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_SERVICE_TIMES_H_
