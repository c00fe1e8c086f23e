#include <algorithm>
#include <utility>

#include "distribution/node_distribution_core.h"
#include "membership/endpoint_text.h"

namespace quetzal {
namespace {

/// Dead nodes keep their part of the quotas for this time, as they may only be cut off.
constexpr Duration kDeadNodeTime = std::chrono::minutes(1);
constexpr Duration kMembersPeriod = std::chrono::seconds(5);
/// A node that has run for longer than this knows the fleet.
constexpr Duration kStartTime = std::chrono::seconds(10);

}  // namespace

void NodeDistribution::Core::RefreshQuotas() {
  if (dependencies_.team_limiter == nullptr) return;
  TeamLimits limits;
  for (const Team& team : configuration_.configuration().configuration->teams()) {
    limits.push_back({team.name(), team.requests_per_second(), team.burst()});
  }
  const bool any = std::any_of(limits.begin(), limits.end(), [](const TeamLimit& limit) {
    return limit.per_second > 0;
  });
  // Teams without a quota are counted too, so that what they have used is known when they
  // get one.
  dependencies_.team_limiter->SetLimits(limits);
  if (!any) {
    quota_timer_.reset();
    quotas_.reset();
    quota_coordinator_.clear();
    membership_link_->SetQuotaReceiver(nullptr);
    return;
  }
  if (quotas_ == nullptr) {
    const bool knows_fleet =
        membership_->joined() && dependencies_.clock->Now() - started_at_ >= kStartTime;
    quotas_ = std::make_unique<QuotaExchange>(
        QuotaIdentity{identity_.instance, identity_.data_centre, identity_.incarnation,
                      knows_fleet},
        dependencies_.team_limiter, dependencies_.clock,
        [this](const std::string& address, std::string bytes) {
          if (const auto to = TryEndpoint(address)) {
            membership_link_->Send(*to, std::move(bytes));
          }
        });
    membership_link_->SetQuotaReceiver(
        [this](const GossipDatagram& datagram) { quotas_->OnDatagram(datagram); });
    quota_timer_ =
        dependencies_.executor->Every(QuotaExchange::kTick, [weak = weak_from_this()] {
          auto core = weak.lock();
          if (core == nullptr || core->stopped_ || core->quotas_ == nullptr) return;
          core->TickQuotas();
        });
  }
  quotas_->SetLimits(limits);
  RefreshQuotaMembers();
}

void NodeDistribution::Core::TickQuotas() {
  quotas_->Tick();
  if (quotas_->coordinator() == quota_coordinator_) return;
  quota_coordinator_ = quotas_->coordinator();
  Emit("quota.coordinator", {{"peer", quota_coordinator_}});
}

void NodeDistribution::Core::RefreshQuotaMembers() {
  if (quotas_ == nullptr) return;
  const SteadyTime now = dependencies_.clock->Now();
  next_quota_members_ = now + kMembersPeriod;
  std::vector<QuotaMember> members;
  for (const auto& [name, entry] : membership_->table().entries()) {
    const Member& member = entry.member;
    if (member.control()) continue;
    const bool alive = TakesPart(member);
    const bool counts =
        alive || (member.state() == MEMBER_DEAD && now - entry.changed < kDeadNodeTime);
    if (!counts) continue;
    members.push_back({name, member.data_centre(), member.gossip_address(), alive});
  }
  quotas_->SetMembers(std::move(members), membership_->joined());
}

}  // namespace quetzal
