#ifndef QUETZAL_TESTS_KEYS_KEY_CLUSTER_H_
#define QUETZAL_TESTS_KEYS_KEY_CLUSTER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "keys/key_acceptor.h"
#include "keys/key_operation.h"

namespace quetzal {

/// Simulates the holders of the key groups of one data centre and operations on them. The
/// test controls every message: it can be delivered in any order, lost, duplicated or
/// delayed. The clock moves only when the test advances it.
class KeyCluster {
 public:
  explicit KeyCluster(std::uint64_t seed);

  /// Starts an instance, or restarts it without its records.
  void StartInstance(const std::string& name);
  void StopInstance(const std::string& name) { acceptors_.erase(name); }
  bool running(const std::string& name) const { return acceptors_.count(name) != 0; }
  std::uint64_t incarnation(const std::string& name) const;

  /// Adds `group`, or replaces the group with the same number. Instances learn of it by
  /// LearnGroup.
  void SetGroup(const KeyGroup& group);
  const KeyGroup& group() const { return configuration_.key_groups(0); }
  const Configuration& configuration() const { return configuration_; }
  void LearnGroup(const std::string& name);
  void LearnGroupEverywhere();

  /// Returns the entry of instance `name` for the next generation of `group`.
  KeyHolder HolderOf(const std::string& name, const KeyGroup& group) const;
  KeyHolder HolderOf(const std::string& name) const { return HolderOf(name, group()); }

  /// Starts an operation by a proposer that knows the group as `proposer_group`.
  int Begin(const KeyGroup& proposer_group, const std::string& key,
            std::unique_ptr<KeyChange> change);
  void Expire(int operation);
  bool finished(int operation) const { return operations_.at(operation)->finished(); }
  const ClaimResult& result(int operation) const {
    return operations_.at(operation)->result();
  }

  /// Delivers, loses or duplicates a random message in flight. Returns false when there
  /// is none.
  bool StepRandomly(int loss_percent, int duplicate_percent);

  /// Delivers all messages in order until none is in flight.
  void DeliverAll();

  /// Copies one part of each group whose records instance `name` still lacks.
  void CopyOnce(const std::string& name);

  ManualClock& clock() { return clock_; }
  Random& random() { return random_; }
  KeyAcceptor& acceptor(const std::string& name) { return *acceptors_.at(name); }

 private:
  /// A message in flight. When it is lost, the sender gets a timeout instead.
  struct Delivery {
    std::function<void()> deliver;
    std::function<void()> time_out;
  };

  void Dispatch(int operation, const KeyOperation::Step& step);
  void SendMessage(int operation, std::uint64_t round,
                   const KeyOperation::OutgoingMessage& outgoing);
  void Deliver(std::size_t n);

  ManualClock clock_;
  Random random_;
  std::uint64_t next_incarnation_ = 1;
  std::map<std::string, std::uint64_t> incarnations_;
  std::map<std::string, std::unique_ptr<KeyAcceptor>> acceptors_;
  Configuration configuration_;
  std::vector<std::unique_ptr<KeyOperation>> operations_;
  std::vector<Delivery> in_flight_;
};

}  // namespace quetzal

#endif  // QUETZAL_TESTS_KEYS_KEY_CLUSTER_H_
