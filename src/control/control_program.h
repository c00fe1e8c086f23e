#ifndef QUETZAL_CONTROL_CONTROL_PROGRAM_H_
#define QUETZAL_CONTROL_CONTROL_PROGRAM_H_

#include <future>
#include <map>
#include <memory>
#include <string>

#include "agreement/agreement_service.h"
#include "agreement/log_storage.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "base/hybrid_clock.h"
#include "base/metrics.h"
#include "base/random.h"
#include "base/settings.h"
#include "control/control_group_reconciler.h"
#include "control/control_membership.h"
#include "control/control_service.h"
#include "control/departure_service.h"
#include "control/group_repairer.h"
#include "control/intent_api.h"
#include "control/intent_events.h"
#include "control/intent_machine.h"
#include "control/key_group_reconciler.h"
#include "control/order_interface.h"
#include "control/order_service.h"
#include "control/rollout_controller.h"
#include "distribution/publisher.h"
#include "kernel/runtime.h"
#include "net/admin_server.h"
#include "net/datagram.h"
#include "net/stream.h"
#include "net/stream_message_channels.h"
#include "net/stream_router.h"
#include "net/stream_rpc_client.h"
#include "net/stream_rpc_server.h"

namespace quetzal {

/// A control instance: creates, connects, starts and stops its components.
class ControlProgram {
 public:
  ControlProgram(const Settings& settings, std::map<std::string, Endpoint> peers,
                 const Clock* clock, HybridClock* hybrid_clock, EventLog* events);
  ~ControlProgram();

  /// Loads the log and opens the sockets. Throws Error.
  void Start();

  /// Serves until SIGTERM or SIGINT, then stops gracefully.
  void RunUntilStopped();

 private:
  void MakeOrderService();
  /// Stream addresses of other control instances, the best candidate first.
  std::vector<Endpoint> ForwardTargets() const;
  void MakeMembership();
  void ReplyWithMetrics(AdminReply reply);
  /// Takes this instance out of the group where that tolerates more losses without it.
  void LeaveGroup();
  void Stop();

  const Settings& settings_;
  std::map<std::string, Endpoint> peers_;
  const Clock* clock_;
  IntentEvents events_;
  Random agreement_random_;
  Random publisher_random_;
  Random membership_random_;
  std::promise<void> stop_signal_;
  StreamRouter router_;
  std::unique_ptr<Runtime> runtime_;
  std::unique_ptr<Executor> agreement_executor_;
  std::unique_ptr<Executor> publisher_executor_;
  std::unique_ptr<Executor> control_executor_;
  std::unique_ptr<Executor> rpc_executor_;
  std::unique_ptr<StreamTransport> transport_;
  std::unique_ptr<DatagramSocket> datagrams_;
  std::unique_ptr<StreamRpcClient> rpc_client_;
  std::unique_ptr<StreamRpcServer> rpc_server_;
  std::unique_ptr<StreamMessageChannels> channels_;
  std::unique_ptr<LogStorage> storage_;
  std::unique_ptr<IntentMachine> machine_;
  std::unique_ptr<AgreementService> agreement_;
  std::unique_ptr<Publisher> publisher_;
  std::unique_ptr<ControlService> service_;
  std::unique_ptr<KeyGroupReconciler> key_group_reconciler_;
  std::unique_ptr<ControlGroupReconciler> control_group_reconciler_;
  std::unique_ptr<RolloutController> rollout_controller_;
  std::unique_ptr<IntentApi> api_;
  std::unique_ptr<MetricsFormat> metrics_;
  std::unique_ptr<AdminServer> admin_;
  std::unique_ptr<ControlMembership> membership_;  ///< Null without --gossip.
  std::unique_ptr<GroupRepairer> group_repairer_;  ///< Null without --repair-group.
  std::unique_ptr<DepartureService> departures_;
  std::unique_ptr<OrderService> orders_;
  std::unique_ptr<OrderInterface> order_interface_;  ///< Null without --orders.
  std::unique_ptr<AdminServer> order_server_;
};

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_CONTROL_PROGRAM_H_
