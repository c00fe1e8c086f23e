#ifndef QUETZAL_CONTROL_INTENT_ID_H_
#define QUETZAL_CONTROL_INTENT_ID_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace quetzal {

constexpr std::size_t kMaxIntentIdLength = 63;

/// Id of an intent: "<number>-<text>". The number is the next intent number that a
/// control instance reported; it orders the ids, so that those of dropped records can
/// still be recognized as expired. The text is chosen by the client.
struct IntentId {
  std::uint64_t number = 0;
  std::string text;
};

/// Throws Error(kIntentMalformed).
IntentId ParseIntentId(const std::string& id);

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_INTENT_ID_H_
