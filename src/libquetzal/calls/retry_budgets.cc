#include "calls/retry_budgets.h"

namespace quetzal {
namespace {

constexpr std::uint64_t kRetry = 100;  // Hundredths of a retry.

/// Retries saved up at most, and at the start, by a node with a burst of its own.
constexpr std::uint64_t kOwnMost = 100 * kRetry;
constexpr std::uint64_t kOwnStart = 10 * kRetry;

/// Parts of the shared burst and share that are handed out. Repeated runs make calls of
/// their own, which count as repeats at the services that they call; these are not more
/// than all calls of a service, so that half is left for them.
constexpr std::uint64_t kBurstPartPercent = 50;
constexpr std::uint64_t kSharePartPercent = 50;

}  // namespace

RetryBudgets::RetryBudgets(std::uint32_t percent, std::uint32_t shared_burst)
    : percent_(percent), shared_burst_(shared_burst) {}

void RetryBudgets::SetNodes(std::size_t nodes) {
  const std::lock_guard<std::mutex> lock(mutex_);
  nodes_ = std::max<std::size_t>(1, nodes);
}

void RetryBudgets::Earn(const std::string& service, std::uint32_t percent) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::uint64_t& tokens = TokensLocked(service);
  tokens = std::min(
      MostLocked(),
      tokens + (shared_burst_ > 0 ? kSharePartPercent * percent_ / kRetry : percent));
}

bool RetryBudgets::Spend(const std::string& service) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::uint64_t& tokens = TokensLocked(service);
  if (tokens < kRetry) return false;
  tokens -= kRetry;
  return true;
}

std::uint64_t RetryBudgets::MostLocked() const {
  if (shared_burst_ == 0) return kOwnMost;
  return std::max(kRetry, kBurstPartPercent * shared_burst_ / nodes_);
}

std::uint64_t& RetryBudgets::TokensLocked(const std::string& service) {
  const auto [it, added] = hundredths_.try_emplace(service, 0);
  if (added) it->second = shared_burst_ > 0 ? MostLocked() : kOwnStart;
  return it->second;
}

}  // namespace quetzal
