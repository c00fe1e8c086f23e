#include "node/departed_servers.h"

#include <algorithm>

namespace quetzal {
namespace {

/// A node has one backend server at a time; a few of its predecessors are enough.
constexpr std::size_t kMaxDepartures = 16;

}  // namespace

void DepartedServers::Add(const std::string& id, std::chrono::milliseconds last_start) {
  const auto it = std::find_if(departures_.begin(), departures_.end(),
                               [&id](const Departure& d) { return d.id == id; });
  if (it != departures_.end()) {
    it->last_start = std::max(it->last_start, last_start);
    return;
  }
  if (departures_.size() >= kMaxDepartures) departures_.pop_front();
  departures_.push_back({id, last_start});
}

bool DepartedServers::Contains(const std::string& id,
                               std::chrono::milliseconds start_time) const {
  return std::any_of(departures_.begin(), departures_.end(), [&](const Departure& d) {
    return d.id == id && start_time <= d.last_start;
  });
}

}  // namespace quetzal
