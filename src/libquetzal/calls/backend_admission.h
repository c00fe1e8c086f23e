#ifndef QUETZAL_CALLS_BACKEND_ADMISSION_H_
#define QUETZAL_CALLS_BACKEND_ADMISSION_H_

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "calls/admission_control.h"

namespace quetzal {

/// Thread-safe AdmissionControl of the local backend server; every request to the server
/// passes through it. Its mutex is a leaf lock and is not held while callbacks run.
class BackendAdmission {
 public:
  using DecisionCallback = std::function<void(const AdmissionDecision&)>;

  explicit BackendAdmission(const Clock* clock) : clock_(clock) {}

  void SetServer(const AdmissionLimits& limits);

  /// Returns the id of the request. `on_decision` is called at most once, possibly inside
  /// this call; never after a successful Cancel.
  std::uint64_t Offer(AdmissionRequest request, DecisionCallback on_decision);

  /// Frees the slot of an admitted request; see AdmissionControl::Finish.
  void Finish(const std::string& work, Duration service_time);

  /// True when the request was still queued; `on_decision` is then never called.
  bool Cancel(std::uint64_t id);

  /// Refuses new requests.
  void Stop();

  LoadReport load() const;

  /// Expected time until a request that is refused now would find a free slot.
  Duration RetryAfter() const;

 private:
  using PendingCallbacks = std::vector<std::pair<DecisionCallback, AdmissionDecision>>;

  PendingCallbacks TakeCallbacksLocked(const AdmissionControl::Decisions& decisions);
  static void Notify(const PendingCallbacks& callbacks);

  const Clock* clock_;
  mutable std::mutex mutex_;
  AdmissionControl control_;
  std::uint64_t last_id_ = 0;
  std::unordered_map<std::uint64_t, DecisionCallback> undecided_;  ///< By request.
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_BACKEND_ADMISSION_H_
