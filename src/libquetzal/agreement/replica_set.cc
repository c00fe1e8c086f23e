#include "agreement/replica_set.h"

#include "membership/endpoint_text.h"

namespace quetzal {
namespace {

/// Enough for every instance that a group can lose between two additions.
constexpr int kMaxRemoved = 32;

using ReplicaList = google::protobuf::RepeatedPtrField<Replica>;

const Replica* FindIn(const ReplicaList& list, std::uint64_t id) {
  const auto found = std::find_if(list.begin(), list.end(),
                                  [id](const Replica& it) { return it.replica() == id; });
  return found == list.end() ? nullptr : &*found;
}

bool SameReplica(const Replica& left, const Replica& right) {
  return left.replica() == right.replica() && left.voter() == right.voter() &&
         left.name() == right.name() && left.address() == right.address();
}

bool SameList(const ReplicaList& a, const ReplicaList& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), SameReplica);
}

}  // namespace

const Replica* FindReplica(const ReplicaSet& set, std::uint64_t id) {
  return FindIn(set.replicas(), id);
}

const Replica* FindParticipant(const ReplicaSet& set, std::uint64_t id) {
  const Replica* replica = FindIn(set.replicas(), id);
  return replica != nullptr ? replica : FindIn(set.previous(), id);
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

bool IsJoint(const ReplicaSet& set) { return set.previous_size() > 0; }

bool HasVote(const ReplicaSet& set, std::uint64_t id) {
  return IsVoter(set, id) || FindIn(set.previous(), id) != nullptr;
}

std::vector<Replica> Participants(const ReplicaSet& set) {
  std::vector<Replica> all(set.replicas().begin(), set.replicas().end());
  for (const Replica& it : set.previous()) {
    if (FindIn(set.replicas(), it.replica()) == nullptr) all.push_back(it);
  }
  return all;
}

std::size_t QuorumSize(const std::vector<std::uint64_t>& voters,
                       const LostReplicas& lost) {
  const std::size_t half = voters.size() / 2;
  const bool even = voters.size() % 2 == 0;
  const bool any_lost =
      std::any_of(voters.begin(), voters.end(),
                  [&lost](std::uint64_t id) { return lost.count(id) > 0; });
  return even && any_lost ? half : half + 1;
}

std::vector<std::vector<std::uint64_t>> VotingGroups(const ReplicaSet& set) {
  std::vector<std::vector<std::uint64_t>> groups(IsJoint(set) ? 2 : 1);
  for (const Replica& it : set.replicas()) {
    if (it.voter()) groups.front().push_back(it.replica());
  }
  for (const Replica& it : set.previous()) groups.back().push_back(it.replica());
  return groups;
}

bool QuorumSatisfies(const ReplicaSet& set, const LostReplicas& lost,
                     const std::function<bool(std::uint64_t id)>& predicate) {
  return QuorumValue<bool>(set, lost, predicate);
}

bool IsWellFormed(const ReplicaSet& set) {
  const std::vector<Replica> all = Participants(set);
  return std::all_of(all.begin(), all.end(), [](const Replica& it) {
    return TryEndpoint(it.address()).has_value();
  });
}

bool SameReplicas(const ReplicaSet& a, const ReplicaSet& b) {
  return SameList(a.replicas(), b.replicas()) && SameList(a.previous(), b.previous());
}

ReplicaSet JointSet(const ReplicaSet& current, ReplicaSet next) {
  next.clear_previous();
  bool changed = false;
  for (const Replica& it : next.replicas()) {
    changed = changed || it.voter() != IsVoter(current, it.replica());
  }
  for (const Replica& it : current.replicas()) {
    changed = changed || it.voter() != IsVoter(next, it.replica());
  }
  if (!changed) return next;
  for (const Replica& it : current.replicas()) {
    if (it.voter()) *next.add_previous() = it;
  }
  return next;
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
