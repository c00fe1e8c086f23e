#ifndef QUETZAL_CONTROL_CONTROL_GROUP_RECONCILER_H_
#define QUETZAL_CONTROL_CONTROL_GROUP_RECONCILER_H_

#include <cstdint>
#include <memory>
#include <string>

#include "agreement/agreement.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "control/intent_machine.h"
#include "kernel/executor.h"

namespace quetzal {

/// Carries out the confirmed change of the control instances while this one leads, and
/// commits its outcome. Used on the executor only.
class ControlGroupReconciler {
 public:
  struct Dependencies {
    Agreement* agreement = nullptr;
    const IntentMachine* machine = nullptr;
    Executor* executor = nullptr;
    const Clock* clock = nullptr;
    EventLog* events = nullptr;
  };

  explicit ControlGroupReconciler(Dependencies dependencies)
      : dependencies_(dependencies) {}

  void Start();
  void Stop() { timer_.reset(); }

 private:
  /// Why the group refused a change.
  struct Refusal {
    std::string id;
    std::uint64_t term = 0;
    std::string reason;
  };

  void Check();
  void Advance(std::uint64_t term);
  void ChangeGroup(const IntentRecord& record, std::uint64_t term);
  void CommitOutcome(const std::string& id, std::uint64_t term, bool done,
                     const std::string& reason);

  Dependencies dependencies_;
  std::unique_ptr<Timer> timer_;
  bool busy_ = false;
  Refusal refusal_;
};

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_CONTROL_GROUP_RECONCILER_H_
