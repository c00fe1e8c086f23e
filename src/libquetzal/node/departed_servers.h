#ifndef QUETZAL_NODE_DEPARTED_SERVERS_H_
#define QUETZAL_NODE_DEPARTED_SERVERS_H_

#include <chrono>
#include <deque>
#include <string>

namespace quetzal {

/// Incarnations of backend servers that are leaving or have left, also those that no
/// heartbeat has named yet. Bounded; the oldest entries are dropped. Not thread-safe.
class DepartedServers {
 public:
  /// Records that the incarnations of `id` that started at `last_start` (wall time since
  /// 1970) or earlier leave.
  void Add(const std::string& id, std::chrono::milliseconds last_start);

  bool Contains(const std::string& id, std::chrono::milliseconds start_time) const;

 private:
  struct Departure {
    std::string id;
    std::chrono::milliseconds last_start{};
  };

  std::deque<Departure> departures_;  ///< The newest is last.
};

}  // namespace quetzal

#endif  // QUETZAL_NODE_DEPARTED_SERVERS_H_
