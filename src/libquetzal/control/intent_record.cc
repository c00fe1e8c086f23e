#include "control/intent_record.h"

#include <utility>

namespace quetzal {

ControlResult MakeResult(ResultCode code, std::string message) {
  ControlResult result;
  result.set_code(static_cast<int>(code));
  result.set_message(std::move(message));
  return result;
}

ControlResult ResultFor(const IntentRecord& record) {
  ControlResult result = MakeResult(ResultCodeFromInt(record.code()), record.reason());
  *result.mutable_record() = record;
  return result;
}

void CloseIntent(IntentState state, ResultCode code, std::string reason,
                 std::uint64_t micros, IntentRecord* record) {
  record->set_state(state);
  record->set_code(static_cast<int>(code));
  record->set_reason(std::move(reason));
  record->set_closed_micros(micros);
  record->clear_content();
}

bool IsOpen(const IntentRecord& record) { return record.state() == INTENT_PLANNED; }

bool IsUnderWay(const IntentRecord& record) {
  return record.state() == INTENT_CONFIRMED && record.has_control_instance() &&
         !record.control_instance_done();
}

}  // namespace quetzal
