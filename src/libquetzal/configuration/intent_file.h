#ifndef QUETZAL_CONFIGURATION_INTENT_FILE_H_
#define QUETZAL_CONFIGURATION_INTENT_FILE_H_

#include <cstddef>
#include <string>

#include "intent.pb.h"

namespace quetzal {

constexpr std::size_t kMaxIntentBytes = 262'144;
constexpr int kMaxIntentDepth = 8;
constexpr std::size_t kMaxDescriptionBytes = 200;
constexpr std::uint32_t kIntentFormatVersion = 1;

/// Parses the JSON text of an intent (docs/intents.md). `source` names the file in
/// errors. Throws Error(kIntentMalformed) or Error(kIntentTooLarge).
IntentContent ParseIntent(const std::string& source, const std::string& text);

}  // namespace quetzal

#endif  // QUETZAL_CONFIGURATION_INTENT_FILE_H_
