#ifndef QUETZAL_CONTROL_ROLLOUT_CONTROLLER_H_
#define QUETZAL_CONTROL_ROLLOUT_CONTROLLER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "agreement/agreement.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "control/control_service.h"
#include "control/intent_machine.h"
#include "control/rollout_counts.h"
#include "control/rollout_judge.h"
#include "kernel/executor.h"

namespace quetzal {

/// Observes the rollouts in progress on every control instance; on the leader, it decides
/// and commits their next state and logs each state. Used on the executor only.
class RolloutController {
 public:
  struct Dependencies {
    Agreement* agreement = nullptr;
    const IntentMachine* machine = nullptr;
    const ControlService* service = nullptr;
    Executor* executor = nullptr;
    const Clock* clock = nullptr;
    EventLog* events = nullptr;
  };

  explicit RolloutController(Dependencies dependencies) : dependencies_(dependencies) {}

  void Start();
  void Stop() { timer_.reset(); }

  /// The responses of both versions in all rollouts in progress.
  RouteResponses responses() const;

  /// The number of rollouts in progress.
  std::size_t in_progress() const;

 private:
  /// One rollout, from its first observation by this instance.
  struct Watched {
    Rollout rollout;
    SteadyTime started_at;
    Version state_version;  ///< A version whose configuration has the current state.
    RolloutCounts counts;
    std::set<std::string> data_centres;  ///< With nodes that may have served requests.
    SteadyTime next_delay_log;           ///< Not before; see LogDelay.
  };

  void Check();
  void DetectTakeover(const LeadershipView& view);
  void Observe();
  Watched Begin(const Rollout& rollout) const;
  void SetState(const Rollout& rollout, const Version& version, Watched* watched) const;
  void AddReports(Watched* watched);
  void LogStates();
  void Decide();
  bool ReportsAreComplete() const;
  std::string DelayOfCompletion(const Watched& watched) const;
  void LogDelay(const std::string& delay, Watched* watched);
  void Propose(const Rollout& rollout, RolloutState state, const std::string& reason);

  Dependencies dependencies_;
  std::unique_ptr<Timer> timer_;
  bool busy_ = false;
  bool leading_ = false;
  bool informed_ = false;  ///< In contact with a leader at the last check.
  std::uint64_t term_ = 0;
  std::optional<SteadyTime> last_check_;
  SteadyTime leading_since_;
  std::map<std::string, Watched> watched_;  ///< By service.
  /// Log position and state of each rollout that this instance logged last.
  std::map<std::string, std::pair<std::uint64_t, RolloutState>> logged_;
};

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_ROLLOUT_CONTROLLER_H_
