#ifndef QUETZAL_AGREEMENT_AGREEMENT_SERVICE_H_
#define QUETZAL_AGREEMENT_AGREEMENT_SERVICE_H_

#include <memory>
#include <string>
#include <vector>

#include "agreement/agreement.h"
#include "agreement/agreement_options.h"
#include "agreement/log_storage.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "base/random.h"
#include "kernel/executor.h"
#include "net/rpc.h"

namespace quetzal {

/// Counters of one control instance.
struct AgreementCounters {
  std::uint64_t elections_started = 0;
  std::uint64_t elections_won = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t messages_refused = 0;
  std::uint64_t syncs = 0;
  std::uint64_t writes_synced = 0;
  std::uint64_t disk_failures = 0;
  std::uint64_t snapshots_taken = 0;
  std::uint64_t snapshots_installed = 0;
};

/// Runs the consensus protocol among the control instances over RPC (method
/// "/agreement/message") and keeps its log on disk. All methods are thread-safe;
/// callbacks and the state machine run on `executor`.
class AgreementService final : public Agreement {
 public:
  /// `peers` are the other instances for bootstrapping a group; they are ignored once the
  /// log contains the group. `self` holds the address at which the others reach this
  /// instance. All pointers must outlive the service. `random` is used on `executor`
  /// only.
  AgreementService(AgreementPeer self, std::vector<AgreementPeer> peers,
                   StateMachine* state_machine, LogStorage* storage,
                   RpcClient* rpc_client, RpcServer* rpc_server, Executor* executor,
                   const Clock* clock, Random* random, EventLog* event_log,
                   AgreementOptions options);
  ~AgreementService() override;

  /// Loads the log, restores the state machine from its snapshot and starts serving. Call
  /// once, before any other method. Throws the errors of LogStorage::Load.
  void Start();

  /// Hands over leadership if this instance leads, waits up to `handover_timeout` for the
  /// successor, and stops. Pending proposals end with kLeadershipLost. Must not be called
  /// on the executor.
  void Stop();

  /// kNotLeader, kOverloaded, kDiskFull: refused and never committed. kLeadershipLost,
  /// kNoQuorum: the outcome is unknown.
  void Propose(std::string entry, ProposeDone done) override;
  void ReadBarrier(ReadDone done) override;
  LeadershipView leadership() const override;
  LogPosition committed() const override;
  std::vector<GroupMember> group() const override;

  void ProposeMembership(const MembershipChange& change,
                         const ProposeDone& done) override;

  /// The group according to the last membership entry of the local log.
  ReplicaSet replicas() const;
  AgreementCounters counters() const;

  /// Error of the last failed write until a retry succeeds; kOk otherwise.
  ResultCode disk_state() const;

 private:
  class Runner;

  std::shared_ptr<Runner> runner_;
};

}  // namespace quetzal

#endif  // QUETZAL_AGREEMENT_AGREEMENT_SERVICE_H_
