#ifndef QUETZAL_CONTROL_DEPARTURE_REGISTER_H_
#define QUETZAL_CONTROL_DEPARTURE_REGISTER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "control.pb.h"

namespace quetzal {

/// The departures of backend servers that nodes have acknowledged, as part of the
/// replicated state. Bounded for each node and in the number of nodes. Not thread-safe.
class DepartureRegister {
 public:
  /// `max_instances`: beyond it, the node that changed longest ago is dropped.
  explicit DepartureRegister(std::size_t max_instances) : max_instances_(max_instances) {}

  /// Adds one with the log entry `index`. A server that is known keeps its latest start.
  void Add(std::uint64_t index, const RecordDeparture& departure);

  /// True when the register covers `departure`.
  bool Covers(const RecordDeparture& departure) const;

  /// Those of a node, the latest last.
  std::vector<ServerDeparture> Of(const std::string& instance) const;

  void WriteTo(ControlState* state) const;
  void ReadFrom(const ControlState& state);

 private:
  const std::size_t max_instances_;
  std::map<std::string, InstanceDepartures> instances_;
};

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_DEPARTURE_REGISTER_H_
