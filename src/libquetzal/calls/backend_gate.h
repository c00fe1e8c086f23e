#ifndef QUETZAL_CALLS_BACKEND_GATE_H_
#define QUETZAL_CALLS_BACKEND_GATE_H_

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "calls/admission_control.h"

namespace quetzal {

/// The one way to the own backend server: an AdmissionControl that several threads use.
/// Its mutex is a leaf; verdicts are given without it.
class BackendGate {
 public:
  using Decided = std::function<void(const AdmissionVerdict&)>;

  explicit BackendGate(const Clock* clock) : clock_(clock) {}

  void SetServer(const AdmissionLimits& limits);

  /// Returns the id of the request. `decided` is called at most once, possibly inside
  /// this call; not at all after a successful Cancel.
  std::uint64_t Offer(AdmissionRequest request, Decided decided);

  /// An admitted request ended; see AdmissionControl::Finish.
  void Finish(const std::string& work, Duration service_time);

  /// True when the request was still waiting; it has no verdict then.
  bool Cancel(std::uint64_t id);

  /// Refuses new requests.
  void Stop();

  LoadReport load() const;

  /// When a request that is refused now would find a free slot.
  Duration RetryAfter() const;

 private:
  using Decisions = std::vector<std::pair<Decided, AdmissionVerdict>>;

  Decisions TakeLocked(const AdmissionControl::Verdicts& verdicts);
  static void Tell(const Decisions& decisions);

  const Clock* clock_;
  mutable std::mutex mutex_;
  AdmissionControl control_;
  std::uint64_t last_id_ = 0;
  std::unordered_map<std::uint64_t, Decided> waiting_;
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_BACKEND_GATE_H_
