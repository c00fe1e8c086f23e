#include "configuration/team_check.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/concat.h"
#include "base/result_code.h"
#include "configuration/configuration_check.h"
#include "configuration/configuration_limits.h"
#include "configuration/credential.h"

namespace quetzal {
namespace {

[[noreturn]] void Refuse(const std::string& fault) {
  throw Error(ResultCode::kConfigurationInvalid, fault);
}

void CheckNames(const Configuration& configuration) {
  if (static_cast<std::size_t>(configuration.teams_size()) > kMaxTeams) {
    Refuse(Concat("number of teams is ", configuration.teams_size(), "; allowed is 0 to ",
                  kMaxTeams));
  }
  const std::string* before = nullptr;
  for (const Team& team : configuration.teams()) {
    if (!IsLegalName(team.name())) {
      Refuse(Concat("teams '", team.name(), "' is not a legal name"));
    }
    if (before != nullptr && !(*before < team.name())) {
      Refuse(Concat("teams: '", team.name(), "' is out of order or listed twice"));
    }
    before = &team.name();
  }
}

void CheckQuota(const Team& team, const char* field, double value, double max) {
  // The negation also covers a value that is not a number.
  if (value >= 0 && value <= max) return;
  Refuse(Concat("team '", team.name(), "': ", field, " is ", value, "; allowed is 0 to ",
                max));
}

void CheckTeam(const Team& team) {
  const auto& digests = team.credential_digests();
  const auto count = static_cast<std::size_t>(digests.size());
  if (count > kMaxCredentialsOfTeam) {
    Refuse(Concat("team '", team.name(), "': number of credentials is ", count,
                  "; allowed is 0 to ", kMaxCredentialsOfTeam));
  }
  for (auto digest = digests.begin(); digest != digests.end(); ++digest) {
    if (digest->size() != kCredentialDigestBytes) {
      Refuse(Concat("team '", team.name(), "': a credential has no SHA-256 digest"));
    }
    if (digest != digests.begin() && !(*std::prev(digest) < *digest)) {
      Refuse(Concat("team '", team.name(),
                    "': credentials are out of order or listed twice"));
    }
  }
  if (team.priority() > kMaxPriority) {
    Refuse(Concat("team '", team.name(), "': priority is ", team.priority(),
                  "; allowed is 0 to ", kMaxPriority));
  }
  CheckQuota(team, "requests_per_second", team.requests_per_second(),
             kMaxTeamRequestsPerSecond);
  CheckQuota(team, "burst", team.burst(), kMaxTeamBurst);
}

// A credential of two teams would leave open whose quota and data a request uses.
void CheckDistinctCredentials(const Configuration& configuration) {
  std::vector<std::pair<std::string_view, const Team*>> owners;
  for (const Team& team : configuration.teams()) {
    for (const std::string& digest : team.credential_digests()) {
      owners.emplace_back(digest, &team);
    }
  }
  // Teams come in the order of their names, so equal digests stay in it.
  std::stable_sort(owners.begin(), owners.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  const auto same =
      std::adjacent_find(owners.begin(), owners.end(),
                         [](const auto& a, const auto& b) { return a.first == b.first; });
  if (same == owners.end()) return;
  Refuse(Concat("teams '", same->second->name(), "' and '",
                std::next(same)->second->name(), "' share a credential"));
}

}  // namespace

void CheckTeams(const Configuration& configuration) {
  CheckNames(configuration);
  for (const Team& team : configuration.teams()) CheckTeam(team);
  CheckDistinctCredentials(configuration);
}

}  // namespace quetzal
