#ifndef QUETZAL_AGREEMENT_RAFT_CORE_H_
#define QUETZAL_AGREEMENT_RAFT_CORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "agreement/agreement.h"
#include "agreement/agreement_options.h"
#include "agreement/raft_log.h"
#include "agreement/raft_output.h"
#include "agreement/replica_set.h"
#include "base/clock.h"
#include "base/random.h"
#include "base/result_code.h"

namespace quetzal {

/// Raft state machine of one replica, with pre-vote, a leader lease and learners. The
/// methods pass in events; TakeOutput() returns the resulting work. Performs no I/O,
/// starts no threads and reads the time only from the clock.
class RaftCore {
 public:
  RaftCore(AgreementPeer self, std::vector<AgreementPeer> peers, StoredLog stored,
           const Clock* clock, Random* random, AgreementOptions options);

  /// Runs time-driven work. Call at least once per heartbeat period.
  void Tick();

  /// Handles a message from any sender. An invalid message is dropped and counted.
  void Receive(const AgreementMessage& message);

  /// Reports that all writes up to `number` are durable.
  void OnSynced(std::uint64_t number);

  /// Reports a failed write. Until OnSynced() the replica does not campaign,
  /// vote or acknowledge.
  void OnStorageFailed(ResultCode code);

  /// Appends a command to the log. A refused command is never committed: kNotLeader,
  /// kDiskFull, kDiskFailed or kIntentTooLarge.
  ProposeAnswer Propose(std::string payload);

  /// Starts a membership change. The output reports its result as a MembershipStep.
  void ProposeMembership(MembershipChangeKind kind, const AgreementPeer& peer);

  /// Starts a linearizable read. The output reports its result as a ReadOutcome once the
  /// applied index has reached the commit index of the leader.
  void BeginRead(std::uint64_t id);

  /// Stores `data` as the snapshot at the applied index and drops the entries up to it.
  void Compact(std::string data);

  /// Transfers leadership to the voter with the longest log. No effect on a follower.
  void Handover();

  CoreOutput TakeOutput();

  RaftRole role() const { return role_; }
  std::uint64_t term() const { return hard_state_.term(); }
  std::uint64_t replica() const { return replica_; }
  std::uint64_t leader() const { return leader_; }
  std::uint64_t commit_index() const { return commit_; }
  const RaftLog& log() const { return log_; }

  /// On the leader: true for this replica and for those that responded within the lease.
  bool Responds(std::uint64_t replica) const;

  /// True when the data folder has never held a log entry.
  bool fresh() const;

  /// End of the lease that a majority has acknowledged; the epoch when not leading.
  SteadyTime lease_until() const;

  /// Time of the last contact with a majority (leader) or with the leader (follower).
  SteadyTime last_quorum_contact() const;
  std::uint64_t refused_messages() const { return refused_; }

 private:
  /// Replication progress of another replica, kept by the leader.
  struct Progress {
    std::uint64_t match = 0;
    std::uint64_t next = 1;
    bool probing = true;
    bool waiting = false;        ///< A probe has not been answered yet.
    SteadyTime acked_sent_at{};  ///< Send time of the newest acknowledged message.
    SteadyTime sent_at{};
    std::uint64_t sent_commit = 0;
    std::uint64_t snapshot_offset = 0;
    std::uint64_t snapshot_index = 0;  ///< 0: no snapshot is being sent.
    SteadyTime chunk_sent_at{};
  };

  /// A message that must not be sent before the write `number` is durable.
  struct DeferredMessage {
    std::uint64_t number;
    std::uint64_t term;
    Outgoing outgoing;
  };

  struct PendingRead {
    std::uint64_t id;
    SteadyTime started;
    std::optional<std::uint64_t> index;
  };

  struct SnapshotAssembly {
    SnapshotInfo info;
    std::string data;
  };

  struct PendingAdd {
    AgreementPeer peer;
    SteadyTime started;
    SteadyTime hello_sent_at;
  };

  // The first election after a restart of the whole group (raft_core_restart.cc).
  bool EveryReplicaGranted() const;
  int RankInGroup() const;
  void TickRestart();
  void OnRestartVotes();

  // Quorums of a group that lost folders (raft_core_lost_folders.cc).
  void RecordLostFolder(const AgreementMessage& reply);
  void FixLostReplicas();

  // Elections (raft_core.cc).
  void BecomeFollower(std::uint64_t term, std::uint64_t leader, ResultCode reason);
  enum class ElectionKind { kNormal, kHandover, kGroupRestarted };
  void Campaign(bool pre_vote, ElectionKind kind);
  void BecomeLeader(LogEntryKind first_kind, std::string first_payload);
  void ResetElectionDeadline();
  bool MayCampaign() const;
  bool HeardFromLeaderRecently() const;
  bool IsUpToDate(const VoteRequest& request) const;
  void OnVote(const AgreementMessage& message);
  void OnVoteReply(const AgreementMessage& message);
  void CountVotes();
  void TryBootstrap();
  void CampaignToBootstrap();
  void BootstrapGroup();
  void OnHello(const AgreementMessage& message);
  void OnHelloReply(const AgreementMessage& message);
  void Dispatch(const AgreementMessage& message);
  bool CheckTerm(const AgreementMessage& message);

  // Follower (raft_core_follower.cc).
  void RecordLeaderContact(const AgreementMessage& message);
  void OnAppend(const AgreementMessage& message);
  bool IsValidAppend(const AgreementMessage& message) const;
  bool MayAckContactBeforeSync() const;
  void SendContactAck(const AgreementMessage& message);
  std::uint64_t MergeEntries(const AppendRequest& request);
  void OnSnapshot(const AgreementMessage& message);
  void InstallSnapshot(SnapshotAssembly assembly);
  void AdvanceCommit(std::uint64_t index);
  void OnReadReply(const AgreementMessage& message);

  // Leader (raft_core_leader.cc).
  void LeaderTick();
  std::uint64_t AppendAsLeader(LogEntryKind kind, std::string payload);
  void SendAppends();
  void SendAppend(const Replica& peer, Progress* progress, bool heartbeat);
  void SendSnapshot(const Replica& peer, Progress* progress, bool heartbeat);
  void SendChunk(const Replica& peer, Progress* progress);
  Progress* ProgressOf(const AgreementMessage& message);
  void OnAppendReply(const AgreementMessage& message);
  void OnSnapshotReply(const AgreementMessage& message);
  bool RecordAck(Progress* progress, std::int64_t sent_at_ns);
  void CommitByQuorum();
  SteadyTime QuorumAckTime() const;
  bool LeaseValid() const;
  bool TermCommitted() const;
  void StepDownWithoutQuorum();
  void RebuildProgress();
  bool MembershipChangeBlocked() const;
  bool QuorumResponds(const ReplicaSet& set) const;
  bool ProposeReplicas(const ReplicaSet& set);
  void CompleteChange();
  void PromoteLearner();
  void FinishAdd(const AgreementMessage& hello);
  void ReplaceLostFolder(const AgreementMessage& hello);
  void SendHelloToNewInstance();
  void EndMembershipStep(ResultCode code, const std::string& text);
  void OnRead(const AgreementMessage& message);
  void ResolveReads();
  bool ResolveRead(PendingRead* read);

  // Output (raft_core.cc).
  AgreementMessage MakeMessage(std::uint64_t to) const;
  void Send(AgreementMessage message, const std::string& address);
  void SendAfterSync(AgreementMessage message, const std::string& address);
  LogWrite& NewWrite();
  void Report(CoreEventKind kind, std::uint64_t peer = 0);

  const AgreementPeer self_;
  const std::vector<AgreementPeer> peers_;
  const Clock* clock_;
  Random* random_;
  const AgreementOptions options_;
  const std::uint64_t replica_;

  HardState hard_state_;
  RaftLog log_;
  RaftRole role_ = RaftRole::kFollower;
  std::uint64_t leader_ = 0;
  std::string leader_address_;
  std::uint64_t commit_ = 0;
  std::uint64_t applied_ = 0;
  SteadyTime last_leader_contact_{};
  SteadyTime election_deadline_{};

  std::set<std::uint64_t> votes_;
  LostReplicas lost_;       ///< Participants known to have lost their folders.
  LostReplicas term_lost_;  ///< Those known when the campaign for this term began.
  std::uint64_t own_vote_write_ = 0;
  ElectionKind election_kind_ = ElectionKind::kNormal;
  bool had_leader_ = false;           ///< This process has heard from a leader or led.
  SteadyTime restart_pre_vote_at_{};  ///< Next question to the other voters.
  std::optional<SteadyTime> restart_campaign_at_;  ///< Every replica would grant a vote.

  std::map<std::uint64_t, Progress> progress_;
  bool has_unsent_updates_ = false;  ///< Entries or a commit index must be sent.
  std::uint64_t term_start_ = 0;     ///< Index of the first entry of this leader's term.
  SteadyTime leader_since_{};
  std::optional<PendingAdd> pending_add_;
  std::optional<SnapshotAssembly> assembly_;
  std::vector<PendingRead> reads_;

  std::map<std::string, std::uint64_t> bootstrap_replicas_;
  std::uint64_t bootstrap_term_ = 0;
  SteadyTime bootstrap_hello_sent_at_{};

  std::uint64_t write_number_ = 0;
  std::uint64_t synced_number_ = 0;
  std::uint64_t written_term_ = 0;
  std::uint64_t term_write_ = 0;  ///< Number of the write that stores the term.
  std::uint64_t synced_index_ = 0;
  std::map<std::uint64_t, std::uint64_t> unsynced_;  ///< Last log index by write number.
  std::vector<DeferredMessage> deferred_;
  ResultCode storage_state_ = ResultCode::kOk;
  std::uint64_t refused_ = 0;
  CoreOutput output_;
};

}  // namespace quetzal

#endif  // QUETZAL_AGREEMENT_RAFT_CORE_H_
