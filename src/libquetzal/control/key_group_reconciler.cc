#include "control/key_group_reconciler.h"

#include <string>
#include <utility>

#include "base/result_code.h"
#include "key_records.pb.h"
#include "keys/key_holder_service.h"

namespace quetzal {
namespace {

constexpr Duration kPeriod = std::chrono::milliseconds(250);
constexpr Duration kStatusTimeout = std::chrono::seconds(1);

}  // namespace

void KeyGroupReconciler::Start() {
  timer_ = dependencies_.executor->Every(kPeriod, [this] { Check(); });
}

void KeyGroupReconciler::Check() {
  if (proposing_ || !dependencies_.agreement->leadership().leading) return;
  const auto configuration = dependencies_.machine->configuration();
  const Version version = dependencies_.machine->version();
  AskHolders(*configuration);
  const ConvergenceReport report = dependencies_.service->Report(version);
  auto change = planner_.Plan(*configuration, dependencies_.service->tracker(),
                              caught_up_, report.waiting.empty(),
                              dependencies_.clock->Now(), dependencies_.clock->WallNow());
  if (!change) return;
  *change->mutable_base() = version;
  Propose(*std::move(change));
}

void KeyGroupReconciler::AskHolders(const Configuration& configuration) {
  bool joint = false;
  for (const KeyGroup& group : configuration.key_groups()) {
    if (group.previous_size() == 0) continue;
    joint = true;
    KeyStatusRequest request;
    request.mutable_group()->set_data_centre(group.data_centre());
    request.mutable_group()->set_number(group.number());
    for (const KeyHolder& holder : group.members()) {
      const CaughtUpHolder entry{group.data_centre(), group.number(), group.generation(),
                                 holder.instance()};
      if (caught_up_.count(entry) > 0) continue;
      dependencies_.rpc_client->Call(
          ParseEndpoint(holder.stream_address()), kKeyStatusMethod,
          request.SerializeAsString(), kStatusTimeout,
          [this, entry](ResultCode code, const std::string& body) {
            KeyStatusReply reply;
            if (code != ResultCode::kOk || !reply.ParseFromString(body)) return;
            if (!reply.caught_up() || reply.generation() != std::get<2>(entry)) return;
            dependencies_.executor->Post([this, entry] { caught_up_.insert(entry); });
          });
    }
  }
  if (!joint) caught_up_.clear();
}

void KeyGroupReconciler::Propose(SystemChange change) {
  ControlEntry entry;
  const auto since_epoch = dependencies_.clock->WallNow().time_since_epoch();
  entry.set_wall_micros(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count()));
  *entry.mutable_system() = std::move(change);
  const std::string reason = entry.system().reason();
  proposing_ = true;
  // If the outcome is unknown, the next check starts from the committed configuration.
  dependencies_.agreement->Propose(
      entry.SerializeAsString(),
      [this, reason](ResultCode code, LogPosition, const std::string& bytes) {
        dependencies_.executor->Post([this, reason, code, bytes] {
          proposing_ = false;
          ControlResult result;
          result.ParseFromString(bytes);
          if (code != ResultCode::kOk || result.code() != 0) return;
          dependencies_.events->Emit({"keys.regrouped", {{"reason", reason}}});
        });
      });
}

}  // namespace quetzal
