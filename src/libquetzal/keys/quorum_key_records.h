#ifndef QUETZAL_KEYS_QUORUM_KEY_RECORDS_H_
#define QUETZAL_KEYS_QUORUM_KEY_RECORDS_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

#include "base/random.h"
#include "calls/routing_snapshot.h"
#include "kernel/executor.h"
#include "keys/key_holder_service.h"
#include "keys/key_operation.h"
#include "keys/key_records.h"

namespace quetzal {

/// Implements KeyRecords by ballots among the holders that the active configuration
/// lists.
class QuorumKeyRecords final : public KeyRecords {
 public:
  /// `local` is the holder service of this instance; it votes without a message.
  QuorumKeyRecords(std::string instance, std::uint64_t incarnation,
                   const RoutingSource* routing, std::shared_ptr<KeyHolderService> local,
                   RpcClient* client, Executor* executor, const Clock* clock,
                   std::uint64_t seed);

  void Claim(const KeyClaim& claim, Duration timeout, ClaimDone done) override;
  void Resolve(const std::string& key, const std::string& attempt_id,
               AttemptOutcome outcome, const KeyAnswer& answer, Duration timeout,
               ResolveDone done) override;
  void Read(const std::string& key, Duration timeout, ClaimDone done) override;

  std::uint64_t operations() const { return next_operation_; }

 private:
  class PendingOperation;

  void Begin(const std::string& key, const std::shared_ptr<KeyChange>& change,
             Duration timeout, ClaimDone done);
  void StartOperation(const std::string& key, const std::shared_ptr<KeyChange>& change,
                      SteadyTime deadline, ClaimDone done);
  void RunAfter(Duration delay, std::function<void()> task);
  Duration JitteredDelay();

  std::string instance_;
  std::uint64_t incarnation_;
  const RoutingSource* routing_;
  std::shared_ptr<KeyHolderService> local_;
  RpcClient* client_;
  Executor* executor_;
  const Clock* clock_;
  std::atomic<std::uint64_t> next_operation_{0};
  std::mutex random_mutex_;
  Random random_;
};

}  // namespace quetzal

#endif  // QUETZAL_KEYS_QUORUM_KEY_RECORDS_H_
