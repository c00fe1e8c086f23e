#include "keys/key_cluster.h"

#include <utility>

namespace quetzal {

KeyCluster::KeyCluster(std::uint64_t seed) : random_(seed) {
  configuration_.add_data_centres("haro");
  configuration_.add_key_groups();
}

void KeyCluster::SetGroup(const KeyGroup& group) {
  for (KeyGroup& existing : *configuration_.mutable_key_groups()) {
    if (existing.number() != group.number()) continue;
    existing = group;
    return;
  }
  *configuration_.add_key_groups() = group;
}

void KeyCluster::StartInstance(const std::string& name) {
  incarnations_[name] = next_incarnation_++;
  acceptors_[name] = std::make_unique<KeyAcceptor>(name, incarnations_[name],
                                                   KeyAcceptorOptions{}, &clock_);
}

std::uint64_t KeyCluster::incarnation(const std::string& name) const {
  return incarnations_.at(name);
}

void KeyCluster::LearnGroup(const std::string& name) {
  if (running(name)) acceptors_[name]->SetGroups(configuration_);
}

void KeyCluster::LearnGroupEverywhere() {
  for (const auto& [name, acceptor] : acceptors_) LearnGroup(name);
}

KeyHolder KeyCluster::HolderOf(const std::string& name, const KeyGroup& group) const {
  KeyHolder holder;
  holder.set_instance(name);
  holder.set_incarnation(incarnations_.at(name));
  holder.set_joined_generation(group.generation() + 1);
  for (const auto* list : {&group.previous(), &group.members()}) {
    for (const KeyHolder& listed : *list) {
      const bool same =
          listed.instance() == name && listed.incarnation() == holder.incarnation();
      if (same) holder.set_joined_generation(listed.joined_generation());
    }
  }
  return holder;
}

int KeyCluster::Begin(const KeyGroup& proposer_group, const std::string& key,
                      std::unique_ptr<KeyChange> change) {
  const int n = static_cast<int>(operations_.size());
  operations_.push_back(std::make_unique<KeyOperation>(
      proposer_group, key, "op" + std::to_string(n), std::move(change)));
  Dispatch(n, operations_.back()->Start());
  return n;
}

void KeyCluster::Expire(int operation) { operations_.at(operation)->Expire(); }

void KeyCluster::Dispatch(int operation, const KeyOperation::Step& step) {
  const std::uint64_t round = operations_[operation]->round();
  if (step.retry_later) {
    const auto restart = [this, operation] {
      Dispatch(operation, operations_[operation]->Restart());
    };
    in_flight_.push_back({restart, restart});
  }
  for (const KeyOperation::OutgoingMessage& outgoing : step.messages)
    SendMessage(operation, round, outgoing);
}

void KeyCluster::SendMessage(int operation, std::uint64_t round,
                             const KeyOperation::OutgoingMessage& outgoing) {
  const KeyPrepare prepare = outgoing.prepare ? *outgoing.prepare : KeyPrepare();
  const KeyAccept accept = outgoing.accept ? *outgoing.accept : KeyAccept();
  const bool is_prepare = outgoing.prepare != nullptr;
  const auto time_out = [this, operation, round, to = outgoing.to] {
    Dispatch(operation, operations_[operation]->OnFailure(round, to));
  };
  const auto deliver = [=, to = outgoing.to] {
    auto it = acceptors_.find(to.instance());
    if (it == acceptors_.end()) return time_out();
    const KeyVoteReply reply =
        is_prepare ? it->second->Prepare(prepare) : it->second->Accept(accept);
    const auto answer = [this, operation, round, to, reply] {
      Dispatch(operation, operations_[operation]->OnReply(round, to, reply));
    };
    in_flight_.push_back({answer, time_out});
  };
  in_flight_.push_back({deliver, time_out});
}

void KeyCluster::Deliver(std::size_t n) {
  const Delivery delivery = in_flight_[n];
  in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(n));
  delivery.deliver();
}

bool KeyCluster::StepRandomly(int loss_percent, int duplicate_percent) {
  if (in_flight_.empty()) return false;
  const std::size_t n = random_.Below(in_flight_.size());
  const auto roll = static_cast<int>(random_.Below(100));
  if (roll < loss_percent) {
    // The message is lost, and the sender gets a timeout instead.
    in_flight_[n].deliver = in_flight_[n].time_out;
    return true;
  }
  if (roll < loss_percent + duplicate_percent) {
    const Delivery copy = in_flight_[n];
    in_flight_.push_back(copy);
  }
  Deliver(n);
  return true;
}

void KeyCluster::DeliverAll() {
  while (!in_flight_.empty()) Deliver(0);
}

void KeyCluster::CopyOnce(const std::string& name) {
  if (!running(name)) return;
  for (const KeyAcceptor::MissingCopy& copy : acceptors_[name]->MissingCopies()) {
    if (copy.sources.empty()) continue;
    const KeyHolder& source = copy.sources[random_.Below(copy.sources.size())];
    if (!running(source.instance()) ||
        incarnations_[source.instance()] != source.incarnation()) {
      continue;
    }
    KeyCopyRequest request;
    *request.mutable_group() = copy.group;
    request.set_limit_bytes(1U << 20);
    acceptors_[name]->MergeCopy(copy.group, source,
                                acceptors_[source.instance()]->Copy(request));
  }
}

}  // namespace quetzal
