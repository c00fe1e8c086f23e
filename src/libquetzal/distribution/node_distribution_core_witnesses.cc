// What a node has acknowledged to its backend server must outlive its process, which has
// no disk: an acknowledgement waits until a majority of the witnesses holds the record
// that says so, and the next process asks a majority before it uses a server.
#include <utility>

#include "distribution/node_distribution_core.h"

namespace quetzal {

void NodeDistribution::Core::AwaitHeld(Duration limit,
                                       std::function<void(bool held)> done) {
  Post([limit, done = std::move(done)](Core* self) {
    self->hold_waits_.push_back({NumberOf(self->membership_->self()),
                                 self->dependencies_.clock->Now() + limit, done});
    self->TickWitnesses();
  });
}

bool NodeDistribution::Core::FormerKnown() const {
  return asked_witnesses_ || settings_.seeds.empty() ||
         dependencies_.clock->Now() - started_at_ >= settings_.join_limit;
}

void NodeDistribution::Core::TickWitnesses() {
  if (hold_waits_.empty() && asked_witnesses_) return;
  // A node without seeds is alone. Another one does not know all witnesses before a
  // member has told it the others.
  const bool alone = settings_.seeds.empty();
  const bool joined = membership_->joined();
  if (joined) {
    for (const Endpoint& witness : witnesses_->TakeDue()) AskWitness(witness);
    asked_witnesses_ = asked_witnesses_ || witnesses_->Held({identity_.incarnation, 0});
  }
  const SteadyTime now = dependencies_.clock->Now();
  std::vector<HoldWait> waits = std::exchange(hold_waits_, {});
  for (HoldWait& wait : waits) {
    const bool held = alone || (joined && witnesses_->Held(wait.record));
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
