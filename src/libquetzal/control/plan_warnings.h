#ifndef QUETZAL_CONTROL_PLAN_WARNINGS_H_
#define QUETZAL_CONTROL_PLAN_WARNINGS_H_

#include <string>
#include <vector>

#include "configuration.pb.h"
#include "intent.pb.h"

namespace quetzal {

/// A live instance and the service of its backend server; empty when it has none.
struct LiveInstance {
  std::string instance;
  std::string data_centre;
  std::string service;
};

/// Warns, one sentence each, of changes in `content` that are allowed but risky. `base`
/// is the current configuration.
std::vector<std::string> WarningsOf(const Configuration& base,
                                    const IntentContent& content,
                                    const std::vector<LiveInstance>& live_instances);

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_PLAN_WARNINGS_H_
