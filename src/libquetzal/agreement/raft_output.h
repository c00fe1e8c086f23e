#ifndef QUETZAL_AGREEMENT_RAFT_OUTPUT_H_
#define QUETZAL_AGREEMENT_RAFT_OUTPUT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "agreement/log_storage.h"
#include "base/result_code.h"

namespace quetzal {

enum class RaftRole { kFollower, kPreCandidate, kCandidate, kLeader };

enum class CoreEventKind {
  kElectionStarted,
  kElected,
  kSteppedDown,  ///< Learned of a later term, or handed over.
  kQuorumLost,   ///< Stepped down: no majority responded within the lease.
  kReplicaAdmitted,
  kReplicaPromoted,
  kReplicaReplaced,
  kFolderLost,  ///< A replica of the group returned without its folder.
  kSnapshotInstalled,
  kGroupBootstrapped,
};

/// Name of an event in the event log.
const char* NameOf(CoreEventKind kind);

/// An event for the event log.
struct CoreEvent {
  CoreEventKind kind;
  std::uint64_t term = 0;
  std::uint64_t peer = 0;
};

/// A message and its destination.
struct Outgoing {
  std::string address;
  AgreementMessage message;
};

/// Answer to a proposal. kOk: appended at `index` in `term`, but not yet committed.
struct ProposeAnswer {
  ResultCode code = ResultCode::kOk;
  std::uint64_t term = 0;
  std::uint64_t index = 0;
};

/// Result of a read: kOk or kNoQuorum.
struct ReadOutcome {
  std::uint64_t id;
  ResultCode code;
};

/// Result of the first step of a membership change: kOk and the position of its log
/// entry, or an error and its reason in `text`.
struct MembershipStep {
  ResultCode code = ResultCode::kOk;
  std::string text;
  std::uint64_t term = 0;
  std::uint64_t index = 0;
};

/// Work that the caller must do after an event: restore the snapshot, apply the committed
/// entries, then the rest in any order. Writes must become durable in number order.
struct CoreOutput {
  std::shared_ptr<const Snapshot> restore;
  std::vector<LogEntry> committed;
  std::vector<Outgoing> messages;
  std::vector<LogWrite> writes;
  std::vector<ReadOutcome> reads;
  std::vector<MembershipStep> membership_steps;
  std::vector<CoreEvent> events;
};

}  // namespace quetzal

#endif  // QUETZAL_AGREEMENT_RAFT_OUTPUT_H_
