#ifndef QUETZAL_AGREEMENT_REPLICA_SET_H_
#define QUETZAL_AGREEMENT_REPLICA_SET_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "agreement.pb.h"

namespace quetzal {

/// Largest number of voters in a group.
constexpr int kMaxVoters = 7;

/// Null when `id` is not in the set.
const Replica* FindReplica(const ReplicaSet& set, std::uint64_t id);
const Replica* FindReplicaByName(const ReplicaSet& set, const std::string& name);

/// Null when `id` is neither in the set nor, while it is joint, in the group before.
const Replica* FindParticipant(const ReplicaSet& set, std::uint64_t id);

bool IsVoter(const ReplicaSet& set, std::uint64_t id);
std::size_t VoterCount(const ReplicaSet& set);

/// True while a change of the voters is not complete.
bool IsJoint(const ReplicaSet& set);

/// True for a voter of the set or, while it is joint, of the group before.
bool HasVote(const ReplicaSet& set, std::uint64_t id);

/// The replicas of the set and, while it is joint, those of the group before.
std::vector<Replica> Participants(const ReplicaSet& set);

/// Replicas whose data folders no longer exist.
using LostReplicas = std::set<std::uint64_t>;

/// Number of voters that form a quorum: more than half, or exactly half if one of the
/// others has lost its folder and so never votes again.
std::size_t QuorumSize(const std::vector<std::uint64_t>& voters,
                       const LostReplicas& lost);

/// Ids of the voters whose quorums decide: one group or, while the set is joint, two.
std::vector<std::vector<std::uint64_t>> VotingGroups(const ReplicaSet& set);

/// True when a quorum of each voting group satisfies `predicate`; false without voters.
bool QuorumSatisfies(const ReplicaSet& set, const LostReplicas& lost,
                     const std::function<bool(std::uint64_t id)>& predicate);

/// False when the address of a replica cannot be used.
bool IsWellFormed(const ReplicaSet& set);

bool SameReplicas(const ReplicaSet& a, const ReplicaSet& b);

/// The joint set on the way from `current` to `next`; `next` if the voters are the same.
ReplicaSet JointSet(const ReplicaSet& current, ReplicaSet next);

/// `set` without the replica `id`.
ReplicaSet WithoutReplica(const ReplicaSet& set, std::uint64_t id);

/// Records that the replica `id` was removed and may be added again.
void ListRemoved(ReplicaSet* set, std::uint64_t id);

/// True when `id` is among the last replicas recorded by ListRemoved().
bool WasRemoved(const ReplicaSet& set, std::uint64_t id);

/// Adds a learner, and unlists it from the removed replicas.
void AddLearner(ReplicaSet* set, const Replica& learner);

/// Largest value that a quorum of each voting group reaches or exceeds; `T()` without
/// voters. `value_of` returns the value of a replica.
template <class T>
T QuorumValue(const ReplicaSet& set, const LostReplicas& lost,
              const std::function<T(std::uint64_t id)>& value_of) {
  std::optional<T> least;
  for (const std::vector<std::uint64_t>& voters : VotingGroups(set)) {
    if (voters.empty()) return T();
    std::vector<T> values;
    for (const std::uint64_t id : voters) values.push_back(value_of(id));
    std::sort(values.begin(), values.end(), std::greater<T>());
    const T reached = values[QuorumSize(voters, lost) - 1];
    least = least ? std::min(*least, reached) : reached;
  }
  return least.value_or(T());
}

}  // namespace quetzal

#endif  // QUETZAL_AGREEMENT_REPLICA_SET_H_
