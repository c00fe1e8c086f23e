// Quorums after the loss of folders. A replica whose folder is lost neither votes nor
// acknowledges anything again, and only a leader can replace it. In a group of even size,
// half of the voters meets every quorum of more than half, so it holds everything that
// was committed. Two halves, however, need not meet each other. Half of the voters is a
// quorum only for a candidate that knew, when its campaign began, of a voter whose folder
// is lost, and only for the term of that campaign. Suppose that two such halves had no
// common member. Each would then contain the voter that is lost for the other, so each of
// these voters answered one campaign before it lost its folder, and lost the folder
// before the other campaign began: each campaign would have begun before the other. So
// two quorums always have a common member with its folder, and what holds for majorities
// (one leader in each term, complete logs, leases) holds for these quorums too. Sets of
// different sizes meet through the joint sets between them (raft_core_membership.cc).
#include "agreement/raft_core.h"
#include "agreement/replica_set.h"

namespace quetzal {

/// Only an instance that was asked for a replica by its id can confirm the loss: a late
/// message of an earlier folder may also come from the replica's instance.
void RaftCore::RecordLostFolder(const AgreementMessage& reply) {
  const std::uint64_t id = reply.hello_reply().lost_replica();
  const Replica* lost = FindParticipant(log_.replicas(), id);
  if (lost == nullptr || id == replica_ || reply.from() == id) return;
  if (lost->name() != reply.from_name() || lost->address() != reply.from_address())
    return;
  if (!lost_.insert(id).second) return;
  Report(CoreEventKind::kFolderLost, id);
  if (role_ == RaftRole::kPreCandidate) CountVotes();
}

/// Later losses count from the next campaign on.
void RaftCore::FixLostReplicas() {
  for (auto it = lost_.begin(); it != lost_.end();) {
    it = FindParticipant(log_.replicas(), *it) == nullptr ? lost_.erase(it) : ++it;
  }
  term_lost_ = lost_;
}

}  // namespace quetzal
