#ifndef QUETZAL_CALLS_CALL_CONTEXT_H_
#define QUETZAL_CALLS_CALL_CONTEXT_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "calls/attempt_table.h"
#include "calls/backend_admission.h"
#include "calls/call_dialect.h"
#include "calls/call_path.h"
#include "calls/caller_timeout_estimator.h"
#include "calls/drain_gate.h"
#include "calls/finished_requests.h"
#include "calls/known_waits.h"
#include "calls/live_calls.h"
#include "calls/load_table.h"
#include "calls/local_stream.h"
#include "calls/refusal_rates.h"
#include "calls/request_trials.h"
#include "calls/retry_budgets.h"
#include "calls/rollout_router.h"
#include "calls/route_matcher.h"
#include "calls/slot_probes.h"
#include "calls/version_counters.h"

namespace quetzal {

/// State shared by all calls of a node. Each table has its own mutex, which is never held
/// while another mutex is locked or a stream, timer or callback is called.
class CallContext : public std::enable_shared_from_this<CallContext> {
 public:
  CallContext(const CallDependencies& dependencies, const CallOptions& options);

  /// The matcher of the current snapshot; null while the node may not serve.
  std::shared_ptr<const RouteMatcher> matcher();

  void SetBackendServer(const LocalBackendServer& server);
  LocalBackendServer backend_server() const;

  /// Finds out whether the local backend server still accepts connections, and reports
  /// one that does not.
  void CheckBackendServer();

  /// Sets the requests per second that the local backend server takes. What another node
  /// was told, rather than an answer to this node, counts only until the first answer.
  void SetRateLimit(std::optional<double> per_second, bool in_answer);
  std::optional<double> rate_limit() const;

  /// Creates a new attempt id of this node.
  std::string MakeAttemptId();

  /// Acceptor for streams to this node's own admitting side.
  const StreamAcceptor& admitting_side() const { return admitting_side_; }
  void set_admitting_side(StreamAcceptor side) { admitting_side_ = std::move(side); }

  const CallDialect& dialect() const { return *dialect_; }

  SteadyTime Now() const { return deps.clock->Now(); }

  /// The process ends at `limit`, whatever runs then.
  void SetStopLimit(SteadyTime limit) { stop_limit_ = limit.time_since_epoch().count(); }
  bool stopping() const { return stop_limit_ != kNoStop; }

  /// True unless the process ends before work that takes `expected`.
  bool EndsInTime(Duration expected) const {
    return !stopping() || Now() + expected <= SteadyTime(Duration(stop_limit_));
  }
  double RandomUnit();

  const CallDependencies deps;
  const CallOptions options;
  LoadTable loads;
  RetryBudgets budgets;
  RefusalRates refusal_rates;
  RolloutRouter rollouts;
  VersionCounters version_counters;
  KnownWaits known_waits;
  SlotProbes slot_probes;
  CallerTimeoutEstimator caller_timeouts;
  AttemptTable attempts;
  FinishedRequests finished_requests;
  RequestTrials trials;  ///< At the local backend server.
  const std::shared_ptr<BackendAdmission> admission;
  DrainGate drain;
  LiveCalls live_calls;
  LocalStreams local_streams;

  std::atomic<std::uint64_t> accepted{0};
  std::atomic<std::uint64_t> answered{0};
  std::atomic<std::uint64_t> refused{0};
  std::atomic<std::uint64_t> retried{0};
  std::atomic<std::uint64_t> admitted{0};
  std::atomic<std::uint64_t> shed{0};
  std::atomic<std::uint64_t> blocked{0};
  std::atomic<std::uint64_t> credential_unknown{0};
  std::atomic<std::uint64_t> credential_unproved{0};
  std::atomic<std::uint64_t> quota_exceeded{0};

 private:
  void ApplyLimits();
  AdmissionLimits CurrentLimits() const;

  static constexpr Duration::rep kNoStop = -1;

  const CallDialect* const dialect_;
  StreamAcceptor admitting_side_;
  std::atomic<std::uint64_t> attempt_counter_{0};
  std::atomic<std::uint64_t> limits_changes_{0};
  std::atomic<bool> checks_server_{false};
  std::atomic<Duration::rep> stop_limit_{kNoStop};  ///< Since the epoch of SteadyTime.
  mutable std::mutex matcher_mutex_;
  std::shared_ptr<const RouteMatcher> matcher_;
  mutable std::mutex server_mutex_;
  LocalBackendServer server_;
  std::optional<double> rate_limit_;
  bool server_answered_ = false;  ///< Since this process and the server started.
  std::mutex random_mutex_;
  /// Separate from deps.random, which the load table uses under its own mutex.
  Random random_;
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_CALL_CONTEXT_H_
