#ifndef QUETZAL_CONTROL_REPORT_JSON_H_
#define QUETZAL_CONTROL_REPORT_JSON_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "agreement/agreement.h"
#include "base/result_code.h"
#include "control.pb.h"
#include "control/control_group_plan.h"
#include "control/convergence_tracker.h"
#include "control/intent_events.h"

namespace quetzal {

/// JSON that keeps the fields in the order in which they were added.
using ReportJson = nlohmann::ordered_json;

/// "code", "name", "not_run" and "message".
ReportJson JsonOfCode(ResultCode code, const std::string& message);

ReportJson JsonOfVersion(const Version& version);
ReportJson JsonOfConvergence(const Version& version, const ConvergenceReport& report,
                             SteadyTime now);

/// The intent with its plan and state.
ReportJson JsonOfIntent(const IntentRecord& record);
/// Wall time, name and fields of each event, as in the log.
ReportJson JsonOfEvents(const std::vector<TimedEvent>& events);
ReportJson JsonOfHistory(const std::vector<HistoryItem>& items);
/// The last rollout of each service.
ReportJson JsonOfRollouts(const Configuration& configuration);
ReportJson JsonOfConfiguration(const Configuration& configuration);
/// The control instances with their votes, and how many more may fail.
ReportJson JsonOfGroup(const ControlGroup& group);
ReportJson JsonOfGroupChange(const GroupChangeReport& report);
ReportJson JsonOfLeadership(const LeadershipView& view);

/// Wall time in RFC 3339, UTC, with milliseconds.
std::string FormatMicros(std::uint64_t micros);

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_REPORT_JSON_H_
