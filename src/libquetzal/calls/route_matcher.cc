#include "calls/route_matcher.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace quetzal {
namespace {

/// Host without its port.
std::string_view HostName(std::string_view host) {
  if (!host.empty() && host[0] == '[') return host.substr(0, host.find(']') + 1);
  return host.substr(0, host.find(':'));
}

bool EqualIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
    return std::tolower(static_cast<unsigned char>(x)) ==
           std::tolower(static_cast<unsigned char>(y));
  });
}

bool HostMatches(const Route& route, std::string_view host) {
  return route.host().empty() || EqualIgnoringCase(route.host(), host) ||
         EqualIgnoringCase(route.host(), HostName(host));
}

bool MethodMatches(const Route& route, std::string_view method) {
  if (route.methods().empty()) return true;
  return std::find(route.methods().begin(), route.methods().end(), method) !=
         route.methods().end();
}

bool EndsAtSegment(std::string_view path, std::size_t length) {
  if (length == path.size() || length == 0) return true;
  return path[length - 1] == '/' || path[length] == '/' || path[length] == '?';
}

/// Narrower routes of one prefix come first.
std::pair<bool, bool> Breadth(const Route& route) {
  return {route.host().empty(), route.methods().empty()};
}

}  // namespace

RouteMatcher::RouteMatcher(std::shared_ptr<const RoutingSnapshot> snapshot)
    : snapshot_(std::move(snapshot)) {
  for (const Route& route : snapshot_->configuration->routes()) {
    const std::string_view prefix = route.path_prefix();
    by_length_[prefix.size()][prefix].push_back(&route);
  }
  for (auto& [length, prefixes] : by_length_) {
    for (auto& [prefix, routes] : prefixes) {
      std::stable_sort(routes.begin(), routes.end(), [](const Route* a, const Route* b) {
        return Breadth(*a) < Breadth(*b);
      });
    }
  }
  for (const BackendTarget& target : snapshot_->targets) {
    targets_[target.service].push_back(&target);
    if (target.state == SERVER_UP) available_.insert(target.service);
  }
  for (const Service& service : snapshot_->configuration->services()) {
    services_[service.name()] = &service;
  }
}

const Route* RouteMatcher::Match(std::string_view host, std::string_view path,
                                 std::string_view method) const {
  for (const auto& [length, prefixes] : by_length_) {
    if (length > path.size() || !EndsAtSegment(path, length)) continue;
    auto it = prefixes.find(path.substr(0, length));
    if (it == prefixes.end()) continue;
    for (const Route* route : it->second) {
      if (HostMatches(*route, host) && MethodMatches(*route, method)) return route;
    }
  }
  return nullptr;
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

const Service* RouteMatcher::FindService(std::string_view name) const {
  auto it = services_.find(name);
  return it == services_.end() ? nullptr : it->second;
}

}  // namespace quetzal
