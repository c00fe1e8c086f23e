#ifndef QUETZAL_CONTROL_EXPLANATION_H_
#define QUETZAL_CONTROL_EXPLANATION_H_

#include <string>
#include <vector>

#include "configuration.pb.h"
#include "control/convergence_tracker.h"
#include "control/plan_warnings.h"

namespace quetzal {

/// Explains how requests to `service` are routed; covers all services when it is empty.
std::vector<std::string> ExplainService(const std::string& service,
                                        const Configuration& configuration,
                                        const std::vector<LiveInstance>& live_instances);

/// Explains where `version` is active and why it is not active everywhere yet, for
/// readers without a technical background.
std::vector<std::string> ExplainConvergence(const Version& version,
                                            const ConvergenceReport& report,
                                            SteadyTime now);

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_EXPLANATION_H_
