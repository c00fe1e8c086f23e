#ifndef QUETZAL_CALLS_SLOT_PROBES_H_
#define QUETZAL_CALLS_SLOT_PROBES_H_

#include <cstddef>
#include <mutex>
#include <string>
#include <unordered_map>

#include "base/clock.h"

namespace quetzal {

/// How many instances of a service are probed for a free slot before a request is queued:
/// fewer while most probes of this node find none. Safe for use from several threads.
class SlotProbes {
 public:
  /// Records whether a probed instance of `service` had a free slot.
  void Record(const std::string& service, bool found, SteadyTime now);

  std::size_t Limit(const std::string& service, SteadyTime now) const;

 private:
  struct Rate {
    double found = 0;
    double all = 0;
    SteadyTime at;
  };
  static void Decay(SteadyTime now, Rate* rate);

  mutable std::mutex mutex_;
  std::unordered_map<std::string, Rate> rates_;  ///< By service.
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_SLOT_PROBES_H_
