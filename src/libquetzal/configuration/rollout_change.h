#ifndef QUETZAL_CONFIGURATION_ROLLOUT_CHANGE_H_
#define QUETZAL_CONFIGURATION_ROLLOUT_CHANGE_H_

#include <memory>
#include <string>

#include "configuration/configuration_change.h"
#include "intent.pb.h"

namespace quetzal {

/// Starts a rollout of a service, or rolls back the one in progress.
class RolloutChange final : public ConfigurationChange {
 public:
  explicit RolloutChange(Rollout rollout);

  void Apply(Configuration* configuration) const override;
  std::string Describe() const override;

 private:
  Rollout rollout_;
};

/// Returns the change that `intent` asks for; null when `base` fulfils it already. The
/// log position and the time of a started rollout are not set. Throws
/// Error(kPlanRefused).
std::unique_ptr<ConfigurationChange> PlanRollout(const Configuration& base,
                                                 const RolloutIntent& intent);

}  // namespace quetzal

#endif  // QUETZAL_CONFIGURATION_ROLLOUT_CHANGE_H_
