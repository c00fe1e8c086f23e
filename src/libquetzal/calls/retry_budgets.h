#ifndef QUETZAL_CALLS_RETRY_BUDGETS_H_
#define QUETZAL_CALLS_RETRY_BUDGETS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace quetzal {

/// Limits the retries of each service to a share of its requests plus a burst. Safe for
/// use from several threads.
class RetryBudgets {
 public:
  /// `shared_burst`: burst of all nodes together, divided equally among them, with
  /// `percent` as the share; 0: each node has a burst of its own and uses the share that
  /// is passed to Earn.
  RetryBudgets(std::uint32_t percent, std::uint32_t shared_burst);

  /// Number of nodes that share the burst.
  void SetNodes(std::size_t nodes);

  /// Adds to the budget when a request for `service` is accepted. `percent` is the share
  /// of a retry that it adds; ignored when the burst is shared.
  void Earn(const std::string& service, std::uint32_t percent);

  /// Takes one retry from the budget; false when there is none.
  bool Spend(const std::string& service);

 private:
  std::uint64_t MaxTokensLocked() const;
  std::uint64_t& TokensLocked(const std::string& service);

  const std::uint32_t percent_;
  const std::uint32_t shared_burst_;
  std::mutex mutex_;
  std::size_t nodes_ = 1;
  /// By service, in hundredths of a retry.
  std::map<std::string, std::uint64_t> tokens_;
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_RETRY_BUDGETS_H_
