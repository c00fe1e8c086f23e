#include "agreement/replica_set.h"

#include "membership/endpoint_text.h"

namespace quetzal {
namespace {

/// Enough for every instance that a group can lose between two additions.
constexpr int kMaxRemoved = 32;

}  // namespace

const Replica* FindReplica(const ReplicaSet& set, std::uint64_t id) {
  for (const Replica& it : set.replicas()) {
    if (it.replica() == id) return &it;
  }
  return nullptr;
}

const Replica* FindReplicaByName(const ReplicaSet& set, const std::string& name) {
  for (const Replica& it : set.replicas()) {
    if (it.name() == name) return &it;
  }
  return nullptr;
}

bool IsVoter(const ReplicaSet& set, std::uint64_t id) {
  const Replica* replica = FindReplica(set, id);
  return replica != nullptr && replica->voter();
}

std::size_t VoterCount(const ReplicaSet& set) {
  return std::count_if(set.replicas().begin(), set.replicas().end(),
                       [](const Replica& it) { return it.voter(); });
}

bool MajoritySatisfies(const ReplicaSet& set,
                       const std::function<bool(std::uint64_t id)>& predicate) {
  std::size_t n = 0;
  for (const Replica& it : set.replicas()) {
    if (it.voter() && predicate(it.replica())) ++n;
  }
  return n > VoterCount(set) / 2;
}

bool IsWellFormed(const ReplicaSet& set) {
  return std::all_of(set.replicas().begin(), set.replicas().end(), [](const Replica& it) {
    return TryEndpoint(it.address()).has_value();
  });
}

bool SameReplicas(const ReplicaSet& a, const ReplicaSet& b) {
  return std::equal(a.replicas().begin(), a.replicas().end(), b.replicas().begin(),
                    b.replicas().end(), [](const Replica& left, const Replica& right) {
                      return left.replica() == right.replica() &&
                             left.voter() == right.voter() &&
                             left.name() == right.name() &&
                             left.address() == right.address();
                    });
}

ReplicaSet WithoutReplica(const ReplicaSet& set, std::uint64_t id) {
  ReplicaSet rest;
  for (const Replica& it : set.replicas()) {
    if (it.replica() != id) *rest.add_replicas() = it;
  }
  *rest.mutable_removed() = set.removed();
  return rest;
}

void ListRemoved(ReplicaSet* set, std::uint64_t id) {
  auto* removed = set->mutable_removed();
  if (removed->size() >= kMaxRemoved) removed->erase(removed->begin());
  removed->Add(id);
}

bool WasRemoved(const ReplicaSet& set, std::uint64_t id) {
  return std::find(set.removed().begin(), set.removed().end(), id) != set.removed().end();
}

void AddLearner(ReplicaSet* set, const Replica& learner) {
  *set->add_replicas() = learner;
  auto* removed = set->mutable_removed();
  removed->erase(std::remove(removed->begin(), removed->end(), learner.replica()),
                 removed->end());
}

}  // namespace quetzal
