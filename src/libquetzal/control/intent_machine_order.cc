// The part of IntentMachine that applies orders, which replace the whole configuration.
#include <algorithm>
#include <utility>

#include "base/concat.h"
#include "base/result_code.h"
#include "configuration/configuration_check.h"
#include "configuration/configuration_delta.h"
#include "configuration/rollout_list.h"
#include "control/intent_machine.h"
#include "control/intent_record.h"
#include "control/order_content.h"

namespace quetzal {

ControlResult IntentMachine::Replace(const Version& at, const ControlEntry& entry) {
  const ReplaceConfiguration& order = entry.replace();
  // An operator that got no answer resends the same order, possibly after later orders.
  if (IsAcceptedLocked(order)) return MakeResult(ResultCode::kOk, "Accepted before.");
  if (order.base() != order_number_) {
    return MakeResult(ResultCode::kPlanOutdated,
                      Concat("Not run: the order is based on number ", order.base(),
                             ", but the current number is ", order_number_, "."));
  }
  if (order.number() <= order_number_) {
    return MakeResult(ResultCode::kConfigurationInvalid,
                      Concat("Not run: the order's number ", order.number(),
                             " is not above the current number ", order_number_, "."));
  }
  Configuration next;
  CopyAllButNamedLists(*configuration_, &next);
  std::string bytes;
  try {
    ReplacedContent content;
    bytes = UnpackOrder(order, {order_number_, replaced_content_}, &content);
    next.mutable_services()->Swap(content.mutable_configuration()->mutable_services());
    next.mutable_routes()->Swap(content.mutable_configuration()->mutable_routes());
    RemoveOrphanedRollouts(&next);
    next.mutable_teams()->Swap(content.mutable_configuration()->mutable_teams());
    CheckConfiguration(next);
  } catch (const Error& error) {
    return MakeResult(error.code(), error.what());
  }
  SetConfigurationLocked(at, std::move(next));
  operator_version_ = at;
  AcceptLocked(order, std::move(bytes));
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

void IntentMachine::AcceptLocked(const ReplaceConfiguration& order, std::string content) {
  order_number_ = order.number();
  replaced_content_ = std::move(content);
  AcceptedOrder accepted;
  accepted.set_number(order.number());
  accepted.set_digest(order.digest());
  accepted_orders_.push_back(std::move(accepted));
  if (accepted_orders_.size() > retention_.accepted_orders) accepted_orders_.pop_front();
}

std::uint64_t IntentMachine::order_number() const {
  std::lock_guard lock(mutex_);
  return order_number_;
}

std::optional<std::string> IntentMachine::document() const {
  std::lock_guard lock(mutex_);
  if (order_number_ == 0) return std::nullopt;
  ReplacedContent content;
  content.ParseFromString(replaced_content_);
  return content.document();
}

ReplaceConfiguration IntentMachine::Pack(const ReplaceConfiguration& order) const {
  std::lock_guard lock(mutex_);
  return PackOrder(order, {order_number_, replaced_content_});
}

}  // namespace quetzal
