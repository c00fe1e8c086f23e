// The first election after a restart of the whole group. A restarted replica grants no
// vote for an election timeout, because a leader's lease may rely on it. That leader
// cannot hold a lease if it has restarted too: when every replica confirms, by granting
// its vote, that its process has neither led nor heard from a leader, no process holds a
// lease, and the group need not wait. Learners are asked as well, since one may lead as
// the voter that a later entry made it. One replica that has not restarted or does not
// answer prevents such an election, and so does a removal in the log, because a removed
// leader leads until its removal is committed. The normal election follows after the
// timeout.
#include <algorithm>

#include "agreement/raft_core.h"
#include "agreement/replica_set.h"

namespace quetzal {
namespace {

/// Longer than an election takes, so that the voters do not campaign against each other.
constexpr Duration kCampaignStagger = std::chrono::milliseconds(50);

}  // namespace

bool RaftCore::EveryReplicaGranted() const {
  const auto& replicas = log_.replicas().replicas();
  return std::all_of(replicas.begin(), replicas.end(), [this](const Replica& it) {
    return votes_.count(it.replica()) > 0;
  });
}

int RaftCore::RankInGroup() const {
  const auto& replicas = log_.replicas().replicas();
  return static_cast<int>(std::count_if(
      replicas.begin(), replicas.end(),
      [this](const Replica& it) { return it.voter() && it.replica() < replica_; }));
}

void RaftCore::TickRestart() {
  if (had_leader_ || !HeardFromLeaderRecently() || !log_.KeptAllReplicas()) return;
  const SteadyTime now = clock_->Now();
  if (restart_campaign_at_) {
    if (now < *restart_campaign_at_) return;
    restart_campaign_at_.reset();
    // One attempt: a failed one shows that a replica does not answer.
    restart_pre_vote_at_ = SteadyTime::max();
    return Campaign(false, ElectionKind::kGroupRestarted);
  }
  if (now < restart_pre_vote_at_ || role_ == RaftRole::kCandidate) return;
  restart_pre_vote_at_ = now + options_.heartbeat_period;
  Campaign(true, ElectionKind::kGroupRestarted);
}

void RaftCore::OnRestartVotes() {
  if (had_leader_ || !EveryReplicaGranted()) return;
  if (role_ == RaftRole::kCandidate) return BecomeLeader(LOG_ENTRY_EMPTY, "");
  if (role_ != RaftRole::kPreCandidate || restart_campaign_at_) return;
  restart_campaign_at_ = clock_->Now() + RankInGroup() * kCampaignStagger;
}

}  // namespace quetzal
