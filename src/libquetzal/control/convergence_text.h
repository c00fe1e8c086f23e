#ifndef QUETZAL_CONTROL_CONVERGENCE_TEXT_H_
#define QUETZAL_CONTROL_CONVERGENCE_TEXT_H_

#include <string>
#include <vector>

#include "control/convergence_tracker.h"

namespace quetzal {

/// `duration` in seconds with three decimals, such as "0.018 s".
std::string DescribeSeconds(Duration duration);

/// Describes, one sentence each, how far `version` is applied and which proxies lack it.
std::vector<std::string> DescribeConvergence(const Version& version,
                                             const ConvergenceReport& report,
                                             SteadyTime now);

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_CONVERGENCE_TEXT_H_
