#include "configuration/rollout_list.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace quetzal {

const Rollout* FindRollout(const Configuration& configuration,
                           const std::string& service) {
  const auto& rollouts = configuration.rollouts();
  const auto it = std::find_if(
      rollouts.begin(), rollouts.end(),
      [&service](const Rollout& rollout) { return rollout.service() == service; });
  return it == rollouts.end() ? nullptr : &*it;
}

void PutRollout(const Rollout& rollout, Configuration* configuration) {
  auto* const rollouts = configuration->mutable_rollouts();
  for (Rollout& existing : *rollouts) {
    if (existing.service() != rollout.service()) continue;
    existing = rollout;
    return;
  }
  *rollouts->Add() = rollout;
  std::sort(rollouts->begin(), rollouts->end(),
            [](const Rollout& a, const Rollout& b) { return a.service() < b.service(); });
}

void RemoveOrphanedRollouts(Configuration* configuration) {
  std::set<std::string_view> services;
  for (const Service& service : configuration->services()) {
    services.insert(service.name());
  }
  auto* const rollouts = configuration->mutable_rollouts();
  rollouts->erase(std::remove_if(rollouts->begin(), rollouts->end(),
                                 [&services](const Rollout& rollout) {
                                   return services.count(rollout.service()) == 0;
                                 }),
                  rollouts->end());
}

bool IsInProgress(RolloutState state) {
  return state == ROLLOUT_RUNNING || state == ROLLOUT_SHIFTING;
}

bool IsAllowedTransition(RolloutState from, RolloutState to) {
  switch (to) {
    case ROLLOUT_SHIFTING:
      return from == ROLLOUT_RUNNING;
    case ROLLOUT_COMPLETE:
      return from == ROLLOUT_SHIFTING;
    case ROLLOUT_ROLLED_BACK:
      return IsInProgress(from);
    default:
      return false;
  }
}

const char* RolloutStateText(RolloutState state) {
  switch (state) {
    case ROLLOUT_RUNNING:
      return "running";
    case ROLLOUT_SHIFTING:
      return "shifting";
    case ROLLOUT_COMPLETE:
      return "complete";
    case ROLLOUT_ROLLED_BACK:
      return "rolled_back";
    default:
      return "unknown";
  }
}

}  // namespace quetzal
