#include "calls/route_matcher.h"

#include <utility>

namespace quetzal {
RouteMatcher::RouteMatcher(std::shared_ptr<const RoutingSnapshot> snapshot,
                           const RouteMatcher* previous)
    : snapshot_(std::move(snapshot)) {
  // Most snapshots differ from the previous one in their backend servers only.
  const bool same_configuration =
      previous != nullptr &&
      previous->index_->configuration() == snapshot_->configuration;
  index_ = same_configuration
               ? previous->index_
               : std::make_shared<const RouteIndex>(snapshot_->configuration);
  teams_ = same_configuration
               ? previous->teams_
               : std::make_shared<const TeamIndex>(snapshot_->configuration);
  for (const BackendTarget& target : snapshot_->targets) {
    targets_[target.service].push_back(&target);
    if (target.state == SERVER_UP) available_.insert(target.service);
  }
}

std::string_view RouteMatcher::PickService(const Route& route, double unit) const {
  std::uint64_t total = 0;
  std::uint64_t available = 0;
  for (const Target& target : route.targets()) {
    total += target.weight();
    if (route.fixed_shares() || HasAvailableInstance(target.service())) {
      available += target.weight();
    }
  }
  if (total == 0) return {};
  const std::uint64_t sum = available > 0 ? available : total;
  auto left = static_cast<std::uint64_t>(unit * static_cast<double>(sum));
  std::string_view last;
  for (const Target& target : route.targets()) {
    if (target.weight() == 0) continue;
    const bool eligible =
        available == 0 || route.fixed_shares() || HasAvailableInstance(target.service());
    if (!eligible) continue;
    if (left < target.weight()) return target.service();
    left -= target.weight();
    last = target.service();
  }
  return last;
}

bool RouteMatcher::HasAvailableInstance(std::string_view service) const {
  return available_.count(service) > 0;
}

const std::vector<const BackendTarget*>& RouteMatcher::Targets(
    std::string_view service) const {
  static const std::vector<const BackendTarget*> none;
  auto it = targets_.find(service);
  return it == targets_.end() ? none : it->second;
}

}  // namespace quetzal
