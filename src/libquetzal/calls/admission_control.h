#ifndef QUETZAL_CALLS_ADMISSION_CONTROL_H_
#define QUETZAL_CALLS_ADMISSION_CONTROL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/result_code.h"
#include "base/token_bucket.h"
#include "calls/call_headers.h"
#include "calls/running_requests.h"
#include "calls/service_times.h"
#include "calls/team_shares.h"
#include "membership.pb.h"

namespace quetzal {

/// Capacity of the backend server.
struct AdmissionLimits {
  ServerState state = SERVER_NONE;
  std::uint32_t slots = 0;        ///< Concurrent requests.
  std::uint32_t connections = 0;  ///< Concurrent connections; 0: as many as slots.
  std::uint32_t queue = 0;        ///< Queued requests; 0: as many as slots.
  Duration slow_start{};          ///< Ramp-up time after the server becomes SERVER_UP.
};

struct AdmissionRequest {
  std::uint64_t id = 0;
  bool idempotent = true;
  std::uint32_t priority = 0;  ///< 0 is shed last.
  SteadyTime deadline;
  /// Latency objective: an answer after this time is of little use to the caller.
  std::optional<SteadyTime> objective;
  std::optional<Duration> max_wait;  ///< An expected wait this long is refused.
  std::string work;                  ///< Kind of work, to estimate its time.
  bool short_work = false;           ///< Set by Offer(); see ServiceTimes::IsShort.
  /// Made by a backend server while it runs another request, whose work is lost without
  /// the answer: goes before all other requests and has no objective but its deadline.
  bool nested = false;
  std::string team;        ///< Of the caller; empty: not stated.
  double team_weight = 1;  ///< The team's share of the slots follows from it.
  double team_excess = 0;  ///< Set by AdmissionControl; see TeamShares::NextExcess.
};

/// Decision on one request: kOk admits it, any other code refuses it (not run).
struct AdmissionDecision {
  std::uint64_t id = 0;
  ResultCode code = ResultCode::kOk;
  Duration retry_after{};  ///< Expected wait for a slot.
};

/// Decides which requests go to the backend server: slots, a bounded queue in order of
/// priority and urgency, and shedding of requests that cannot finish in time. A request
/// that can meet its objective goes before any that cannot; those are late, and run when
/// no other request needs the slot. The caller passes the time and serializes the calls.
class AdmissionControl {
 public:
  using Decisions = std::vector<AdmissionDecision>;

  /// Sets new limits. Refuses the whole queue when the server no longer accepts work.
  Decisions SetLimits(const AdmissionLimits& limits, SteadyTime now);

  /// Sets the requests per second that the server takes; null: as many as come.
  Decisions SetRateLimit(std::optional<double> per_second, SteadyTime now);

  /// Admits queued requests that the slots and the rate limit now allow.
  Decisions AdmitDue(SteadyTime now);

  /// Time until AdmitDue can admit a request that waits only for the rate limit; null if
  /// there is none.
  std::optional<Duration> NextAdmission(SteadyTime now) const;

  /// Handles a new request. A request without a decision is queued.
  Decisions Offer(AdmissionRequest request, SteadyTime now);

  /// Frees the slot of an admitted request. `service_time` is zero when the request was
  /// cancelled or failed, since its duration does not reflect the speed of the server.
  Decisions Finish(std::uint64_t id, const std::string& work, Duration service_time,
                   SteadyTime now);

  /// The same for the request that has been running for the longest time.
  Decisions Finish(const std::string& work, Duration service_time, SteadyTime now);
  Decisions Finish(Duration service_time, SteadyTime now) {
    return Finish("", service_time, now);
  }

  /// Removes a request from the queue. False when it was not queued.
  bool Cancel(std::uint64_t id);

  /// Refuses all later requests; queued ones are still admitted in turn.
  void Stop();

  LoadReport load(SteadyTime now) const;

  /// Expected time until a request that is refused now would find a free slot.
  Duration RetryAfter(SteadyTime now) const;

  std::uint32_t outstanding() const { return outstanding_; }
  std::size_t queued() const { return queue_.size(); }

 private:
  using Queue = std::vector<AdmissionRequest>;

  std::uint32_t EffectiveSlots(SteadyTime now) const;
  bool HasFreeSlot(SteadyTime now) const { return outstanding_ < EffectiveSlots(now); }
  /// Slots that the rate limit allows to be in use on average.
  std::uint32_t UsableSlots(SteadyTime now) const;
  std::size_t QueueLimit() const;
  ResultCode RefusalByState() const;

  /// Times of the backend server at its present speed.
  Duration ExpectedTime(const std::string& work, SteadyTime now) const;
  Duration MeanTime(SteadyTime now) const;
  void Admit(const AdmissionRequest& request, SteadyTime now);
  /// Sorts the queue anew after the teams' shares changed.
  void RankByTeam(SteadyTime now);
  void RankByTeamWith(AdmissionRequest* request, SteadyTime now);
  Decisions FreeSlot(const std::string& work, Duration service_time, SteadyTime now);
  /// Expected wait of `request` behind the queued requests that precede it.
  Duration EstimateWaitFor(const AdmissionRequest& request, SteadyTime now) const;
  Duration EstimateWait(Duration work_ahead, std::size_t requests_ahead,
                        SteadyTime now) const;
  bool CanFinish(const AdmissionRequest& request, Duration wait, SteadyTime now) const;
  bool MeetsObjective(const AdmissionRequest& request, Duration wait,
                      SteadyTime now) const;
  /// True when `request` cannot meet its objective or deadline even if it is admitted
  /// now.
  bool IsLate(const AdmissionRequest& request, SteadyTime now) const {
    return !MeetsObjective(request, Duration::zero(), now) ||
           !CanFinish(request, Duration::zero(), now);
  }
  bool HasQueuedInTime(SteadyTime now) const;
  /// True when a late request may wait `wait` for a slot that no other one needs.
  bool MayQueueLate(const AdmissionRequest& request, Duration wait, SteadyTime now) const;
  AdmissionDecision Refuse(std::uint64_t id, ResultCode code, SteadyTime now) const;
  void Enqueue(const AdmissionRequest& request);
  /// The queued request that gives its place in a full queue to `request`; end() if none.
  Queue::iterator FindVictim(const AdmissionRequest& request, SteadyTime now);
  void AdmitQueued(SteadyTime now, Decisions* decisions);
  /// Removes the queued request that takes a free slot, and those that cannot use it.
  std::optional<AdmissionRequest> TakeNext(SteadyTime now, Decisions* decisions);
  void ShedLast(SteadyTime now, Decisions* decisions);
  Decisions RefuseQueue(ResultCode code, SteadyTime now);

  AdmissionLimits limits_;
  std::optional<TokenBucket> rate_limit_;
  SteadyTime up_since_;
  bool stopped_ = false;
  std::uint32_t outstanding_ = 0;
  ServiceTimes service_times_;
  RunningRequests running_;
  TeamShares team_shares_;
  Queue queue_;  ///< By rank; the first in the order of service is last.
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_ADMISSION_CONTROL_H_
