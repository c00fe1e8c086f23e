#include "quotas/quota_exchange.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "distribution/relay_choice.h"

namespace quetzal {
namespace {

constexpr Duration kPeriod = std::chrono::milliseconds(250);
/// Validity of a grant, from the report that it answers: 1 s after the grant's arrival at
/// the usual delays.
constexpr std::uint32_t kGrantValidMs = 1250;
/// Age of a grant, from the report that it answers, that is reached only when one is
/// lost.
constexpr Duration kOverdue = std::chrono::milliseconds(750);
/// A lost grant or two; the next coordinator can answer before the last grant expires.
constexpr Duration kSilence = std::chrono::milliseconds(650);
/// Least time between two allocations.
constexpr Duration kAllocationGap = std::chrono::milliseconds(40);
/// Pause before a silent coordinator may be chosen again.
constexpr Duration kSilentPause = std::chrono::seconds(5);
/// Longer than the time after which the asked coordinator counts this node anew.
constexpr Duration kProbePeriod = std::chrono::milliseconds(4500);
/// Time between two ticks that shows that the process did not run.
constexpr Duration kPause = std::chrono::milliseconds(300);
/// Without grants for this long, the coordinator may have forgotten what was reported.
constexpr Duration kRecount = std::chrono::seconds(3);
/// At its start a node knows the fleet once no new member has appeared for this time.
constexpr Duration kSettleTime = std::chrono::seconds(1);
/// Number of nodes assumed until then: the first deployment has at most 92.
constexpr std::size_t kNodesAtStart = 100;
constexpr std::size_t kEntryBytes = 1000;
/// Time until the first grant when quotas begin while the node runs.
constexpr Duration kFirstGrantTime = std::chrono::milliseconds(1500);
constexpr char kRankKey[] = "quota";

std::pair<std::uint64_t, std::uint64_t> BaseOf(const TeamCount& count) {
  return {count.asked - std::min(count.asked, count.asked_in_window),
          count.admitted - std::min(count.admitted, count.admitted_in_window)};
}

}  // namespace

QuotaExchange::QuotaExchange(QuotaIdentity self, TeamLimiter* limiter, const Clock* clock,
                             Send send)
    : self_(std::move(self)),
      limiter_(limiter),
      clock_(clock),
      send_(std::move(send)),
      allocator_(self_.data_centre, clock),
      grown_(clock->Now()),
      nonce_(self_.incarnation << 20) {
  if (self_.knows_fleet) {
    settled_ = true;
    const SteadyTime until = clock->Now() + kFirstGrantTime;
    limiter_->SetGrant({}, until, until);
  }
  ApplyNodes();
}

void QuotaExchange::SetLimits(const TeamLimits& limits) {
  limiter_->SetLimits(limits);
  allocator_.SetLimits(limits);
  std::map<std::string, double> rates;
  for (const TeamLimit& limit : limits) rates[limit.team] = limit.per_second;
  for (const TeamCount& count : limiter_->Counts()) {
    // A team that gets a limit is reported with what it has used in the last window.
    const auto before = rates_.find(count.team);
    if (before != rates_.end() && before->second > 0) continue;
    for (auto* target : {&current_, &preferred_, &previous_}) {
      if (*target) (*target)->base[count.team] = BaseOf(count);
    }
  }
  rates_ = std::move(rates);
}

void QuotaExchange::SetMembers(std::vector<QuotaMember> members, bool joined) {
  joined_ = joined;
  std::map<std::string, QuotaMember> known;
  std::map<std::string, std::size_t> nodes;
  std::map<std::string, std::vector<std::string>> alive;
  for (QuotaMember& member : members) {
    ++nodes[member.data_centre];
    if (member.alive) alive[member.data_centre].push_back(member.name);
    if (members_.count(member.name) == 0) grown_ = clock_->Now();
    known.emplace(member.name, std::move(member));
  }
  members_ = std::move(known);
  node_count_ = members_.size();
  first_.clear();
  ranked_.clear();
  for (auto& [data_centre, names] : alive) {
    std::vector<std::string> ranked = RankByRendezvous(std::move(names), kRankKey);
    if (data_centre == self_.data_centre) {
      ranked_ = std::move(ranked);
    } else if (!ranked.empty()) {
      first_.push_back(ranked.front());
    }
  }
  nodes_ = std::move(nodes);
  ApplyNodes();
}

bool QuotaExchange::settled() const {
  if (!settled_) settled_ = joined_ && clock_->Now() - grown_ >= kSettleTime;
  return settled_;
}

void QuotaExchange::ApplyNodes() {
  limiter_->SetNodes(settled() ? node_count_ : std::max(node_count_, kNodesAtStart));
  allocator_.SetNodes(nodes_);
}

void QuotaExchange::Tick() {
  if (!settled_ && settled()) ApplyNodes();
  const SteadyTime now = clock_->Now();
  if (current_ && now - last_tick_ > kPause) {
    // Grants did not arrive because this process did not run.
    if (now - last_tick_ > kRecount) current_ = MakeTarget(current_->name);
    current_->granted = now;
  }
  last_tick_ = now;
  ChooseCoordinator();
  if (now >= next_report_ || limiter_->surging()) Report();
  Coordinate();
}

QuotaExchange::Target QuotaExchange::MakeTarget(const std::string& name) const {
  Target target;
  target.name = name;
  target.granted = target.counted = clock_->Now();
  for (const TeamCount& count : limiter_->Counts()) {
    target.base[count.team] = BaseOf(count);
  }
  return target;
}

void QuotaExchange::ChooseCoordinator() {
  const SteadyTime now = clock_->Now();
  if (current_ && now - current_->granted > kSilence &&
      now - current_->counted > kSilence) {
    silent_[current_->name] = now + kSilentPause;
  }
  const auto usable = [this, now](const std::string& name) {
    const auto it = silent_.find(name);
    return it == silent_.end() || now >= it->second;
  };
  const bool current_lives =
      current_ && usable(current_->name) &&
      std::find(ranked_.begin(), ranked_.end(), current_->name) != ranked_.end();
  const auto best = std::find_if(ranked_.begin(), ranked_.end(), usable);
  if (!current_lives) {
    // When all are silent, the first one is as good as any.
    const std::string name = best != ranked_.end()
                                 ? *best
                                 : (ranked_.empty() ? std::string() : ranked_.front());
    const bool same = current_ && current_->name == name;
    if (same && now - current_->counted < kRecount) return;
    previous_ = same ? std::nullopt : std::move(current_);
    current_.reset();
    if (!name.empty()) current_ = MakeTarget(name);
    preferred_.reset();
    next_report_ = now;
    return;
  }
  if (best == ranked_.end() || *best == current_->name) {
    preferred_.reset();
  } else if (!preferred_ || preferred_->name != *best) {
    preferred_ = MakeTarget(*best);
  }
}

void QuotaExchange::Report() {
  const SteadyTime now = clock_->Now();
  next_report_ = now + kPeriod;
  const std::vector<TeamCount> counts = limiter_->Counts();
  limiter_->MarkReported();
  ++nonce_;
  sent_.push_back({nonce_, now});
  while (now - sent_.front().sent > std::chrono::milliseconds(kGrantValidMs)) {
    sent_.pop_front();
  }
  if (current_) {
    if (now - current_->granted > kRecount && now - current_->counted > kRecount) {
      const SteadyTime granted = current_->granted;
      current_ = MakeTarget(current_->name);
      current_->granted = granted;
    }
    ReportTo(&*current_, counts);
  }
  if (preferred_ && now >= next_probe_) {
    next_probe_ = now + kProbePeriod;
    preferred_ = MakeTarget(preferred_->name);
    ReportTo(&*preferred_, counts);
  }
  second_last_asked_ = std::move(last_asked_);
  last_asked_.clear();
  for (const TeamCount& count : counts) last_asked_[count.team] = count.asked;
}

void QuotaExchange::ReportTo(Target* target, const std::vector<TeamCount>& counts) {
  std::vector<QuotaMessage> messages(1);
  messages.back().mutable_usage();
  std::size_t bytes = 0;
  for (const TeamCount& count : counts) {
    const auto rate = rates_.find(count.team);
    if (rate == rates_.end() || rate->second <= 0) continue;
    if (!MustList(*target, count)) continue;
    auto& base = target->base[count.team];
    // Counts of a team that was removed and added again begin at zero.
    if (count.asked < base.first || count.admitted < base.second) base = {0, 0};
    TeamUsage usage;
    usage.set_team(count.team);
    usage.set_asked(count.asked - base.first);
    usage.set_admitted(count.admitted - base.second);
    const std::size_t size = usage.ByteSizeLong() + 3;
    if (bytes + size > kEntryBytes) {
      messages.emplace_back();
      bytes = 0;
    }
    bytes += size;
    *messages.back().mutable_usage()->add_usage() = std::move(usage);
  }
  for (QuotaMessage& message : messages) {
    message.set_sequence(++sequence_);
    Deliver(target->name, nonce_, std::move(message));
  }
}

bool QuotaExchange::MustList(const Target& target, const TeamCount& count) const {
  // No grant has shown yet that the target got the counts of all teams.
  if (target.granted <= target.counted) return count.asked_in_window > 0;
  const auto before = second_last_asked_.find(count.team);
  return before == second_last_asked_.end() ? count.asked > 0
                                            : before->second != count.asked;
}

void QuotaExchange::Coordinate() {
  const SteadyTime now = clock_->Now();
  if (!settled_ || now - last_allocation_ < kAllocationGap) return;
  last_allocation_ = now;
  allocator_.Allocate();
  if (!allocator_.active()) return;
  if (now >= next_demand_ || allocator_.demands_urgent()) {
    SendDemands(now < next_demand_);
  }
  if (!allocator_.ready()) return;
  if (now >= next_grant_ || allocator_.grants_urgent()) SendGrants();
}

void QuotaExchange::SendGrants() {
  next_grant_ = clock_->Now() + kPeriod;
  for (const std::string& name : allocator_.nodes()) {
    const auto last = last_.find(name);
    if (last == last_.end()) continue;
    std::vector<QuotaMessage> parts =
        GrantParts::Split(++sequence_, allocator_.SharesFor(name), kGrantValidMs);
    for (QuotaMessage& part : parts) {
      Deliver(name, last->second.nonce, std::move(part));
    }
  }
  allocator_.MarkGranted();
}

void QuotaExchange::SendDemands(bool urgent_only) {
  if (!urgent_only) next_demand_ = clock_->Now() + kPeriod;
  std::set<std::string> receivers(first_.begin(), first_.end());
  for (const std::string& name : allocator_.coordinators()) receivers.insert(name);
  if (!ranked_.empty()) receivers.insert(ranked_.front());
  receivers.erase(self_.instance);
  const auto nodes = static_cast<std::uint32_t>(allocator_.nodes().size());
  std::vector<QuotaMessage> messages;
  std::size_t bytes = kEntryBytes;
  const auto append = [&] {
    messages.emplace_back();
    messages.back().mutable_demand()->set_data_centre(self_.data_centre);
    messages.back().mutable_demand()->set_nodes(nodes);
    bytes = 0;
  };
  append();
  for (TeamDemand& demand : allocator_.TakeDemands(urgent_only)) {
    const std::size_t size = demand.ByteSizeLong() + 3;
    if (bytes + size > kEntryBytes) append();
    bytes += size;
    *messages.back().mutable_demand()->add_demands() = std::move(demand);
  }
  for (QuotaMessage& message : messages) message.set_sequence(++sequence_);
  for (const std::string& name : receivers) {
    for (const QuotaMessage& message : messages) Deliver(name, 0, message);
  }
}

void QuotaExchange::Deliver(const std::string& name, std::uint64_t nonce,
                            QuotaMessage message) {
  GossipDatagram datagram;
  datagram.set_kind(GOSSIP_QUOTA);
  datagram.set_nonce(nonce);
  datagram.set_sender(self_.instance);
  datagram.set_incarnation(self_.incarnation);
  *datagram.mutable_quota() = std::move(message);
  if (name == self_.instance) return OnDatagram(datagram);
  const auto member = members_.find(name);
  if (member == members_.end()) return;
  send_(member->second.gossip_address, datagram.SerializeAsString());
}

bool QuotaExchange::IsNew(const GossipDatagram& datagram) {
  LastMessage& last = last_[datagram.sender()];
  if (datagram.incarnation() < last.incarnation) return false;
  if (datagram.incarnation() == last.incarnation &&
      datagram.quota().sequence() <= last.sequence) {
    return false;
  }
  last.incarnation = datagram.incarnation();
  last.sequence = datagram.quota().sequence();
  return true;
}

void QuotaExchange::OnDatagram(const GossipDatagram& datagram) {
  const QuotaMessage& message = datagram.quota();
  if (message.has_grant()) return OnGrant(datagram);
  // Others are counted in no number of nodes.
  if (members_.count(datagram.sender()) == 0 || !IsNew(datagram)) return;
  if (message.has_usage()) {
    last_[datagram.sender()].nonce = datagram.nonce();
    allocator_.OnReport(datagram.sender(), datagram.incarnation(), message.usage());
  } else if (message.has_demand()) {
    // A coordinator that begins waits for the demand of the others.
    if (allocator_.OnDemand(datagram.sender(), message.demand())) {
      next_demand_ = clock_->Now();
    }
  }
  if (datagram.sender() != self_.instance) Coordinate();
}

void QuotaExchange::OnGrant(const GossipDatagram& datagram) {
  const bool from_preferred = preferred_ && preferred_->name == datagram.sender();
  const bool from_current = current_ && current_->name == datagram.sender();
  const bool from_previous = previous_ && previous_->name == datagram.sender();
  if (!from_preferred && !from_current && !from_previous) return;
  const auto report = std::find_if(
      sent_.begin(), sent_.end(),
      [&datagram](const SentReport& sent) { return sent.nonce == datagram.nonce(); });
  if (report == sent_.end()) return;
  const auto grant =
      grants_.Add(datagram.sender(), datagram.incarnation(), datagram.quota());
  if (!grant) return;
  const SteadyTime now = clock_->Now();
  const SteadyTime valid_until = report->sent + std::chrono::milliseconds(std::min(
                                                    grant->valid_ms(), kGrantValidMs));
  if (now >= valid_until) return;
  if (!from_current) {
    // The first coordinator answers again, or answered late.
    current_ = std::move(from_preferred ? preferred_ : previous_);
    silent_.erase(current_->name);
    preferred_.reset();
    previous_.reset();
    next_report_ = now;
  }
  current_->granted = now;
  limiter_->SetGrant({grant->shares().begin(), grant->shares().end()},
                     report->sent + kOverdue, valid_until);
}

}  // namespace quetzal
