#ifndef QUETZAL_NODE_DEPARTED_SERVERS_H_
#define QUETZAL_NODE_DEPARTED_SERVERS_H_

#include <chrono>
#include <deque>
#include <string>

namespace quetzal {

/// A backend server that leaves or has left.
struct BackendDeparture {
  std::string id;
  /// Covers its incarnations that started at this wall time (since 1970) or earlier.
  std::chrono::milliseconds last_start{};
};

/// Incarnations of backend servers that are leaving or have left, also those that no
/// heartbeat has named yet. Bounded; the oldest entries are dropped. Not thread-safe.
class DepartedServers {
 public:
  void Add(const BackendDeparture& departure);

  /// Adds one that precedes all others.
  void AddEarlier(const BackendDeparture& departure);

  bool Contains(const std::string& id, std::chrono::milliseconds start_time) const;

  /// The last one; without an id if there is none.
  BackendDeparture latest() const;

 private:
  std::deque<BackendDeparture> departures_;  ///< The newest is last.
};

}  // namespace quetzal

#endif  // QUETZAL_NODE_DEPARTED_SERVERS_H_
