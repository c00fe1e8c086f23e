#include "distribution/departure_link.h"

#include <algorithm>

namespace quetzal {
namespace {

/// Two attempts fit into the time for which a backend server waits.
constexpr Duration kTimeout = std::chrono::milliseconds(350);

}  // namespace

void DepartureLink::Record(const ServerDeparture& departure) { due_ = departure; }

bool DepartureLink::IsRecorded(const ServerDeparture& departure) const {
  if (departure.id().empty()) return true;
  const auto it = recorded_.find(departure.id());
  return it != recorded_.end() && it->second >= departure.last_start_ms();
}

void DepartureLink::Tick() {
  const bool due = !IsRecorded(due_);
  if (stopped_ || asked_ || (learned_ && !due)) return;
  const std::vector<Endpoint> targets = dependencies_.control_instances();
  if (targets.empty()) return;
  DepartureRequest request;
  request.set_instance(instance_);
  if (due) *request.mutable_departure() = due_;
  asked_ = true;
  dependencies_.rpc_client->Call(
      targets[next_target_ % targets.size()], kDeparturesMethod,
      request.SerializeAsString(), kTimeout,
      [weak = weak_from_this(), executor = dependencies_.executor](
          ResultCode code, const std::string& body) {
        executor->Post([weak, code, body] {
          const auto self = weak.lock();
          if (self != nullptr && !self->stopped_) self->OnReply(code, body);
        });
      });
}

void DepartureLink::OnReply(ResultCode code, const std::string& body) {
  asked_ = false;
  DepartureAnswer answer;
  if (code != ResultCode::kOk || !answer.ParseFromString(body)) {
    ++next_target_;
    return;
  }
  learned_ = true;
  for (const ServerDeparture& it : answer.departures()) {
    std::int64_t& last_start = recorded_[it.id()];
    last_start = std::max(last_start, it.last_start_ms());
    dependencies_.on_departure(it);
  }
  dependencies_.on_answer();
}

}  // namespace quetzal
