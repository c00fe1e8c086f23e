#include "control/intent_id.h"

#include <charconv>

#include "base/concat.h"
#include "base/result_code.h"
#include "configuration/configuration_check.h"

namespace quetzal {

IntentId ParseIntentId(const std::string& id) {
  IntentId parsed;
  const char* end = id.data() + id.size();
  const auto [last, ec] = std::from_chars(id.data(), end, parsed.number);
  if (ec == std::errc() && last != end && *last == '-' && last != id.data() &&
      id.size() <= kMaxIntentIdLength) {
    parsed.text.assign(last + 1, end);
    if (IsLegalName(parsed.text)) return parsed;
  }
  throw Error(ResultCode::kIntentMalformed,
              Concat("The intent id '", id.substr(0, kMaxIntentIdLength),
                     "' is not of the form <number>-<text>, such as 12-new-route; the "
                     "text is made of a-z, 0-9, '-', '_' and '.', and the whole has at "
                     "most ",
                     kMaxIntentIdLength, " characters."));
}

}  // namespace quetzal
