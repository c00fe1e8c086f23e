#ifndef QUETZAL_AGREEMENT_AGREEMENT_H_
#define QUETZAL_AGREEMENT_AGREEMENT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/result_code.h"
#include "base/settings.h"

namespace quetzal {

/// Position of an entry in the replicated log.
struct LogPosition {
  std::uint64_t term = 0;
  std::uint64_t index = 0;
};

/// State machine to which every control instance applies the committed entries of the log
/// in order. Must be deterministic: the same entries give the same state and results.
class StateMachine {
 public:
  virtual ~StateMachine() = default;

  /// Applies one committed entry. The proposer receives the result.
  virtual std::string Apply(const LogPosition& position, const std::string& entry) = 0;
  virtual std::string TakeSnapshot() const = 0;
  virtual void RestoreSnapshot(const LogPosition& position,
                               const std::string& snapshot) = 0;
};

/// Leadership of the group as known to this control instance.
struct LeadershipView {
  bool leading = false;  ///< This instance leads and holds a valid lease.
  std::uint64_t term = 0;
  std::string leader;        ///< Name of the leader; empty when unknown.
  Duration since_quorum{0};  ///< Time since the last contact with a majority.
};

/// A member of the group of control instances.
struct GroupMember {
  std::string name;
  Endpoint endpoint;     ///< Address at which it accepts streams.
  bool votes = false;    ///< False for a learner, which still receives the log.
  bool answers = false;  ///< Answered within the lease; set on the leader only.
};

enum class MembershipChangeKind {
  kAdd,         ///< Adds an instance as a learner, which later becomes a voter.
  kRemove,      ///< Removes an instance for good.
  kRemoveLost,  ///< Removes an instance that may be added again with its data folder.
};

/// A membership change of a single instance.
struct MembershipChange {
  MembershipChangeKind kind = MembershipChangeKind::kAdd;
  std::string name;
  Endpoint endpoint;       ///< kAdd only.
  std::uint64_t term = 0;  ///< Refused when the leader is in another term; 0: any term.
};

/// Replicated log among the control instances.
class Agreement {
 public:
  /// kOk: committed and applied; `result` comes from the state machine. kNotLeader:
  /// refused and never committed. kLeadershipLost, kNoQuorum: the outcome is unknown.
  using ProposeDone =
      std::function<void(ResultCode code, LogPosition position, std::string result)>;
  using ReadDone = std::function<void(ResultCode code)>;

  virtual ~Agreement() = default;

  virtual void Propose(std::string entry, ProposeDone done) = 0;

  /// Calls `done` with kOk once the local state machine has applied everything that was
  /// committed before the call. The leader's lease or a round trip to a majority
  /// guarantees this.
  virtual void ReadBarrier(ReadDone done) = 0;

  virtual LeadershipView leadership() const = 0;
  virtual LogPosition committed() const = 0;

  /// The group according to the last membership entry of the local log.
  virtual std::vector<GroupMember> group() const = 0;

  /// Changes the group; works on the leader only. kOk: the first step of the change is
  /// committed (kAdd: the instance is a learner and becomes a voter automatically once it
  /// has caught up with the log). kPlanRefused: the change is invalid; the result gives
  /// the reason. kOverloaded: another change is in progress. kConnectFailed: the new
  /// instance does not respond, or its data folder is neither empty nor that of an
  /// instance removed by kRemoveLost.
  virtual void ProposeMembership(const MembershipChange& change,
                                 const ProposeDone& done) = 0;
};

}  // namespace quetzal

#endif  // QUETZAL_AGREEMENT_AGREEMENT_H_
