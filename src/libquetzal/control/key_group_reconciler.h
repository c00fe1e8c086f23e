#ifndef QUETZAL_CONTROL_KEY_GROUP_RECONCILER_H_
#define QUETZAL_CONTROL_KEY_GROUP_RECONCILER_H_

#include <memory>
#include <set>

#include "agreement/agreement.h"
#include "base/event_log.h"
#include "control/control_service.h"
#include "control/intent_machine.h"
#include "control/key_group_planner.h"
#include "kernel/executor.h"
#include "net/rpc.h"

namespace quetzal {

/// Proposes the changes of the key groups that KeyGroupPlanner finds due, while this
/// control instance leads. Used on the executor only.
class KeyGroupReconciler {
 public:
  struct Dependencies {
    Agreement* agreement = nullptr;
    IntentMachine* machine = nullptr;
    const ControlService* service = nullptr;
    RpcClient* rpc_client = nullptr;
    Executor* executor = nullptr;
    const Clock* clock = nullptr;
    EventLog* events = nullptr;
  };

  KeyGroupReconciler(Dependencies dependencies, KeyGroupSettings settings)
      : dependencies_(dependencies), planner_(settings) {}

  void Start();
  void Stop() { timer_.reset(); }

 private:
  void Check();
  void AskHolders(const Configuration& configuration);
  void Propose(SystemChange change);

  Dependencies dependencies_;
  KeyGroupPlanner planner_;
  std::unique_ptr<Timer> timer_;
  std::set<CaughtUpHolder> caught_up_;
  bool proposing_ = false;
};

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_KEY_GROUP_RECONCILER_H_
