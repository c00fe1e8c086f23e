// What a node has acknowledged to its backend server must outlive its process, which has
// no disk. A departure is acknowledged once it is in the log of the control instances,
// and the next process asks the log before it uses a server: memory would not do, as all
// processes of the fleet may end at the same moment. Without control instances, the
// acknowledgement waits until a majority of the witnesses holds the record that says so.
// What was observed besides, such as crashes, is told by a majority of the witnesses.
#include <utility>

#include "distribution/node_distribution_core.h"
#include "membership/endpoint_text.h"

namespace quetzal {

void NodeDistribution::Core::MakeDepartureLink() {
  if (settings_.controls.empty()) return;
  DepartureLink::Dependencies link;
  link.rpc_client = dependencies_.rpc_client;
  link.executor = dependencies_.executor;
  link.control_instances = [this] {
    std::vector<Endpoint> all;
    for (const auto& [name, entry] : membership_->table().entries()) {
      const Member& member = entry.member;
      const auto address = TryEndpoint(member.stream_address());
      if (member.control() && TakesPart(member) && address) all.push_back(*address);
    }
    return all.empty() ? settings_.controls : all;
  };
  link.on_departure = [this](const ServerDeparture& departure) {
    ServerObservations observations;
    *observations.mutable_departure() = departure;
    if (dependencies_.on_former_observations) {
      dependencies_.on_former_observations(observations);
    }
  };
  link.on_answer = [this] {
    if (!hold_waits_.empty()) TickWitnesses();
    RefreshStatus();
  };
  departure_link_ = std::make_shared<DepartureLink>(identity_.instance, std::move(link));
}

void NodeDistribution::Core::AwaitHeld(Duration limit,
                                       std::function<void(bool held)> done) {
  Post([limit, done = std::move(done)](Core* self) {
    const Member& record = self->membership_->self();
    const ServerDeparture& departure = record.server().observations().departure();
    self->hold_waits_.push_back(
        {NumberOf(record), departure, self->dependencies_.clock->Now() + limit, done});
    if (self->HasLog()) self->departure_link_->Record(departure);
    self->TickWitnesses();
  });
}

bool NodeDistribution::Core::FormerKnown() const {
  const bool told = asked_witnesses_ && (!HasLog() || departure_link_->learned());
  return told || settings_.seeds.empty() ||
         dependencies_.clock->Now() - started_at_ >= settings_.join_limit;
}

void NodeDistribution::Core::TickWitnesses() {
  if (HasLog()) departure_link_->Tick();
  if (hold_waits_.empty() && asked_witnesses_) return;
  // A node without seeds is alone. Another one does not know all witnesses before a
  // member has told it the others.
  const bool alone = settings_.seeds.empty() && !HasLog();
  const bool joined = membership_->joined();
  if (joined) {
    for (const Endpoint& witness : witnesses_->TakeDue()) AskWitness(witness);
    asked_witnesses_ = asked_witnesses_ || witnesses_->Held({identity_.incarnation, 0});
  }
  const SteadyTime now = dependencies_.clock->Now();
  std::vector<HoldWait> waits = std::exchange(hold_waits_, {});
  for (HoldWait& wait : waits) {
    const bool held = HasLog() ? departure_link_->IsRecorded(wait.departure)
                               : alone || (joined && witnesses_->Held(wait.record));
    if (!held && now < wait.until) {
      hold_waits_.push_back(std::move(wait));
      continue;
    }
    if (!held) Emit("record.not_held", {{"peer", identity_.instance}});
    wait.done(held);
  }
}

void NodeDistribution::Core::AskWitness(const Endpoint& witness) {
  membership_link_->ExchangeRecord(witness,
                                   [weak = weak_from_this(), witness,
                                    sent = NumberOf(membership_->self())](bool held) {
                                     auto core = weak.lock();
                                     if (core == nullptr || core->stopped_) return;
                                     // What the witness told of an earlier process comes
                                     // before its answer counts.
                                     core->RunMembership();
                                     core->witnesses_->OnAnswer(witness, sent, held);
                                     if (!held) return;
                                     core->TickWitnesses();
                                     core->RefreshStatus();
                                   });
}

}  // namespace quetzal
