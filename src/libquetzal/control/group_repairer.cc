#include "control/group_repairer.h"

#include <algorithm>
#include <utility>

#include "base/result_code.h"

namespace quetzal {
namespace {

constexpr Duration kPeriod = std::chrono::milliseconds(500);
constexpr char kStoppingMethod[] = "/control/group/stopping";

/// Part of the time that a stop may take.
constexpr Duration kLeaveLimit = std::chrono::seconds(2);
constexpr Duration kLeavePeriod = std::chrono::milliseconds(100);
constexpr Duration kAnnounceTimeout = std::chrono::milliseconds(500);

}  // namespace

GroupRepairer::GroupRepairer(std::string instance, Dependencies dependencies,
                             const GroupRepairSettings& settings)
    : instance_(std::move(instance)),
      dependencies_(std::move(dependencies)),
      planner_(settings) {}

void GroupRepairer::Start() {
  dependencies_.rpc_server->Serve(
      kStoppingMethod, [this](const std::string& name, const RpcReply& reply) {
        dependencies_.executor->Post([this, name, reply] { OnStopping(name, reply); });
      });
  timer_ = dependencies_.executor->Every(kPeriod, [this] { Check(); });
}

void GroupRepairer::Stop() {
  timer_.reset();
  leave_timer_.reset();
}

void GroupRepairer::Check() {
  const LeadershipView view = dependencies_.agreement->leadership();
  if (busy_ || !view.leading) return;
  std::optional<MembershipChange> change =
      planner_.Next(dependencies_.agreement->group(), dependencies_.control_instances(),
                    dependencies_.is_dead_or_left, dependencies_.clock->Now());
  if (!change) return;
  change->term = view.term;
  busy_ = true;
  dependencies_.agreement->ProposeMembership(
      *change,
      [this, change = *change](ResultCode code, LogPosition, const std::string& text) {
        dependencies_.executor->Post([this, change, code, text] {
          busy_ = false;
          const bool added = change.kind == MembershipChangeKind::kAdd;
          dependencies_.events->Emit({added ? "group.add" : "group.remove",
                                      {{"peer", change.name},
                                       {"code", std::string(InfoOf(code).name)},
                                       {"reason", text}}});
          // Another change or another leader is in the way for a moment only.
          const bool later =
              code == ResultCode::kOverloaded || code == ResultCode::kNotLeader;
          if (code != ResultCode::kOk && !later) {
            planner_.OnRefused(change, dependencies_.clock->Now());
          }
          if (code != ResultCode::kOk) return;
          if (change.name == instance_ && !added) FinishLeave("removed");
        });
      });
}

bool GroupRepairer::InGroup(const std::string& name) const {
  const std::vector<GroupMember> group = dependencies_.agreement->group();
  return std::any_of(group.begin(), group.end(),
                     [&name](const GroupMember& it) { return it.name == name; });
}

bool GroupRepairer::MayBeRemoved(const std::string& name) const {
  return planner_.MayBeRemoved(dependencies_.agreement->group(),
                               dependencies_.control_instances(), name);
}

void GroupRepairer::Leave(std::function<void()> done) {
  on_left_ = std::move(done);
  if (!MayBeRemoved(instance_)) return FinishLeave("kept");
  leave_until_ = dependencies_.clock->Now() + kLeaveLimit;
  planner_.OnStopping(instance_, dependencies_.clock->Now());
  leave_timer_ = dependencies_.executor->Every(kLeavePeriod, [this] { AnnounceStop(); });
  AnnounceStop();
}

// Every member is told, since each may lead next and must not add this instance again.
void GroupRepairer::AnnounceStop() {
  if (dependencies_.clock->Now() >= leave_until_) return FinishLeave("timed_out");
  if (dependencies_.agreement->leadership().leading) {
    // A removal that is not committed yet has already left the log's last group.
    if (!busy_ && !MayBeRemoved(instance_)) return FinishLeave("kept");
    Check();
  }
  for (const GroupMember& member : dependencies_.agreement->group()) {
    if (member.name == instance_) continue;
    dependencies_.rpc_client->Call(member.endpoint, kStoppingMethod, instance_,
                                   kAnnounceTimeout,
                                   [this](ResultCode code, const std::string&) {
                                     dependencies_.executor->Post([this, code] {
                                       if (code == ResultCode::kOk)
                                         FinishLeave("removed");
                                       if (code == ResultCode::kPlanRefused)
                                         FinishLeave("kept");
                                     });
                                   });
  }
}

void GroupRepairer::FinishLeave(const char* outcome) {
  leave_timer_.reset();
  const std::function<void()> left = std::exchange(on_left_, nullptr);
  if (left == nullptr) return;
  dependencies_.events->Emit({"group.leave", {{"outcome", outcome}}});
  left();
}

// kOk: the removal of `name` is committed. kPlanRefused: the group keeps it. Otherwise it
// asks again.
void GroupRepairer::OnStopping(const std::string& name, const RpcReply& reply) {
  planner_.OnStopping(name, dependencies_.clock->Now());
  if (!dependencies_.agreement->leadership().leading) {
    return reply(ResultCode::kNotLeader, "");
  }
  if (InGroup(name)) {
    if (!MayBeRemoved(name)) return reply(ResultCode::kPlanRefused, "");
    Check();
  }
  if (busy_ || InGroup(name)) return reply(ResultCode::kPending, "");
  // The log may hold a removal that an earlier leader proposed.
  dependencies_.agreement->ReadBarrier([reply](ResultCode code) { reply(code, ""); });
}

}  // namespace quetzal
