#ifndef QUETZAL_AGREEMENT_REPLICA_SET_H_
#define QUETZAL_AGREEMENT_REPLICA_SET_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "agreement.pb.h"

namespace quetzal {

/// Largest number of voters in a group.
constexpr int kMaxVoters = 7;

/// Null when `id` is not in the set.
const Replica* FindReplica(const ReplicaSet& set, std::uint64_t id);
const Replica* FindReplicaByName(const ReplicaSet& set, const std::string& name);

bool IsVoter(const ReplicaSet& set, std::uint64_t id);
std::size_t VoterCount(const ReplicaSet& set);

/// True when more than half of the voters satisfy `predicate`; false without voters.
bool MajoritySatisfies(const ReplicaSet& set,
                       const std::function<bool(std::uint64_t id)>& predicate);

/// False when the address of a replica cannot be used.
bool IsWellFormed(const ReplicaSet& set);

bool SameReplicas(const ReplicaSet& a, const ReplicaSet& b);

/// `set` without the replica `id`.
ReplicaSet WithoutReplica(const ReplicaSet& set, std::uint64_t id);

/// Records that the replica `id` was removed and may be added again.
void ListRemoved(ReplicaSet* set, std::uint64_t id);

/// True when `id` is among the last replicas recorded by ListRemoved().
bool WasRemoved(const ReplicaSet& set, std::uint64_t id);

/// Adds a learner, and unlists it from the removed replicas.
void AddLearner(ReplicaSet* set, const Replica& learner);

/// Largest value that more than half of `values` reach or exceed; `T()` for none.
template <class T>
T MajorityValue(std::vector<T> values) {
  if (values.empty()) return T();
  std::sort(values.begin(), values.end(), std::greater<T>());
  return values[values.size() / 2];
}

}  // namespace quetzal

#endif  // QUETZAL_AGREEMENT_REPLICA_SET_H_
