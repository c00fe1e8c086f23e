#include "calls/known_waits.h"

#include <algorithm>

namespace quetzal {
namespace {

/// A longer statement says little: requests ahead are cancelled or served elsewhere.
constexpr Duration kMaxWait = std::chrono::milliseconds(500);

constexpr Duration kProbePeriod = std::chrono::milliseconds(50);

/// Instances with statements. When there are more, all are asked again.
constexpr std::size_t kMaxInstances = 2048;

}  // namespace

void KnownWaits::Record(const std::string& instance, std::uint32_t priority,
                        Duration wait, SteadyTime now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (full_until_.size() >= kMaxInstances) full_until_.clear();
  const auto n = std::min<std::size_t>(priority, kPriorities - 1);
  full_until_[instance].at(n) = now + std::min(wait, kMaxWait);
}

void KnownWaits::Forget(const std::string& instance) {
  const std::lock_guard<std::mutex> lock(mutex_);
  full_until_.erase(instance);
}

Duration KnownWaits::Remaining(const std::string& instance, std::uint32_t priority,
                               SteadyTime now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = full_until_.find(instance);
  if (it == full_until_.end()) return {};
  const auto last = std::min<std::size_t>(priority, kPriorities - 1);
  SteadyTime until;
  for (std::size_t n = 0; n <= last; ++n) until = std::max(until, it->second.at(n));
  return std::max<Duration>(Duration::zero(), until - now);
}

bool KnownWaits::TakeProbe(const std::string& service, SteadyTime now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  SteadyTime& next = next_probe_[service];
  if (now < next) return false;
  next = now + kProbePeriod;
  return true;
}

}  // namespace quetzal
