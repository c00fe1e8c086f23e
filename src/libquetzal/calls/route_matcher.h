#ifndef QUETZAL_CALLS_ROUTE_MATCHER_H_
#define QUETZAL_CALLS_ROUTE_MATCHER_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "calls/route_index.h"
#include "calls/routing_snapshot.h"
#include "calls/team_index.h"

namespace quetzal {

/// Finds the route of a request, and the backend servers of a service, in one snapshot.
/// Immutable.
class RouteMatcher {
 public:
  /// Reuses the indexes of `previous` when they are of the same configuration.
  explicit RouteMatcher(std::shared_ptr<const RoutingSnapshot> snapshot,
                        const RouteMatcher* previous = nullptr);

  /// Returns the route with the longest path prefix whose host and method match; at equal
  /// length a route that names a host wins, then one that names methods. Null when none
  /// matches. A prefix matches whole path segments: "/a" matches "/a", "/a/b" and "/a?q".
  const Route* Match(std::string_view host, std::string_view path,
                     std::string_view method) const {
    return index_->Match(host, path, method);
  }

  /// Picks one of the route's services by weight, among those with an available instance,
  /// or among all when none has one; `unit` is uniform in [0, 1). Empty when the route
  /// has no target with a weight.
  std::string_view PickService(const Route& route, double unit) const;

  const std::vector<const BackendTarget*>& Targets(std::string_view service) const;

  /// Null when the configuration has no such service.
  const Service* FindService(std::string_view name) const {
    return index_->FindService(name);
  }

  const TeamIndex& teams() const { return *teams_; }
  double TeamWeight(std::string_view team) const { return index_->TeamWeight(team); }

  const RoutingSnapshot& snapshot() const { return *snapshot_; }

 private:
  bool HasAvailableInstance(std::string_view service) const;

  std::shared_ptr<const RoutingSnapshot> snapshot_;
  std::shared_ptr<const RouteIndex> index_;
  std::shared_ptr<const TeamIndex> teams_;
  std::unordered_map<std::string_view, std::vector<const BackendTarget*>> targets_;
  std::unordered_set<std::string_view> available_;  ///< Services with an instance up.
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_ROUTE_MATCHER_H_
