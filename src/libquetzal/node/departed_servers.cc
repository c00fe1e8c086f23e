#include "node/departed_servers.h"

#include <algorithm>

namespace quetzal {
namespace {

/// A node has one backend server at a time; a few of its predecessors are enough.
constexpr std::size_t kMaxDepartures = 16;

}  // namespace

void DepartedServers::Add(const BackendDeparture& departure) {
  const auto it =
      std::find_if(departures_.begin(), departures_.end(),
                   [&](const BackendDeparture& d) { return d.id == departure.id; });
  BackendDeparture latest = departure;
  if (it != departures_.end()) {
    latest.last_start = std::max(it->last_start, departure.last_start);
    departures_.erase(it);
  }
  if (departures_.size() >= kMaxDepartures) departures_.pop_front();
  departures_.push_back(latest);
}

void DepartedServers::AddEarlier(const BackendDeparture& departure) {
  if (departures_.size() < kMaxDepartures) departures_.push_front(departure);
}

bool DepartedServers::Contains(const std::string& id,
                               std::chrono::milliseconds start_time) const {
  return std::any_of(departures_.begin(), departures_.end(),
                     [&](const BackendDeparture& d) {
                       return d.id == id && start_time <= d.last_start;
                     });
}

BackendDeparture DepartedServers::latest() const {
  return departures_.empty() ? BackendDeparture() : departures_.back();
}

}  // namespace quetzal
