#ifndef QUETZAL_NODE_NODE_H_
#define QUETZAL_NODE_NODE_H_

#include <atomic>
#include <cstdint>
#include <future>
#include <memory>
#include <string>

#include "base/clock.h"
#include "base/event_log.h"
#include "base/hybrid_clock.h"
#include "base/metrics.h"
#include "base/random.h"
#include "base/settings.h"
#include "calls/call_dialect.h"
#include "calls/call_path.h"
#include "distribution/node_distribution.h"
#include "kernel/runtime.h"
#include "keys/key_holder_service.h"
#include "keys/quorum_key_records.h"
#include "net/admin_server.h"
#include "net/datagram.h"
#include "net/stream.h"
#include "net/stream_message_channels.h"
#include "net/stream_router.h"
#include "net/stream_rpc_client.h"
#include "net/stream_rpc_server.h"
#include "node/backend_server_monitor.h"
#include "node/node_admin.h"
#include "node/server_interface.h"
#include "node/server_reports.h"
#include "quotas/team_limiter.h"

namespace quetzal {

/// A node: creates, connects, starts and stops its components.
class Node {
 public:
  /// Listens on every address. Throws Error(kPortTaken).
  Node(const Settings& settings, const Clock* clock, HybridClock* hybrid_clock,
       EventLog* events);
  ~Node();

  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Blocks until SIGTERM or SIGINT arrives or the node fails. A signal that arrived
  /// during the start counts as well.
  void WaitForStopSignal() { stop_signal_.get_future().wait(); }

  /// Refuses new requests, finishes those in flight within the drain limit and leaves the
  /// fleet. Returns the number of requests that were cut off.
  std::uint64_t Stop();

  /// Returns the error that makes the node stop without a signal; kOk if there is none.
  ResultCode failure() const { return failure_; }

  /// Returns "name=address" for each address in use, separated by spaces.
  std::string Addresses() const;

 private:
  StreamAcceptor CallerAcceptor();
  void StartComponents(const Settings& settings);
  void ServeAdmin(const Settings& settings);
  void ServeBackendServer(const Settings& settings);
  void SetBackendServer(const LocalBackendServer& server);
  void Poll();
  void StartAccepting();
  void RequestStop();
  NodeReport Report() const;

  /// Returns true if a quorum of control instances is reachable and the data centre has
  /// another live node, so that the latter can take over this node's key groups.
  bool HasSuccessor() const;

  /// Waits kCallerReconnectTime and, while there is a successor and until `limit`, for
  /// all key groups to drop this instance as a holder.
  void HandOverKeys(SteadyTime limit);

  const Clock* clock_;
  EventLog* events_;
  const Duration drain_limit_;
  const Duration caller_grace_;
  const std::uint64_t incarnation_;
  std::string instance_;
  std::string data_centre_;
  Endpoint stream_address_;
  Endpoint caller_address_;
  Endpoint admin_address_;

  Random distribution_random_;
  Random call_random_;
  std::atomic<bool> ready_{false};
  std::promise<void> stop_signal_;
  std::atomic<bool> stop_requested_{false};
  std::atomic<ResultCode> failure_{ResultCode::kOk};
  std::atomic<bool> accepting_{false};

  StreamRouter router_;
  std::unique_ptr<Runtime> runtime_;
  std::unique_ptr<Executor> rpc_executor_;
  std::unique_ptr<Executor> distribution_executor_;
  std::unique_ptr<Executor> call_executor_;
  std::unique_ptr<Executor> key_executor_;
  std::unique_ptr<Executor> node_executor_;
  std::unique_ptr<StreamTransport> streams_;
  std::unique_ptr<StreamTransport> http_;
  std::unique_ptr<DatagramSocket> datagrams_;
  StreamRpcClient rpc_client_;
  StreamRpcServer rpc_server_;
  StreamMessageChannels channels_;

  TeamLimiter team_limiter_;
  std::unique_ptr<NodeDistribution> distribution_;
  std::shared_ptr<KeyHolderService> key_holder_;
  std::unique_ptr<QuorumKeyRecords> keys_;
  std::unique_ptr<CallPath> calls_;
  std::unique_ptr<BackendServerMonitor> backend_monitor_;
  std::unique_ptr<ServerReports> server_reports_;
  std::unique_ptr<MetricsFormat> metrics_;
  std::unique_ptr<AdminServer> admin_;
  std::unique_ptr<CallDialect> dialect_;
  std::unique_ptr<ServerInterface> server_interface_;
  std::unique_ptr<AdminServer> heartbeat_server_;
  std::unique_ptr<AdminServer> readiness_server_;
  std::unique_ptr<Timer> poll_timer_;
  std::shared_ptr<const CrashingRequests> crashing_;  ///< Used by Poll() only.
  bool former_known_ = false;  ///< Told to the monitor; used by Poll() only.
  Version keys_version_;  ///< Version last given to key_holder_; used by Poll() only.
};

}  // namespace quetzal

#endif  // QUETZAL_NODE_NODE_H_
