#include "configuration/rollout_change.h"

#include <utility>

#include "base/concat.h"
#include "base/result_code.h"
#include "configuration/configuration_limits.h"
#include "configuration/named_list.h"
#include "configuration/rollout_list.h"

namespace quetzal {
namespace {

std::unique_ptr<ConfigurationChange> PlanRollBack(const Rollout* last,
                                                  const std::string& service) {
  if (last == nullptr || last->state() == ROLLOUT_COMPLETE) {
    throw Error(ResultCode::kPlanRefused,
                Concat("No rollout of the service ", service, " is in progress."));
  }
  if (last->state() == ROLLOUT_ROLLED_BACK) return nullptr;
  Rollout rollout = *last;
  rollout.set_state(ROLLOUT_ROLLED_BACK);
  rollout.set_reason("rolled back by an operator");
  return std::make_unique<RolloutChange>(std::move(rollout));
}

}  // namespace

RolloutChange::RolloutChange(Rollout rollout) : rollout_(std::move(rollout)) {}

void RolloutChange::Apply(Configuration* configuration) const {
  PutRollout(rollout_, configuration);
}

std::string RolloutChange::Describe() const {
  if (rollout_.state() == ROLLOUT_ROLLED_BACK) {
    return Concat("Roll back the rollout of the service ", rollout_.service(),
                  ": servers of version ", rollout_.version(), " get no more requests.");
  }
  return Concat("Start a rollout of the service ", rollout_.service(), ": servers of ",
                "version ", rollout_.version(), " get at most ",
                rollout_.max_share_permille(),
                " of 1,000 requests until they are judged, and all within ",
                rollout_.duration_ms() / 1000, " s if they are good.");
}

std::unique_ptr<ConfigurationChange> PlanRollout(const Configuration& base,
                                                 const RolloutIntent& intent) {
  if (FindNamed(base.services(), intent.service()) == nullptr) {
    throw Error(ResultCode::kPlanRefused,
                Concat("No service is called ", intent.service(), "."));
  }
  const Rollout* last = FindRollout(base, intent.service());
  if (intent.roll_back()) return PlanRollBack(last, intent.service());
  if (last != nullptr && IsInProgress(last->state())) {
    if (last->version() == intent.version() &&
        last->duration_ms() == intent.duration_ms()) {
      return nullptr;
    }
    throw Error(ResultCode::kPlanRefused,
                Concat("The rollout of the service ", last->service(), " to version ",
                       last->version(), " is in progress."));
  }
  Rollout rollout;
  rollout.set_service(intent.service());
  rollout.set_version(intent.version());
  rollout.set_state(ROLLOUT_RUNNING);
  rollout.set_duration_ms(intent.duration_ms());
  rollout.set_max_share_permille(kDefaultRolloutSharePermille);
  return std::make_unique<RolloutChange>(std::move(rollout));
}

}  // namespace quetzal
