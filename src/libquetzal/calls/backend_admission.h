#ifndef QUETZAL_CALLS_BACKEND_ADMISSION_H_
#define QUETZAL_CALLS_BACKEND_ADMISSION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "calls/admission_control.h"
#include "kernel/executor.h"

namespace quetzal {

/// Thread-safe AdmissionControl of the local backend server; every request to the server
/// passes through it. Its mutex is a leaf lock and is not held while callbacks run.
class BackendAdmission : public std::enable_shared_from_this<BackendAdmission> {
 public:
  using DecisionCallback = std::function<void(const AdmissionDecision&)>;

  /// Requests that wait for the rate limit are admitted on `executor`.
  BackendAdmission(const Clock* clock, Executor* executor)
      : clock_(clock), executor_(executor) {}

  void SetServer(const AdmissionLimits& limits);

  /// Sets the requests per second that the server takes; null: as many as come.
  void SetRateLimit(std::optional<double> per_second);

  /// Returns the id of the request. `on_decision` is called at most once, possibly inside
  /// this call; never after a successful Cancel.
  std::uint64_t Offer(AdmissionRequest request, DecisionCallback on_decision);

  /// Frees the slot of an admitted request; see AdmissionControl::Finish.
  void Finish(std::uint64_t id, const std::string& work, Duration service_time);

  /// True when the request was still queued; `on_decision` is then never called.
  bool Cancel(std::uint64_t id);

  /// Refuses new requests.
  void Stop();

  LoadReport load() const;

  /// Expected time until a request that is refused now would find a free slot.
  Duration RetryAfter() const;

 private:
  using PendingCallbacks = std::vector<std::pair<DecisionCallback, AdmissionDecision>>;

  /// Runs `operation` on control_ under the lock, passes on its decisions, and schedules
  /// AdmitDue() when a queued request waits only for the rate limit.
  template <class Operation>
  void Apply(Operation operation);
  PendingCallbacks TakeCallbacksLocked(const AdmissionControl::Decisions& decisions);
  static void Notify(const PendingCallbacks& callbacks);
  void StartTimer();
  void AdmitDue();

  const Clock* clock_;
  Executor* executor_;
  std::unique_ptr<Timer> timer_;  ///< Used on the executor only.
  mutable std::mutex mutex_;
  AdmissionControl control_;
  std::uint64_t last_id_ = 0;
  bool admission_scheduled_ = false;
  std::unordered_map<std::uint64_t, DecisionCallback> undecided_;  ///< By request.
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_BACKEND_ADMISSION_H_
