#ifndef QUETZAL_CONTROL_ROLLOUT_JUDGE_H_
#define QUETZAL_CONTROL_ROLLOUT_JUDGE_H_

#include <string>

#include "base/clock.h"
#include "configuration.pb.h"
#include "control/rollout_counts.h"

namespace quetzal {

/// Next step of a rollout.
enum class RolloutStep { kWait, kShift, kRollBack };

/// What is known about a rollout at the time of a decision.
struct RolloutView {
  RolloutState state = ROLLOUT_RUNNING;
  const RolloutEvidence* evidence = nullptr;
  Duration since_start{0};
  Duration to_deadline{0};
  bool complete_reports = true;  ///< False: some nodes may not have reported yet.
};

/// A decision and the evidence for it, in plain words.
struct RolloutVerdict {
  RolloutStep step = RolloutStep::kWait;
  std::string reason;
};

/// Judges the new version of a service by the responses of both versions. The new version
/// is bad if it fails more often than the old one, or takes at least twice as long, by a
/// margin that chance does not explain: on one route, in the whole period or in its last
/// seconds. A bad version is rolled back at once; one that is not clearly better or worse
/// is observed until shortly before the deadline and then rolled back.
RolloutVerdict JudgeRollout(const RolloutView& view);

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_ROLLOUT_JUDGE_H_
