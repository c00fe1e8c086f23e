#include "control/control_membership.h"

#include <utility>

#include "membership/endpoint_text.h"

namespace quetzal {
namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(100);

}  // namespace

ControlMembership::ControlMembership(Member self, const Endpoint& gossip,
                                     std::vector<Endpoint> seeds,
                                     const Dependencies& dependencies)
    : dependencies_(dependencies),
      gossip_(gossip),
      membership_(MembershipSettings(), std::move(self), std::move(seeds),
                  dependencies.clock, dependencies.random),
      link_(std::make_shared<MembershipLink>(
          &membership_,
          MembershipLink::Dependencies{dependencies.datagrams, dependencies.rpc_client,
                                       dependencies.rpc_server, dependencies.executor})) {
}

void ControlMembership::Start() {
  const Endpoint bound = link_->Bind(gossip_);
  const Endpoint streams = ParseEndpoint(membership_.self().stream_address());
  membership_.SetAddresses(bound, streams, Endpoint());
  link_->Serve();
  timer_ = dependencies_.executor->Every(kTickPeriod, [this] { Tick(); });
}

void ControlMembership::Tick() {
  membership_.Tick();
  link_->Run();
}

void ControlMembership::AnnounceLeaving() {
  membership_.Leave(false);
  Tick();
}

void ControlMembership::Leave() {
  membership_.Leave(true);
  Tick();
}

void ControlMembership::Stop() {
  timer_.reset();
  link_->Stop();
}

std::vector<ControlMembership::Peer> ControlMembership::control_instances() const {
  std::vector<Peer> peers;
  for (const auto& [name, entry] : membership_.table().entries()) {
    const Member& member = entry.member;
    if (!member.control() || !TakesPart(member)) continue;
    if (member.state() == MEMBER_LEAVING) continue;
    if (const auto address = TryEndpoint(member.stream_address())) {
      peers.push_back({name, *address});
    }
  }
  return peers;
}

bool ControlMembership::IsDeadOrLeft(const std::string& name) const {
  const MemberTable::Entry* entry = membership_.table().Find(name);
  return entry != nullptr && !TakesPart(entry->member);
}

}  // namespace quetzal
