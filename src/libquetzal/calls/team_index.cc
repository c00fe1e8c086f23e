#include "calls/team_index.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>

#include "configuration/credential.h"

namespace quetzal {

// A sorted vector takes less memory than a hash table, and is searched in a fraction of
// the time that the digest takes.
TeamIndex::TeamIndex(std::shared_ptr<const Configuration> configuration)
    : configuration_(std::move(configuration)) {
  std::size_t count = 0;
  for (const Team& team : configuration_->teams()) {
    count += static_cast<std::size_t>(team.credential_digests_size());
  }
  entries_.reserve(count);
  for (const Team& team : configuration_->teams()) {
    for (const std::string& digest : team.credential_digests()) {
      entries_.push_back({digest, &team});
    }
  }
  std::sort(entries_.begin(), entries_.end(),
            [](const Entry& a, const Entry& b) { return a.digest < b.digest; });
}

const Team* TeamIndex::Find(std::string_view credential) const {
  const std::string digest = CredentialDigest(credential);
  const auto it = std::lower_bound(entries_.begin(), entries_.end(), digest,
                                   [](const Entry& entry, const std::string& wanted) {
                                     return entry.digest < wanted;
                                   });
  return it == entries_.end() || it->digest != digest ? nullptr : it->team;
}

}  // namespace quetzal
