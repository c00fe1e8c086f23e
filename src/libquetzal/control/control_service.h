#ifndef QUETZAL_CONTROL_CONTROL_SERVICE_H_
#define QUETZAL_CONTROL_CONTROL_SERVICE_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "agreement/agreement.h"
#include "base/event_log.h"
#include "control/ack_forwarder.h"
#include "control/convergence_tracker.h"
#include "control/intent_machine.h"
#include "control/peer_lookup.h"
#include "control/plan_warnings.h"
#include "distribution/publisher.h"
#include "kernel/executor.h"
#include "net/rpc.h"

namespace quetzal {

/// Distributes confirmed configurations on one control instance: publishes them, collects
/// the acknowledgements and, on the leader, logs when each is done. OnConfigured and
/// OnAck may be called from any thread; all other methods run on the executor.
class ControlService {
 public:
  /// How confirmed configurations reach the proxies.
  struct Distribution {
    std::function<void(const Version&, std::shared_ptr<const Configuration>)> publish;
    /// Called with true while this control instance leads, or knows a leader and had
    /// recent contact with a quorum.
    std::function<void(bool)> set_quorum_backed;
    std::function<std::uint64_t()> bytes_sent;
  };

  struct Dependencies {
    Agreement* agreement = nullptr;
    const IntentMachine* machine = nullptr;
    Distribution distribution;
    RpcClient* rpc_client = nullptr;
    RpcServer* rpc_server = nullptr;
    Executor* executor = nullptr;
    const Clock* clock = nullptr;
    EventLog* events = nullptr;
  };

  ControlService(Dependencies dependencies, PeerLookup peers,
                 ConvergenceSettings settings);

  /// Accepts acknowledgements that peers forward, and starts to check who leads.
  void Start();

  /// Stops the timers; must be called on the executor.
  void Stop();

  void OnConfigured(const Version& version,
                    const std::shared_ptr<const Configuration>& configuration);
  void OnAck(const ProxyAck& ack);

  ConvergenceReport Report(const Version& version) const;
  std::vector<LiveInstance> LiveInstances() const;
  const ConvergenceTracker& tracker() const { return tracker_; }

 private:
  void Post(std::function<void()> task);
  void RecordAck(const ProxyAck& ack);
  void CheckLeadership();
  void EvaluateSoon();
  void Evaluate();

  Dependencies dependencies_;
  ConvergenceTracker tracker_;
  AckForwarder forwarder_;
  std::unique_ptr<Timer> leadership_timer_;
  /// Set once a leader is known. Entries applied before come from the log of an earlier
  /// run, so their confirmation is not logged again.
  std::atomic<bool> leader_known_{false};
  bool leading_ = false;
  std::uint64_t term_ = 0;
  std::string leader_;
  bool evaluating_ = false;
  bool stopped_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_CONTROL_SERVICE_H_
