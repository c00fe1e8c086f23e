#ifndef QUETZAL_CALLS_FINISHED_REQUESTS_H_
#define QUETZAL_CALLS_FINISHED_REQUESTS_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

#include "calls/request_fingerprint.h"

namespace quetzal {

/// Requests that the local backend server has answered. Of a fixed size: later requests
/// replace earlier ones. Thread-safe.
class FinishedRequests {
 public:
  /// `seed` must not be known to callers.
  explicit FinishedRequests(std::uint64_t seed) : seed_(seed) {}

  void Add(const RequestIdentity& request);

  /// Removes the request; false if it is not known to have finished.
  bool Take(const RequestIdentity& request);

 private:
  static constexpr std::size_t kSlots = 4096;

  std::atomic<std::uint64_t>& SlotOf(std::uint64_t hash) { return slots_[hash % kSlots]; }

  const std::uint64_t seed_;
  std::array<std::atomic<std::uint64_t>, kSlots> slots_{};  ///< Hashes; 0: free.
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_FINISHED_REQUESTS_H_
