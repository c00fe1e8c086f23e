#include <utility>

#include "agreement/raft_core.h"
#include "agreement/replica_set.h"

namespace quetzal {
namespace {

/// Heartbeat periods within which a new instance must respond.
constexpr int kAddTimeoutHeartbeats = 40;

Replica LearnerOf(const AgreementMessage& hello) {
  Replica replica;
  replica.set_name(hello.from_name());
  replica.set_address(hello.from_address());
  replica.set_replica(hello.from());
  replica.set_voter(false);
  return replica;
}

}  // namespace

/// A change must neither overlap another one nor precede the first committed entry of
/// this leader's term. Otherwise two quorums without a common member could form.
bool RaftCore::MembershipChangeBlocked() const {
  return log_.replicas_index() > commit_ || IsJoint(log_.replicas()) || !TermCommitted();
}

/// A group with an unresponsive quorum could not commit its own membership entry.
bool RaftCore::QuorumResponds(const ReplicaSet& set) const {
  return QuorumSatisfies(set, term_lost_,
                         [this](std::uint64_t id) { return Responds(id); });
}

bool RaftCore::Responds(std::uint64_t replica) const {
  auto peer = progress_.find(replica);
  if (peer == progress_.end()) return replica == replica_;
  return clock_->Now() < peer->second.acked_sent_at + options_.lease;
}

void RaftCore::EndMembershipStep(ResultCode code, const std::string& text) {
  pending_add_.reset();
  output_.membership_steps.push_back({code, text, term(), log_.last_index()});
}

/// Appends the group `set`, in two steps if its voters differ: the entry of the joint
/// set, then, once it is committed, the entry of the set alone. Returns false without an
/// effect when the joint set lacks a quorum that responds.
bool RaftCore::ProposeReplicas(const ReplicaSet& set) {
  const ReplicaSet joint = JointSet(log_.replicas(), set);
  if (IsJoint(joint) && !QuorumResponds(joint)) return false;
  AppendAsLeader(LOG_ENTRY_MEMBERSHIP, joint.SerializeAsString());
  RebuildProgress();
  return true;
}

/// Ends a change of the voters whose joint set is committed.
void RaftCore::CompleteChange() {
  const bool committed = log_.replicas_index() <= commit_ && TermCommitted();
  if (role_ != RaftRole::kLeader || !IsJoint(log_.replicas()) || !committed) return;
  ReplicaSet set = log_.replicas();
  set.clear_previous();
  AppendAsLeader(LOG_ENTRY_MEMBERSHIP, set.SerializeAsString());
  RebuildProgress();
}

void RaftCore::RebuildProgress() {
  std::map<std::uint64_t, Progress> kept;
  for (const Replica& it : Participants(log_.replicas())) {
    if (it.replica() == replica_) continue;
    auto known = progress_.find(it.replica());
    if (known != progress_.end()) {
      kept[it.replica()] = known->second;
    } else {
      kept[it.replica()].next = log_.last_index() + 1;
    }
  }
  progress_ = std::move(kept);
}

void RaftCore::ProposeMembership(MembershipChangeKind kind, const AgreementPeer& peer) {
  if (role_ == RaftRole::kLeader) StepDownWithoutQuorum();
  const auto refuse = [this](ResultCode code, const std::string& text) {
    output_.membership_steps.push_back({code, text});
  };
  if (storage_state_ != ResultCode::kOk) return refuse(storage_state_, "disk error");
  if (role_ != RaftRole::kLeader) return refuse(ResultCode::kNotLeader, "");
  if (MembershipChangeBlocked() || pending_add_) {
    return refuse(ResultCode::kOverloaded, "another change is under way");
  }
  const Replica* known = FindReplicaByName(log_.replicas(), peer.name);
  if (kind == MembershipChangeKind::kAdd) {
    if (known != nullptr) {
      return refuse(ResultCode::kPlanRefused, peer.name + " is in the group");
    }
    if (log_.replicas().replicas_size() >= kMaxVoters) {
      return refuse(ResultCode::kPlanRefused, "the group is full");
    }
    pending_add_ = PendingAdd{peer, clock_->Now(), SteadyTime()};
    return SendHelloToNewInstance();
  }
  if (known == nullptr) {
    return refuse(ResultCode::kPlanRefused, peer.name + " is not in the group");
  }
  if (known->voter() && VoterCount(log_.replicas()) == 1) {
    return refuse(ResultCode::kPlanRefused, peer.name + " is the last instance");
  }
  ReplicaSet rest = WithoutReplica(log_.replicas(), known->replica());
  if (kind == MembershipChangeKind::kRemoveLost) ListRemoved(&rest, known->replica());
  if (!ProposeReplicas(rest)) {
    return refuse(ResultCode::kPlanRefused, "most of the others do not answer");
  }
  EndMembershipStep(ResultCode::kOk, "");
}

void RaftCore::SendHelloToNewInstance() {
  if (!pending_add_) return;
  if (clock_->Now() >=
      pending_add_->started + kAddTimeoutHeartbeats * options_.heartbeat_period) {
    return EndMembershipStep(ResultCode::kConnectFailed, "the instance does not answer");
  }
  if (clock_->Now() < pending_add_->hello_sent_at + options_.heartbeat_period) return;
  pending_add_->hello_sent_at = clock_->Now();
  AgreementMessage message = MakeMessage(0);
  message.mutable_hello();
  Send(std::move(message), pending_add_->peer.endpoint.ToString());
}

/// A replica that was removed from this group may return with its folder: its votes and
/// entries are those of this group, and conflicting entries are overwritten while it is a
/// learner. Any other folder with entries may belong to another group.
void RaftCore::FinishAdd(const AgreementMessage& hello) {
  if (!pending_add_ || hello.from_name() != pending_add_->peer.name) return;
  if (!hello.hello_reply().fresh() && !WasRemoved(log_.replicas(), hello.from())) {
    return EndMembershipStep(ResultCode::kConnectFailed, "its data folder is not empty");
  }
  if (MembershipChangeBlocked()) return;
  ReplicaSet set = log_.replicas();
  AddLearner(&set, LearnerOf(hello));
  if (!IsWellFormed(set)) {
    return EndMembershipStep(ResultCode::kConnectFailed, "its address is malformed");
  }
  ProposeReplicas(set);
  EndMembershipStep(ResultCode::kOk, "");
  Report(CoreEventKind::kReplicaAdmitted, hello.from());
}

/// Replaces a member that returned with a new data folder. A learner whose admission was
/// rolled back with its leader's term has entries but never had a vote, so it is admitted
/// like an instance with an empty folder.
void RaftCore::ReplaceLostFolder(const AgreementMessage& hello) {
  const bool admissible = hello.hello_reply().fresh() || hello.hello_reply().no_voter();
  if (!options_.replace_lost_folders || !admissible) return;
  const Replica* lost = FindReplicaByName(log_.replicas(), hello.from_name());
  if (lost == nullptr || lost->replica() == hello.from()) return;
  if (lost->address() != hello.from_address() || lost->replica() == replica_) return;
  if (MembershipChangeBlocked() || pending_add_ || !LeaseValid()) return;
  ReplicaSet set = WithoutReplica(log_.replicas(), lost->replica());
  AddLearner(&set, LearnerOf(hello));
  if (!ProposeReplicas(set)) return;
  Report(CoreEventKind::kReplicaReplaced, hello.from());
}

void RaftCore::PromoteLearner() {
  if (MembershipChangeBlocked()) return;
  ReplicaSet set = log_.replicas();
  for (Replica& it : *set.mutable_replicas()) {
    auto peer = progress_.find(it.replica());
    if (it.voter() || peer == progress_.end()) continue;
    if (peer->second.match < commit_ || VoterCount(set) >= kMaxVoters) continue;
    it.set_voter(true);
    if (ProposeReplicas(set)) Report(CoreEventKind::kReplicaPromoted, it.replica());
    return;
  }
}

}  // namespace quetzal
