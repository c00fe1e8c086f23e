#ifndef QUETZAL_CONFIGURATION_ROUTE_CHANGE_H_
#define QUETZAL_CONFIGURATION_ROUTE_CHANGE_H_

#include <optional>
#include <string>

#include "configuration/configuration_change.h"

namespace quetzal {

/// Describes the requests that a route matches and its targets, as a phrase.
std::string DescribeTraffic(const Route& route);

/// Describes a whole route, as a phrase.
std::string DescribeRoute(const Route& route);

/// Adds, changes or removes a route.
class RouteChange final : public ConfigurationChange {
 public:
  /// Without `before` the route is added, without `after` it is removed. At least one of
  /// the two is set.
  RouteChange(std::optional<Route> before, std::optional<Route> after);

  void Apply(Configuration* configuration) const override;
  std::string Describe() const override;

 private:
  std::optional<Route> before_;
  std::optional<Route> after_;
};

}  // namespace quetzal

#endif  // QUETZAL_CONFIGURATION_ROUTE_CHANGE_H_
