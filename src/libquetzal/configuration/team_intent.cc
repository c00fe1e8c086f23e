#include "configuration/team_intent.h"

#include <set>
#include <string>

#include "base/concat.h"
#include "configuration/configuration_limits.h"
#include "configuration/credential.h"

namespace quetzal {

void ReadTeam(const JsonCursor& cursor, Team* team) {
  cursor.ExpectObject({"name", "keys", "priority", "requests_per_second", "burst"});
  team->set_name(cursor.At("name").Name());
  std::set<std::string> digests;
  for (const JsonCursor& key :
       cursor.At("keys").Secret().Elements(kMaxCredentialsOfTeam)) {
    const std::string text = key.Text(kMaxCredentialBytes);
    if (!IsLegalCredential(text)) key.Refuse("a text of visible ASCII characters");
    if (!digests.insert(CredentialDigest(text)).second) key.Refuse("each key once");
  }
  for (const std::string& digest : digests) team->add_credential_digests(digest);
  if (cursor.Has("priority")) {
    team->set_priority(cursor.At("priority").Integer(0, kMaxPriority));
  }
  if (cursor.Has("requests_per_second")) {
    team->set_requests_per_second(
        cursor.At("requests_per_second").Number(0, kMaxTeamRequestsPerSecond));
  }
  if (cursor.Has("burst")) team->set_burst(cursor.At("burst").Number(0, kMaxTeamBurst));
}

}  // namespace quetzal
