#ifndef QUETZAL_CALLS_SERVICE_TIMES_H_
#define QUETZAL_CALLS_SERVICE_TIMES_H_

#include <cstddef>
#include <string>
#include <unordered_map>

#include "base/clock.h"

namespace quetzal {

/// Moving averages of the time that a backend server takes for a request, by kind of
/// work. Holds no clock and no lock.
class ServiceTimes {
 public:
  /// `work` names a kind of work; its requests take about the same time.
  void Note(const std::string& work, Duration time);

  /// Expected time of a request; that of any request while its kind is not known, and
  /// zero while nothing is.
  Duration Expected(const std::string& work) const;

  /// A time that most requests of this kind do not exceed.
  Duration Usual(const std::string& work) const;

  /// Over all kinds.
  Duration mean() const { return all_.mean; }

 private:
  struct Average {
    Duration mean{};
    Duration deviation{};
  };
  static void Add(Duration time, Average* average);
  const Average& Of(const std::string& work) const;

  Average all_;
  std::unordered_map<std::string, Average> by_work_;
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_SERVICE_TIMES_H_
