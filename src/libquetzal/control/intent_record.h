#ifndef QUETZAL_CONTROL_INTENT_RECORD_H_
#define QUETZAL_CONTROL_INTENT_RECORD_H_

#include <cstdint>
#include <string>

#include "base/result_code.h"
#include "control.pb.h"

namespace quetzal {

ControlResult MakeResult(ResultCode code, std::string message);

/// The result of a request about `record` in its current state.
ControlResult ResultFor(const IntentRecord& record);

/// Closes the intent in `state` and drops its content.
void CloseIntent(IntentState state, ResultCode code, std::string reason,
                 std::uint64_t micros, IntentRecord* record);

/// True while the plan waits to be confirmed or cancelled.
bool IsOpen(const IntentRecord& record);

/// True for a confirmed change of the control instances that is neither done nor given
/// up.
bool IsUnderWay(const IntentRecord& record);

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_INTENT_RECORD_H_
