#ifndef QUETZAL_CALLS_RETRY_BUDGETS_H_
#define QUETZAL_CALLS_RETRY_BUDGETS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace quetzal {

/// Limits attempts after the first, for each service, to a share of its requests and a
/// burst. Safe for use from several threads.
class RetryBudgets {
 public:
  /// `shared_burst`: retries of all nodes together beyond the share; 0: each node has a
  /// burst of its own, and the share is the one that Earn is given.
  RetryBudgets(std::uint32_t percent, std::uint32_t shared_burst);

  /// Number of nodes that share the burst.
  void SetNodes(std::size_t nodes);

  /// A request for `service` was accepted. `percent` of a retry is earned unless the
  /// budget is shared.
  void Earn(const std::string& service, std::uint32_t percent);

  /// True when a retry may be made; it is then spent.
  bool Spend(const std::string& service);

 private:
  std::uint64_t MostLocked() const;
  std::uint64_t& TokensLocked(const std::string& service);

  const std::uint32_t percent_;
  const std::uint32_t shared_burst_;
  std::mutex mutex_;
  std::size_t nodes_ = 1;
  std::map<std::string, std::uint64_t> hundredths_;  ///< Of a retry, by service.
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_RETRY_BUDGETS_H_
