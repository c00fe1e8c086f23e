#ifndef QUETZAL_CONFIGURATION_ROLLOUT_LIST_H_
#define QUETZAL_CONFIGURATION_ROLLOUT_LIST_H_

#include <string>

#include "configuration.pb.h"

namespace quetzal {

/// Returns the last rollout of `service`; null if there was none.
const Rollout* FindRollout(const Configuration& configuration,
                           const std::string& service);

/// Adds `rollout` in the place of the last one of its service; keeps the list sorted.
void PutRollout(const Rollout& rollout, Configuration* configuration);

/// Removes the rollouts of services that the configuration does not contain.
void RemoveOrphanedRollouts(Configuration* configuration);

/// Returns true until the rollout is complete or rolled back.
bool IsInProgress(RolloutState state);

/// Returns true when a rollout in state `from` may change to state `to`.
bool IsAllowedTransition(RolloutState from, RolloutState to);

/// Returns the name of a state for operators: running, shifting, complete, rolled_back.
const char* RolloutStateText(RolloutState state);

}  // namespace quetzal

#endif  // QUETZAL_CONFIGURATION_ROLLOUT_LIST_H_
