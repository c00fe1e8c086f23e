#ifndef QUETZAL_CALLS_KNOWN_WAITS_H_
#define QUETZAL_CALLS_KNOWN_WAITS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>

#include "base/clock.h"

namespace quetzal {

/// The waits for a slot that full instances stated to this node. Each statement runs out
/// as the time that it names passes, so that the instance is asked again. Safe for use
/// from several threads.
class KnownWaits {
 public:
  /// Records the wait that `instance` stated to a request of this priority.
  void Record(const std::string& instance, std::uint32_t priority, Duration wait,
              SteadyTime now);

  /// Forgets the statements of an instance that has a free slot or a different queue.
  void Forget(const std::string& instance);

  /// Time for which a request of this priority finds no free slot at `instance`; zero:
  /// there may be one. Requests of a lower priority wait at least as long.
  Duration Remaining(const std::string& instance, std::uint32_t priority,
                     SteadyTime now) const;

  /// True once in a period for each service: the request asks instances although all of
  /// them have stated a wait, so that a recovery is noticed before these run out.
  bool TakeProbe(const std::string& service, SteadyTime now);

 private:
  static constexpr std::size_t kPriorities = 4;  ///< Lower ones count as the last.
  using FullUntil = std::array<SteadyTime, kPriorities>;

  mutable std::mutex mutex_;
  std::unordered_map<std::string, FullUntil> full_until_;   ///< By instance.
  std::unordered_map<std::string, SteadyTime> next_probe_;  ///< By service.
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_KNOWN_WAITS_H_
