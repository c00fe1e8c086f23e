#ifndef QUETZAL_CALLS_ADMISSION_CONTROL_H_
#define QUETZAL_CALLS_ADMISSION_CONTROL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/result_code.h"
#include "calls/call_headers.h"
#include "calls/service_times.h"
#include "membership.pb.h"

namespace quetzal {

/// What the backend server can take.
struct AdmissionLimits {
  ServerState state = SERVER_NONE;
  std::uint32_t slots = 0;        ///< Requests at once.
  std::uint32_t connections = 0;  ///< Connections at once; 0: as many as slots.
  std::uint32_t queue = 0;        ///< Requests waiting; 0: as many as slots.
  Duration slow_start{};          ///< From its first SERVER_UP to its full share.
};

struct AdmissionRequest {
  std::uint64_t id = 0;
  bool idempotent = true;
  std::uint32_t priority = 0;  ///< 0 is shed last.
  SteadyTime deadline;
  std::optional<SteadyTime> objective;  ///< A later answer is worth little.
  std::optional<Duration> max_wait;     ///< It is refused where it would wait so long.
  std::string work;                     ///< Kind of work, for the time it takes.
};

/// Decision on one request: kOk admits it, any other code refuses it (not run).
struct AdmissionVerdict {
  std::uint64_t id = 0;
  ResultCode code = ResultCode::kOk;
  Duration retry_after{};  ///< Expected wait for a slot.
};

/// Decides which requests go to the backend server: slots, a bounded queue in order of
/// priority and urgency, and shedding of what cannot finish in time. Holds no clock and
/// no lock.
class AdmissionControl {
 public:
  using Verdicts = std::vector<AdmissionVerdict>;

  /// New limits; the queue is refused when the server takes no work any more.
  Verdicts SetLimits(const AdmissionLimits& limits, SteadyTime now);

  /// A request came. A request without a verdict waits.
  Verdicts Offer(const AdmissionRequest& request, SteadyTime now);

  /// An admitted request ended. `service_time` is zero when it tells nothing about the
  /// speed of the server (it was cancelled or failed).
  Verdicts Finish(const std::string& work, Duration service_time, SteadyTime now);
  Verdicts Finish(Duration service_time, SteadyTime now) {
    return Finish("", service_time, now);
  }

  /// A waiting request went away. False when it was not waiting.
  bool Cancel(std::uint64_t id);

  /// Refuses everything to come; what waits is still admitted in turn.
  void Stop();

  LoadReport load(SteadyTime now) const;

  /// When a request that is refused now would find a free slot.
  Duration RetryAfter(SteadyTime now) const;

  std::uint32_t outstanding() const { return outstanding_; }
  std::size_t queued() const { return queue_.size(); }

 private:
  std::uint32_t EffectiveSlots(SteadyTime now) const;
  std::size_t QueueLimit() const;
  ResultCode RefusalByState() const;

  /// Expected wait behind the part of the queue that goes before `request`.
  Duration WaitOf(const AdmissionRequest& request, SteadyTime now) const;
  Duration EstimateWait(Duration work_ahead, SteadyTime now) const;
  bool CanFinish(const AdmissionRequest& request, Duration wait, SteadyTime now) const;
  bool MeetsObjective(const AdmissionRequest& request, Duration wait,
                      SteadyTime now) const;
  AdmissionVerdict Refuse(std::uint64_t id, ResultCode code, SteadyTime now) const;
  void Enqueue(const AdmissionRequest& request);
  void AdmitWaiting(SteadyTime now, Verdicts* verdicts);
  Verdicts RefuseQueue(ResultCode code, SteadyTime now);

  AdmissionLimits limits_;
  SteadyTime up_since_;
  bool stopped_ = false;
  std::uint32_t outstanding_ = 0;
  ServiceTimes times_;
  std::vector<AdmissionRequest> queue_;  ///< The next to be admitted stands last.
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_ADMISSION_CONTROL_H_
