#include "calls/retry_budgets.h"

namespace quetzal {
namespace {

/// The budget counts in hundredths of a retry.
constexpr std::uint64_t kTokensPerRetry = 100;

/// Maximum and initial budget of a node with a burst of its own.
constexpr std::uint64_t kUnsharedMaxTokens = 100 * kTokensPerRetry;
constexpr std::uint64_t kUnsharedInitialTokens = 10 * kTokensPerRetry;

/// Parts of the shared burst and share that nodes may use. The other half is left for
/// indirect retries: a retried request repeats its own calls to other services, where
/// they count as retries too. Even when such requests make all calls of a service,
/// indirect retries add at most the same share again.
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
      MaxTokensLocked(),
      tokens +
          (shared_burst_ > 0 ? kSharePartPercent * percent_ / kTokensPerRetry : percent));
}

bool RetryBudgets::Spend(const std::string& service) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::uint64_t& tokens = TokensLocked(service);
  if (tokens < kTokensPerRetry) return false;
  tokens -= kTokensPerRetry;
  return true;
}

std::uint64_t RetryBudgets::MaxTokensLocked() const {
  if (shared_burst_ == 0) return kUnsharedMaxTokens;
  return std::max(kTokensPerRetry, kBurstPartPercent * shared_burst_ / nodes_);
}

std::uint64_t& RetryBudgets::TokensLocked(const std::string& service) {
  const auto [it, added] = tokens_.try_emplace(service, 0);
  if (added) it->second = shared_burst_ > 0 ? MaxTokensLocked() : kUnsharedInitialTokens;
  return it->second;
}

}  // namespace quetzal
