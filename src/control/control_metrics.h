#ifndef QUETZAL_CONTROL_CONTROL_METRICS_H_
#define QUETZAL_CONTROL_CONTROL_METRICS_H_

#include <vector>

#include "agreement/agreement_service.h"
#include "base/metrics.h"
#include "control/control_service.h"
#include "control/intent_machine.h"
#include "control/rollout_controller.h"
#include "distribution/publisher.h"

namespace quetzal {

/// Returns the metrics of a control instance. Call on the executor of `service`.
std::vector<Metric> ControlMetrics(const AgreementService& agreement,
                                   const IntentMachine& machine,
                                   const ControlService& service,
                                   const Publisher& publisher,
                                   const RolloutController& rollouts);

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_CONTROL_METRICS_H_
