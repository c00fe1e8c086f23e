#ifndef QUETZAL_CALLS_ROUTE_INDEX_H_
#define QUETZAL_CALLS_ROUTE_INDEX_H_

#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "configuration.pb.h"

namespace quetzal {

/// Finds routes by host, path and method, and services by name, in one configuration.
/// Immutable.
class RouteIndex {
 public:
  explicit RouteIndex(std::shared_ptr<const Configuration> configuration);

  /// See RouteMatcher::Match.
  const Route* Match(std::string_view host, std::string_view path,
                     std::string_view method) const;

  /// Null when the configuration has no such service.
  const Service* FindService(std::string_view name) const;

  /// The team's share of a server that is full, relative to other teams: its quota, or
  /// the mean quota for a team without one; 1 when there are no quotas.
  double TeamWeight(std::string_view team) const;

  const std::shared_ptr<const Configuration>& configuration() const {
    return configuration_;
  }

 private:
  struct Entry {
    std::string_view prefix;
    const Route* route;
  };
  static bool IsBefore(const Entry& a, const Entry& b);

  std::shared_ptr<const Configuration> configuration_;
  std::vector<Entry> entries_;        ///< By prefix, more specific routes first.
  std::vector<std::size_t> lengths_;  ///< Distinct prefix lengths, longest first.
  std::unordered_map<std::string_view, const Service*> services_;
  std::unordered_map<std::string_view, double> quotas_;  ///< Of the teams that have one.
  double mean_quota_ = 1;
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_ROUTE_INDEX_H_
