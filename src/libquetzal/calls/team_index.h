#ifndef QUETZAL_CALLS_TEAM_INDEX_H_
#define QUETZAL_CALLS_TEAM_INDEX_H_

#include <memory>
#include <string_view>
#include <vector>

#include "configuration.pb.h"

namespace quetzal {

/// Finds the team that a credential belongs to in one configuration. Immutable.
class TeamIndex {
 public:
  explicit TeamIndex(std::shared_ptr<const Configuration> configuration);

  /// Null when no team has the credential.
  const Team* Find(std::string_view credential) const;

  /// False: the configuration has no teams, and requests need no credential.
  bool has_teams() const { return !configuration_->teams().empty(); }

 private:
  struct Entry {
    std::string_view digest;
    const Team* team;
  };

  std::shared_ptr<const Configuration> configuration_;
  std::vector<Entry> entries_;  ///< Sorted by digest.
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_TEAM_INDEX_H_
