// The part of IntentMachine that replaces the configuration as a whole.
#include <algorithm>
#include <utility>

#include "base/concat.h"
#include "base/result_code.h"
#include "configuration/configuration_check.h"
#include "control/intent_machine.h"
#include "control/intent_record.h"

namespace quetzal {

ControlResult IntentMachine::Replace(const Version& at, const ControlEntry& entry) {
  const ReplaceConfiguration& order = entry.replace();
  // An operator who lost the answer sends the same order again, also after later ones.
  if (IsAcceptedLocked(order)) return MakeResult(ResultCode::kOk, "Accepted before.");
  if (order.base() != order_number_) {
    return MakeResult(ResultCode::kPlanOutdated,
                      Concat("Not run: it builds on ", order.base(), ", but ",
                             order_number_, " is in force."));
  }
  if (order.number() <= order_number_) {
    return MakeResult(ResultCode::kConfigurationInvalid,
                      Concat("Not run: its number ", order.number(), " is not above ",
                             order_number_, "."));
  }
  Configuration next = *configuration_;
  *next.mutable_services() = order.configuration().services();
  *next.mutable_routes() = order.configuration().routes();
  try {
    CheckConfiguration(next);
  } catch (const Error& error) {
    return MakeResult(error.code(), error.what());
  }
  SetConfigurationLocked(at, std::move(next));
  operator_version_ = at;
  AcceptLocked(order);
  HistoryItem item;
  *item.mutable_version() = at;
  item.set_wall_micros(entry.wall_micros());
  item.set_reason(Concat("configuration ", order.number(), " of the operators"));
  AddHistoryLocked(std::move(item));
  return MakeResult(ResultCode::kOk, "");
}

bool IntentMachine::IsAcceptedLocked(const ReplaceConfiguration& order) const {
  return std::any_of(accepted_orders_.begin(), accepted_orders_.end(),
                     [&order](const AcceptedOrder& accepted) {
                       return accepted.number() == order.number() &&
                              accepted.digest() == order.digest();
                     });
}

void IntentMachine::AcceptLocked(const ReplaceConfiguration& order) {
  order_number_ = order.number();
  document_ = order.document();
  AcceptedOrder accepted;
  accepted.set_number(order.number());
  accepted.set_digest(order.digest());
  accepted_orders_.push_back(std::move(accepted));
  if (accepted_orders_.size() > retention_.accepted_orders) accepted_orders_.pop_front();
}

std::optional<std::string> IntentMachine::document() const {
  std::lock_guard lock(mutex_);
  if (order_number_ == 0) return std::nullopt;
  return document_;
}

}  // namespace quetzal
