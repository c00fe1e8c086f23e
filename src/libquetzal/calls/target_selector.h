#ifndef QUETZAL_CALLS_TARGET_SELECTOR_H_
#define QUETZAL_CALLS_TARGET_SELECTOR_H_

#include <cstddef>
#include <memory>
#include <vector>

#include "base/random.h"
#include "kernel/plugin_registry.h"

namespace quetzal {

/// Load of one backend server as the choosing node estimates it.
struct TargetLoad {
  double outstanding = 0;  ///< Requests sent or queued there, not answered yet.
  double capacity = 1;     ///< Concurrent requests that it accepts.
  double service_ms = 0;   ///< Service time; 0: not known.
};

/// A load policy: chooses one of several backend servers. One object serves one service;
/// its calls are serialized.
class TargetSelector {
 public:
  virtual ~TargetSelector() = default;

  /// Returns an index into `loads`, which is not empty.
  virtual std::size_t Select(const std::vector<TargetLoad>& loads, Random* random) = 0;
};

/// Used when a configuration names no load policy, or one that is not linked in.
inline constexpr char kDefaultLoadPolicy[] = "two_choices";

/// Load policies by name: "random", "round_robin", "least_outstanding", "two_choices",
/// "earliest_completion".
using TargetSelectorRegistry = PluginRegistry<TargetSelector>;

/// Outstanding requests plus one more, relative to the capacity.
inline double Utilization(const TargetLoad& load) {
  return (load.outstanding + 1) / (load.capacity > 0 ? load.capacity : 1);
}

/// Time in milliseconds until one more request would be answered. A server of unknown
/// speed counts as fast, so that it gets requests.
inline double ExpectedWait(const TargetLoad& load) {
  constexpr double kUnknownMs = 0.1;
  return Utilization(load) * (load.service_ms > 0 ? load.service_ms : kUnknownMs);
}

}  // namespace quetzal

#endif  // QUETZAL_CALLS_TARGET_SELECTOR_H_
