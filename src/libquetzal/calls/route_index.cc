#include "calls/route_index.h"

#include <algorithm>
#include <cctype>
#include <functional>
#include <set>
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

/// Sort key of routes with the same prefix: more specific routes come first.
std::pair<bool, bool> Breadth(const Route& route) {
  return {route.host().empty(), route.methods().empty()};
}

}  // namespace

// The index is rebuilt with every change of the configuration; a sorted vector takes a
// fraction of the time and memory of nested maps.
RouteIndex::RouteIndex(std::shared_ptr<const Configuration> configuration)
    : configuration_(std::move(configuration)) {
  std::set<std::size_t, std::greater<>> lengths;
  entries_.reserve(static_cast<std::size_t>(configuration_->routes_size()));
  for (const Route& route : configuration_->routes()) {
    entries_.push_back({route.path_prefix(), &route});
    lengths.insert(route.path_prefix().size());
  }
  lengths_.assign(lengths.begin(), lengths.end());
  std::stable_sort(entries_.begin(), entries_.end(), IsBefore);
  for (const Service& service : configuration_->services()) {
    services_[service.name()] = &service;
  }
  double quota_sum = 0;
  for (const Team& team : configuration_->teams()) {
    if (team.requests_per_second() <= 0) continue;
    quotas_[team.name()] = team.requests_per_second();
    quota_sum += team.requests_per_second();
  }
  if (!quotas_.empty()) mean_quota_ = quota_sum / static_cast<double>(quotas_.size());
}

bool RouteIndex::IsBefore(const Entry& a, const Entry& b) {
  const int order = a.prefix.compare(b.prefix);
  return order != 0 ? order < 0 : Breadth(*a.route) < Breadth(*b.route);
}

const Route* RouteIndex::Match(std::string_view host, std::string_view path,
                               std::string_view method) const {
  for (const std::size_t length : lengths_) {
    if (length > path.size() || !EndsAtSegment(path, length)) continue;
    const std::string_view prefix = path.substr(0, length);
    auto it = std::lower_bound(
        entries_.begin(), entries_.end(), prefix,
        [](const Entry& entry, std::string_view text) { return entry.prefix < text; });
    for (; it != entries_.end() && it->prefix == prefix; ++it) {
      if (HostMatches(*it->route, host) && MethodMatches(*it->route, method)) {
        return it->route;
      }
    }
  }
  return nullptr;
}

double RouteIndex::TeamWeight(std::string_view team) const {
  const auto it = quotas_.find(team);
  return it == quotas_.end() ? mean_quota_ : it->second;
}

const Service* RouteIndex::FindService(std::string_view name) const {
  const auto it = services_.find(name);
  return it == services_.end() ? nullptr : it->second;
}

}  // namespace quetzal
