#ifndef QUETZAL_CONTROL_INTENT_PROGRESS_H_
#define QUETZAL_CONTROL_INTENT_PROGRESS_H_

#include <map>
#include <string>
#include <vector>

#include "control.pb.h"
#include "control/convergence_tracker.h"
#include "control/intent_events.h"

namespace quetzal {

/// Describes the progress of an intent so far, one sentence each, in the order of
/// time. `events` are those that the control instance `instance` keeps of it; the
/// decision is in `record`, which all control instances share.
std::vector<std::string> DescribeIntentProgress(const IntentRecord& record,
                                                const std::vector<TimedEvent>& events,
                                                const std::string& instance);

/// Describes which live nodes have applied `version` or a newer configuration, one
/// sentence per data centre.
std::vector<std::string> DescribeAppliedVersions(const Version& version,
                                                 const ConvergenceTracker& tracker);

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_INTENT_PROGRESS_H_
