// The timed part of Membership: probes, suspicions, gossip rounds and expiry.
#include <algorithm>
#include <set>
#include <utility>

#include "membership/endpoint_text.h"
#include "membership/membership.h"

namespace quetzal {

namespace {

constexpr std::uint64_t kDeadProbeOneIn = 10;
constexpr std::uint64_t kSeedProbeOneIn = 30;
constexpr std::size_t kReachabilityChecks = 3;
/// A node that started more recently than this keeps asking its seeds.
constexpr Duration kRecentStart = std::chrono::seconds(20);

Endpoint GossipAddressOf(const Member& member) {
  return TryEndpoint(member.gossip_address()).value_or(Endpoint{});
}

}  // namespace

void Membership::Tick() {
  const SteadyTime now = clock_->Now();
  const Duration gap = now - last_tick_;
  last_tick_ = now;
  if (gap > 2 * settings_.probe_period) TickAfterPause(gap);
  TickProbes(now);
  TickSuspicions(now);
  TickJoin(now);
  TickGossip(now);
  TickRetention(now);
}

void Membership::TickAfterPause(Duration gap) {
  // Answers may be waiting unread: a missing answer after a pause of this process is no
  // evidence that the peer failed.
  probes_.clear();
  forwarded_.clear();
  for (auto& [name, deadline] : suspicions_) deadline += gap;
}

void Membership::TickProbes(SteadyTime now) {
  std::vector<Probe> failed;
  for (auto it = probes_.begin(); it != probes_.end();) {
    if (!it->indirect && now - it->sent >= settings_.ack_timeout) SendPingRequests(&*it);
    if (now - it->sent < 3 * settings_.ack_timeout) {
      ++it;
      continue;
    }
    failed.push_back(*it);
    it = probes_.erase(it);
  }
  for (const Probe& probe : failed) OnProbeFailed(probe, now);
  forwarded_.erase(std::remove_if(forwarded_.begin(), forwarded_.end(),
                                  [&](const Forwarded& sent) {
                                    return now - sent.sent > 3 * settings_.ack_timeout;
                                  }),
                   forwarded_.end());
  if (now < next_probe_ || self_.state() == MEMBER_LEFT) return;
  next_probe_ = now + settings_.probe_period;
  const MemberTable::Entry* target = NextTarget();
  if (target != nullptr) SendProbe(*target, false, now);
}

const MemberTable::Entry* Membership::NextTarget() {
  if (random_->Below(kDeadProbeOneIn) == 0) {
    // Probing dead members lets two partitions that declared each other dead merge again.
    Entries dead;
    for (const auto& [name, entry] : table_.entries()) {
      if (entry.member.state() == MEMBER_DEAD) dead.push_back(&entry);
    }
    if (!dead.empty()) return dead[random_->Below(dead.size())];
  }
  if (random_->Below(100) >= settings_.remote_probe_percent) {
    const MemberTable::Entry* local = NextLocalTarget();
    if (local != nullptr) return local;
  }
  std::map<std::string, Entries> remote;
  for (const MemberTable::Entry* entry : Select(false, true, "")) {
    remote[entry->member.data_centre()].push_back(entry);
  }
  if (remote.empty()) return NextLocalTarget();
  auto it = remote.begin();
  std::advance(it, static_cast<std::ptrdiff_t>(random_->Below(remote.size())));
  return it->second[random_->Below(it->second.size())];
}

const MemberTable::Entry* Membership::NextLocalTarget() {
  for (int round = 0; round < 2; ++round) {
    while (!probe_order_.empty()) {
      const MemberTable::Entry* entry = table_.Find(probe_order_.back());
      probe_order_.pop_back();
      if (entry != nullptr && TakesPart(entry->member)) return entry;
    }
    const Entries local = Select(true, false, "");
    for (const MemberTable::Entry* entry : random_->PickSome(local, local.size())) {
      probe_order_.push_back(entry->member.instance());
    }
  }
  return nullptr;
}

void Membership::SendProbe(const MemberTable::Entry& target, bool reachability_check,
                           SteadyTime now) {
  Probe probe;
  probe.nonce = next_nonce_++;
  probe.target = target.member.instance();
  probe.data_centre = target.member.data_centre();
  probe.sent = now;
  probe.reachability_check = reachability_check;
  probes_.push_back(probe);
  GossipDatagram ping;
  ping.set_kind(GOSSIP_PING);
  ping.set_nonce(probe.nonce);
  ping.set_target(probe.target);
  // A suspect or dead member gets its own state with the probe, so that it can refute it.
  if (target.member.state() == MEMBER_SUSPECT || target.member.state() == MEMBER_DEAD) {
    *ping.add_news() = target.member;
  }
  Send(GossipAddressOf(target.member), IsLocal(target.member), &ping);
}

void Membership::SendPingRequests(Probe* probe) {
  probe->indirect = true;
  const MemberTable::Entry* target = table_.Find(probe->target);
  if (target == nullptr) return;
  const Entries helpers =
      random_->PickSome(Select(true, false, probe->target), settings_.indirect_probes);
  for (const MemberTable::Entry* helper : helpers) {
    GossipDatagram request;
    request.set_kind(GOSSIP_PING_REQUEST);
    request.set_nonce(probe->nonce);
    request.set_target(probe->target);
    request.set_target_address(target->member.gossip_address());
    Send(GossipAddressOf(helper->member), true, &request);
  }
}

void Membership::OnProbeFailed(const Probe& probe, SteadyTime now) {
  const MemberTable::Entry* target = table_.Find(probe.target);
  if (target == nullptr || !TakesPart(target->member)) return;
  if (!IsLocal(target->member)) return OnRemoteProbeFailed(probe, now);
  if (target->member.state() != MEMBER_SUSPECT) Declare(*target, MEMBER_SUSPECT);
}

void Membership::OnRemoteProbeFailed(const Probe& probe, SteadyTime now) {
  const std::string& data_centre = probe.data_centre;
  if (reachability_.LastAnswer(data_centre) >= probe.sent) return;
  if (!reachability_.MayDeclareCutOff(data_centre, now)) return;
  if (!probe.reachability_check) {
    Entries others;
    for (const MemberTable::Entry* entry : Select(false, true, "")) {
      if (entry->member.data_centre() == data_centre) others.push_back(entry);
    }
    for (const MemberTable::Entry* entry :
         random_->PickSome(others, kReachabilityChecks)) {
      SendProbe(*entry, true, now);
    }
    return;
  }
  const bool more = std::any_of(probes_.begin(), probes_.end(), [&](const Probe& other) {
    return other.reachability_check && other.data_centre == data_centre;
  });
  if (more) return;
  queue_.Add(reachability_.Assess(data_centre, true, now));
  ++revision_;
}

void Membership::TickSuspicions(SteadyTime now) {
  std::vector<std::string> due;
  for (const auto& [name, deadline] : suspicions_) {
    if (deadline <= now) due.push_back(name);
  }
  for (const std::string& name : due) {
    suspicions_.erase(name);
    const MemberTable::Entry* entry = table_.Find(name);
    if (entry != nullptr && entry->member.state() == MEMBER_SUSPECT) {
      Declare(*entry, MEMBER_DEAD);
    }
  }
}

void Membership::TickGossip(SteadyTime now) {
  if (now < next_gossip_) return;
  next_gossip_ = now + settings_.gossip_period;
  if (queue_.empty()) return;
  // One target per round may be in another data centre; the others are local.
  Entries targets =
      random_->PickSome(Select(true, false, ""), settings_.gossip_fanout - 1);
  if (targets.empty()) queue_.DropReachReports();
  const Entries anywhere = random_->PickSome(Select(true, true, ""), 1);
  targets.insert(targets.end(), anywhere.begin(), anywhere.end());
  for (const MemberTable::Entry* target : targets) {
    if (queue_.empty()) return;
    GossipDatagram gossip;
    Send(GossipAddressOf(target->member), IsLocal(target->member), &gossip);
  }
}

void Membership::TickJoin(SteadyTime now) {
  if (now < next_join_ || self_.state() == MEMBER_LEFT) return;
  const bool alone = Select(true, true, "").empty();
  next_join_ = now + (joined_ && !alone ? settings_.probe_period : settings_.join_retry);
  if (seeds_.empty()) return;
  // The first seed to answer may have started just as recently, so a new instance asks
  // several. Later it still asks a seed occasionally, so that a partitioned fleet merges.
  const bool recently_started = now - started_ < kRecentStart;
  if (joined_ && !alone && !recently_started && random_->Below(kSeedProbeOneIn) != 0)
    return;
  GossipDatagram ping;
  ping.set_kind(GOSSIP_PING);
  ping.set_nonce(next_nonce_++);
  *ping.add_news() = self_;
  Send(seeds_[random_->Below(seeds_.size())], false, &ping);
}

void Membership::TickRetention(SteadyTime now) {
  if (now < next_retention_) return;
  next_retention_ = now + std::chrono::seconds(10);
  const bool removed = table_.RemoveIf([&](const MemberTable::Entry& entry) {
    if (entry.member.instance() == self_.instance()) return false;
    if (entry.member.state() == MEMBER_DEAD) {
      return now - entry.changed > settings_.dead_retention;
    }
    return entry.member.state() == MEMBER_LEFT &&
           now - entry.changed > settings_.left_retention;
  });
  if (removed) ++revision_;
}

void Membership::OnPing(const Endpoint& from, const GossipDatagram& datagram) {
  if (self_.state() == MEMBER_LEFT || identity_taken_over_) return;
  // The ping is meant for an instance that had this address before.
  if (!datagram.target().empty() && datagram.target() != self_.instance()) return;
  GossipDatagram ack;
  ack.set_kind(GOSSIP_ACK);
  ack.set_nonce(datagram.nonce());
  const MemberTable::Entry* sender = table_.Find(datagram.sender());
  if (sender != nullptr && sender->member.state() != MEMBER_ALIVE &&
      sender->member.state() != MEMBER_LEAVING) {
    *ack.add_news() = sender->member;
  }
  if (datagram.target().empty() || datagram.table_digest() != table_.Digest()) {
    *ack.add_news() = self_;
  }
  Send(from, sender != nullptr && IsLocal(sender->member), &ack);
  CompareDigest(datagram);
}

void Membership::OnPingRequest(const Endpoint& from, const GossipDatagram& datagram) {
  const std::optional<Endpoint> address = TryEndpoint(datagram.target_address());
  if (!address) return;
  Forwarded sent;
  sent.nonce = next_nonce_++;
  sent.origin_nonce = datagram.nonce();
  sent.origin = from;
  sent.sent = clock_->Now();
  forwarded_.push_back(sent);
  GossipDatagram ping;
  ping.set_kind(GOSSIP_PING);
  ping.set_nonce(sent.nonce);
  ping.set_target(datagram.target());
  const MemberTable::Entry* target = table_.Find(datagram.target());
  Send(*address, target != nullptr && IsLocal(target->member), &ping);
}

void Membership::OnAck(const GossipDatagram& datagram) {
  auto forwarded =
      std::find_if(forwarded_.begin(), forwarded_.end(),
                   [&](const Forwarded& sent) { return sent.nonce == datagram.nonce(); });
  if (forwarded != forwarded_.end()) {
    GossipDatagram ack;
    ack.set_kind(GOSSIP_ACK);
    ack.set_nonce(forwarded->origin_nonce);
    ack.set_target(datagram.sender());
    Send(forwarded->origin, true, &ack);
    forwarded_.erase(forwarded);
    return;
  }
  const std::string& responder =
      datagram.target().empty() ? datagram.sender() : datagram.target();
  auto probe = std::find_if(probes_.begin(), probes_.end(), [&](const Probe& sent) {
    return sent.nonce == datagram.nonce() && sent.target == responder;
  });
  const MemberTable::Entry* entry = table_.Find(responder);
  if (entry == nullptr) return;
  const std::string& data_centre = entry->member.data_centre();
  if (probe != probes_.end()) {
    const SteadyTime now = clock_->Now();
    probes_.erase(probe);
    reachability_.RecordAnswer(data_centre, now);
    if (reachability_.IsCutOff(data_centre)) {
      queue_.Add(reachability_.Assess(data_centre, false, now));
      ++revision_;
      ExpectMissedUpdates();
    }
  }
  if (!joined_ && clock_->Now() >= next_exchange_) {
    StartExchange(*TryEndpoint(entry->member.stream_address()));
    return;
  }
  if (datagram.target().empty()) CompareDigest(datagram);
}

}  // namespace quetzal
