#include "calls/finished_requests.h"

namespace quetzal {

void FinishedRequests::Add(const RequestIdentity& request) {
  const std::uint64_t hash = request.LocalHash(seed_);
  SlotOf(hash).store(hash, std::memory_order_relaxed);
}

bool FinishedRequests::Take(const RequestIdentity& request) {
  std::uint64_t hash = request.LocalHash(seed_);
  return SlotOf(hash).compare_exchange_strong(hash, 0, std::memory_order_relaxed);
}

}  // namespace quetzal
