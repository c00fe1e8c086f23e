#ifndef QUETZAL_CONFIGURATION_TEAM_INTENT_H_
#define QUETZAL_CONFIGURATION_TEAM_INTENT_H_

#include "configuration.pb.h"
#include "configuration/json_cursor.h"

namespace quetzal {

/// Reads an element of the field `teams` of an intent file. Its keys are kept as digests.
/// Throws Error(kIntentMalformed), which never shows a key.
void ReadTeam(const JsonCursor& cursor, Team* team);

}  // namespace quetzal

#endif  // QUETZAL_CONFIGURATION_TEAM_INTENT_H_
