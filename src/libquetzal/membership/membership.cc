#include "membership/membership.h"

#include <algorithm>
#include <set>
#include <utility>

#include "membership/endpoint_text.h"

namespace quetzal {

namespace {

constexpr std::size_t kMaxNameBytes = 200;
constexpr std::size_t kMaxGossipAfterExchange = 64;
constexpr std::uint32_t kDigestMismatchesBeforeExchange = 3;

Member MakeThirdPartyReport(const Member& member, MemberState state) {
  Member report;
  report.set_instance(member.instance());
  report.set_incarnation(member.incarnation());
  report.set_sequence(member.sequence());
  report.set_state(state);
  return report;
}

// Exchanges carry the instances' own states. Suspicions travel by gossip only and are
// resolved in the data centre where they arise.
Member RecordOf(const MemberTable::Entry& entry) {
  Member record = entry.member;
  if (record.state() == MEMBER_SUSPECT) record.set_state(entry.own_state);
  return record;
}

bool IsThirdPartyState(MemberState state) {
  return state == MEMBER_SUSPECT || state == MEMBER_DEAD;
}

bool IsWellFormed(const Member& member) {
  if (member.instance().empty() || member.instance().size() > kMaxNameBytes) return false;
  if (IsThirdPartyReport(member)) return IsThirdPartyState(member.state());
  return member.data_centre().size() <= kMaxNameBytes &&
         TryEndpoint(member.gossip_address()) && TryEndpoint(member.stream_address());
}

}  // namespace

Membership::Membership(MembershipSettings settings, Member self,
                       std::vector<Endpoint> seeds, const Clock* clock, Random* random)
    : settings_(settings),
      self_(std::move(self)),
      seeds_(std::move(seeds)),
      clock_(clock),
      random_(random),
      started_(clock->Now()),
      last_tick_(started_),
      next_probe_(started_),
      next_gossip_(started_),
      next_join_(started_),
      next_exchange_(started_),
      next_retention_(started_),
      next_nonce_(random->Next() & 0xffffffffu) {
  self_.set_sequence(1);
  self_.set_state(MEMBER_ALIVE);
  table_.Merge(self_, started_);
}

void Membership::OnDatagram(const Endpoint& from, const std::string& bytes) {
  GossipDatagram datagram;
  if (!datagram.ParseFromString(bytes) || datagram.kind() == GOSSIP_QUOTA) return;
  if (datagram.sender() == self_.instance() &&
      datagram.incarnation() == self_.incarnation()) {
    return;
  }
  for (const Member& update : datagram.news()) Apply(update, true);
  const MemberTable::Entry* sender = table_.Find(datagram.sender());
  if (sender != nullptr && IsLocal(sender->member)) {
    for (const Reach& reach : datagram.reach()) Apply(reach);
  }
  RecordContact(datagram);
  switch (datagram.kind()) {
    case GOSSIP_PING:
      return OnPing(from, datagram);
    case GOSSIP_PING_REQUEST:
      return OnPingRequest(from, datagram);
    case GOSSIP_ACK:
      return OnAck(datagram);
    default:
      return;
  }
}

void Membership::RecordContact(const GossipDatagram& datagram) {
  known_ = LaterOf(known_, LaterOf(datagram.held(), datagram.known()));
  const MemberTable::Entry* entry = table_.Find(datagram.sender());
  if (entry == nullptr || entry->member.incarnation() != datagram.incarnation()) return;
  applied_versions_[datagram.sender()] = datagram.held();
}

void Membership::CompareDigest(const GossipDatagram& datagram) {
  // Members with an equal table say nothing about the others: where most miss the same
  // member, the few that know it would never be asked.
  if (datagram.table_digest() == table_.Digest()) return;
  const SteadyTime now = clock_->Now();
  const MemberTable::Entry* entry = table_.Find(datagram.sender());
  if (entry == nullptr || now < next_exchange_) return;
  // Pending updates explain a difference; gossip delivers them without an exchange.
  if (!missed_updates_ &&
      (!queue_.empty() || ++digest_mismatches_ < kDigestMismatchesBeforeExchange)) {
    return;
  }
  digest_mismatches_ = 0;
  StartExchange(*TryEndpoint(entry->member.stream_address()));
}

std::string Membership::OnExchange(const std::string& request) {
  TableExchange received;
  TableExchange answer;
  if (!received.ParseFromString(request)) return answer.SerializeAsString();
  answer.set_sender(self_.instance());
  *answer.mutable_known() = LaterOf(known_, applied_version_);
  const MemberTable::Entry* requester = table_.Find(received.sender());
  if (requester != nullptr) {
    answer.set_heard_incarnation(requester->member.incarnation());
    if (requester->member.server().has_observations()) {
      *answer.mutable_observations() = requester->member.server().observations();
    }
  }
  known_ = LaterOf(known_, received.known());
  const bool disseminate =
      static_cast<std::size_t>(received.members_size()) <= kMaxGossipAfterExchange;
  for (const Member& member : received.members()) {
    Apply(member, disseminate);
    if (member.instance() == received.sender() && HoldsAsSent(member)) {
      answer.set_holds_record(true);
    }
  }
  if (received.bucket_digests_size() != static_cast<int>(MemberTable::kBuckets)) {
    return answer.SerializeAsString();
  }
  std::set<std::size_t> differing;
  for (std::size_t n = 0; n < MemberTable::kBuckets; ++n) {
    if (received.bucket_digests(static_cast<int>(n)) == table_.buckets()[n]) continue;
    differing.insert(n);
    answer.add_buckets(static_cast<std::uint32_t>(n));
  }
  for (const auto& [name, entry] : table_.entries()) {
    if (differing.count(MemberTable::BucketOf(name)) != 0) {
      *answer.add_members() = RecordOf(entry);
    }
  }
  return answer.SerializeAsString();
}

void Membership::OnExchangeReply(const Endpoint& peer, const std::string& reply) {
  TableExchange answer;
  if (!answer.ParseFromString(reply)) return;
  known_ = LaterOf(known_, answer.known());
  LearnOfSelf(answer);
  const bool disseminate = joined_ && static_cast<std::size_t>(answer.members_size()) <=
                                          kMaxGossipAfterExchange;
  std::map<std::string, const Member*> theirs;
  for (const Member& member : answer.members()) {
    theirs[member.instance()] = &member;
    Apply(member, disseminate);
  }
  joined_ = true;
  const std::set<std::size_t> differing(answer.buckets().begin(), answer.buckets().end());
  TableExchange push;
  push.set_sender(self_.instance());
  for (const auto& [name, entry] : table_.entries()) {
    if (differing.count(MemberTable::BucketOf(name)) == 0) continue;
    Member record = RecordOf(entry);
    auto it = theirs.find(name);
    if (it != theirs.end() && !IsNewer(record, *it->second)) continue;
    *push.add_members() = std::move(record);
  }
  if (push.members_size() == 0) return;
  actions_.push_back({MembershipAction::Kind::kExchange, peer, push.SerializeAsString()});
}

void Membership::LearnOfSelf(const TableExchange& answer) {
  if (answer.has_observations()) former_observations_ = answer.observations();
  // The peer knows a higher incarnation of this name: Refute() exceeds it, or sets
  // identity_taken_over_.
  if (answer.heard_incarnation() <= self_.incarnation()) return;
  Member death_report = MakeThirdPartyReport(self_, MEMBER_DEAD);
  death_report.set_incarnation(answer.heard_incarnation());
  Refute(death_report);
}

std::string Membership::MakeRecordRequest() const {
  TableExchange request;
  request.set_sender(self_.instance());
  *request.mutable_known() = LaterOf(known_, applied_version_);
  *request.add_members() = self_;
  return request.SerializeAsString();
}

bool Membership::OnRecordReply(const std::string& reply) {
  TableExchange answer;
  if (!answer.ParseFromString(reply)) return false;
  LearnOfSelf(answer);
  return answer.holds_record();
}

/// A report by others may carry the number of a record that this instance has not got.
bool Membership::HoldsAsSent(const Member& record) const {
  const MemberTable::Entry* entry = table_.Find(record.instance());
  if (entry == nullptr || IsNewer(record, entry->member)) return false;
  const ServerObservations& sent = record.server().observations();
  const ServerObservations& held = entry->member.server().observations();
  return !record.server().has_observations() ||
         sent.SerializeAsString() == held.SerializeAsString();
}

void Membership::ExpectMissedUpdates() {
  missed_updates_ = true;
  next_exchange_ = clock_->Now();
}

void Membership::StartExchange(const Endpoint& stream_address) {
  missed_updates_ = false;
  TableExchange request;
  request.set_sender(self_.instance());
  *request.mutable_known() = LaterOf(known_, applied_version_);
  for (std::uint64_t digest : table_.buckets()) request.add_bucket_digests(digest);
  *request.add_members() = self_;
  const Duration jitter = random_->Below(settings_.exchange_pause);
  next_exchange_ = clock_->Now() +
                   (joined_ ? settings_.exchange_pause + jitter : settings_.join_retry);
  actions_.push_back(
      {MembershipAction::Kind::kExchange, stream_address, request.SerializeAsString()});
}

void Membership::Apply(const Member& update, bool disseminate) {
  if (!IsWellFormed(update)) return;
  if (update.instance() == self_.instance()) return Refute(update);
  // Each data centre handles suspicions only about its own members.
  const MemberTable::Entry* current = table_.Find(update.instance());
  if (update.state() == MEMBER_SUSPECT &&
      (current == nullptr || !IsLocal(current->member)))
    return;
  const SteadyTime now = clock_->Now();
  if (!table_.Merge(update, now)) return;
  ++revision_;
  const Member& member = table_.Find(update.instance())->member;
  if (IsLocal(member) && member.state() == MEMBER_SUSPECT) {
    suspicions_[update.instance()] = now + settings_.suspicion;
  } else {
    suspicions_.erase(update.instance());
  }
  if (!TakesPart(member)) applied_versions_.erase(update.instance());
  if (disseminate) Disseminate(member);
}

void Membership::Apply(const Reach& reach) {
  if (reach.data_centre() == self_.data_centre()) return;
  const SteadyTime now = clock_->Now();
  if (!reachability_.Merge(reach, now)) return;
  ++revision_;
  if (reach.cut_off() &&
      reachability_.LastAnswer(reach.data_centre()) + 2 * settings_.probe_period > now) {
    queue_.Add(reachability_.Assess(reach.data_centre(), false, now));
    return;
  }
  queue_.Add(reach);
}

void Membership::Refute(const Member& report) {
  if (report.incarnation() < self_.incarnation()) return;
  if (report.incarnation() > self_.incarnation()) {
    if (clock_->Now() - started_ > settings_.takeover_after) {
      identity_taken_over_ = true;
      ++revision_;
      return;
    }
    self_.set_incarnation(report.incarnation() + 1);
    self_.set_sequence(0);
    return PublishSelf();
  }
  if (!IsNewer(report, self_)) return;
  if (report.state() == MEMBER_DEAD) ++false_death_reports_;
  // Whoever could not be reached was not reached by updates either, and gossip does not
  // repeat them for long.
  ExpectMissedUpdates();
  self_.set_sequence(std::max(self_.sequence(), report.sequence()));
  PublishSelf();
}

void Membership::PublishSelf() {
  if (identity_taken_over_) return;
  self_.set_sequence(self_.sequence() + 1);
  table_.Merge(self_, clock_->Now());
  ++revision_;
  Disseminate(self_);
}

void Membership::Disseminate(const Member& update) {
  queue_.Add(IsThirdPartyState(update.state())
                 ? MakeThirdPartyReport(update, update.state())
                 : update);
}

void Membership::Declare(const MemberTable::Entry& entry, MemberState state) {
  Apply(MakeThirdPartyReport(entry.member, state), true);
}

void Membership::SetServer(const BackendServer& server) {
  if (self_.server().SerializeAsString() == server.SerializeAsString()) return;
  *self_.mutable_server() = server;
  PublishSelf();
}

void Membership::SetAddresses(const Endpoint& gossip, const Endpoint& stream,
                              const Endpoint& caller) {
  self_.set_gossip_address(gossip.ToString());
  self_.set_stream_address(stream.ToString());
  if (caller.port != 0) self_.set_caller_address(caller.ToString());
  PublishSelf();
}

void Membership::Leave(bool left) {
  const MemberState state = left ? MEMBER_LEFT : MEMBER_LEAVING;
  if (self_.state() == state) return;
  self_.set_state(state);
  PublishSelf();
  // The process may end before the next gossip is due.
  next_gossip_ = clock_->Now();
}

void Membership::SetAppliedVersion(const Version& applied) {
  applied_version_ = applied;
  known_ = LaterOf(known_, applied);
}

void Membership::AddSeeds(const std::vector<Endpoint>& seeds) {
  constexpr std::size_t kMaxSeeds = 32;
  for (const Endpoint& seed : seeds) {
    const bool present = std::find(seeds_.begin(), seeds_.end(), seed) != seeds_.end();
    if (!present && seeds_.size() < kMaxSeeds) seeds_.push_back(seed);
  }
}

std::optional<ServerObservations> Membership::TakeFormerObservations() {
  return std::exchange(former_observations_, std::nullopt);
}

std::vector<MembershipAction> Membership::TakeActions() {
  return std::exchange(actions_, {});
}

std::vector<std::string> Membership::MembersWithVersion(const Version& version) const {
  std::vector<std::string> matching;
  for (const auto& [name, applied] : applied_versions_) {
    const MemberTable::Entry* entry = table_.Find(name);
    if (entry == nullptr || !IsLocal(entry->member) || !TakesPart(entry->member))
      continue;
    if (!IsOlder(applied, version)) matching.push_back(name);
  }
  return matching;
}

bool Membership::IsLocal(const Member& member) const {
  return member.data_centre() == self_.data_centre();
}

Membership::Entries Membership::Select(bool local, bool remote,
                                       const std::string& except) const {
  Entries selected;
  for (const auto& [name, entry] : table_.entries()) {
    if (name == self_.instance() || name == except || !TakesPart(entry.member)) continue;
    if (IsLocal(entry.member) ? local : remote) selected.push_back(&entry);
  }
  return selected;
}

void Membership::Send(const Endpoint& to, bool local, GossipDatagram* datagram) {
  datagram->set_sender(self_.instance());
  datagram->set_incarnation(self_.incarnation());
  datagram->set_table_digest(table_.Digest());
  if (applied_version_.index() != 0) *datagram->mutable_held() = applied_version_;
  if (IsOlder(applied_version_, known_)) *datagram->mutable_known() = known_;
  queue_.Fill(settings_.datagram_bytes, table_.entries().size(), local, datagram);
  actions_.push_back({MembershipAction::Kind::kSend, to, datagram->SerializeAsString()});
}

}  // namespace quetzal
