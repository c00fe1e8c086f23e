#ifndef QUETZAL_BENCH_OVERLOAD_MODEL_H_
#define QUETZAL_BENCH_OVERLOAD_MODEL_H_

#include <array>
#include <cmath>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "calls/admission_control.h"
#include "calls/caller_timeout_estimator.h"
#include "calls/known_waits.h"
#include "calls/load_table.h"
#include "calls/refusal_rates.h"
#include "calls/retry_budgets.h"
#include "calls/slot_probes.h"

namespace quetzal {

inline constexpr std::size_t kServers = 36;  ///< Each with a node of its own.
inline constexpr std::size_t kServices = 3;
inline constexpr std::size_t kDataCentres = 3;
inline constexpr std::uint32_t kSlots = 12;
inline constexpr std::size_t kMaxAttempts = 8;
inline constexpr std::uint32_t kRetryPercent = 20;
inline constexpr double kUsualLoad = 0.8;
inline constexpr Duration kBurstPeriod = std::chrono::seconds(10);
inline constexpr Duration kBurstLength = std::chrono::seconds(4);

/// A kind of request; see docs/design/teams-quotas-rollouts.md, part E.
struct Kind {
  const char* name = "";
  Duration objective{};
  Duration deadline{};
  Duration work{};
  std::uint32_t priority = 0;
  bool calls = false;  ///< Makes a nested call halfway.
  double share = 0;    ///< Of the new requests.
  double value = 0;    ///< Of an answer in time.
  double late_value = 0;
};

inline constexpr std::size_t kNested = 3;
inline constexpr std::array<Kind, 4> kKinds = {{
    {"urgent", std::chrono::milliseconds(500), std::chrono::milliseconds(1500),
     std::chrono::milliseconds(230), 0, true, 0.6, 1.4, 0.17},
    {"order", std::chrono::milliseconds(800), std::chrono::milliseconds(2000),
     std::chrono::milliseconds(290), 1, true, 0.2, 1.5, 0.44},
    {"patient", std::chrono::milliseconds(3000), std::chrono::milliseconds(4000),
     std::chrono::milliseconds(570), 2, false, 0.2, 0.37, 0.16},
    {"nested", std::chrono::milliseconds(250), std::chrono::milliseconds(600),
     std::chrono::milliseconds(57), 0, true, 0, 0, 0},
}};

struct Scenario {
  std::string name;
  std::array<double, 3> burst{};  ///< Factor of each kind during a burst.
  double slow_factor = 1;         ///< Of a sixth of the servers, during a burst.
  bool uneven = false;            ///< Servers take kUnevenFactors of the usual time.
};

/// In turn; the mean speed is about one.
inline constexpr std::array<double, 3> kUnevenFactors = {0.7, 0.7, 1.7};

struct Count {
  std::uint64_t offered = 0;
  std::uint64_t in_time = 0;
  std::uint64_t late = 0;
  std::uint64_t refused = 0;  ///< The caller gave up after refusals.
  std::uint64_t lost = 0;     ///< Its deadline passed, or its nested call failed.
};

/// Slot time of one request, with its nested call.
inline Duration SlotTime(const Kind& kind) {
  return kind.work + (kind.calls ? 2 * kKinds[kNested].work : Duration::zero());
}

inline double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

/// Queueing model of three services. Tasks run in order of their simulated time.
class OverloadModel {
 public:
  OverloadModel(Scenario scenario, std::string load_policy, Duration length,
                bool marks_nested, bool knows_waits);

  void Run();
  bool EndedOnce() const;
  /// Messages from coordinating to admitting nodes for each new request.
  double Messages() const;
  double Value() const;
  /// Value if the slots always ran the most valuable work of those who want it then.
  double MaxValue() const;
  const std::array<Count, 4>& counts() const { return counts_; }

 private:
  struct Call {
    std::size_t kind = 0;
    std::size_t node = 0;
    std::size_t service = 0;
    SteadyTime deadline;
    SteadyTime objective;       ///< As its caller measures it.
    SteadyTime node_objective;  ///< As the coordinating node estimates it.
    bool ended = false;
    std::function<void(bool)> done;
    // Of the pass through the coordinating node.
    std::vector<std::string> tried;
    std::vector<std::pair<std::size_t, Duration>> full;
    bool probes = true;
    std::size_t attempts = 0;
    // At a server.
    std::size_t server = 0;
    std::uint64_t id = 0;
    bool queued = false;
    bool runs = false;
    SteadyTime sent_at;
    std::shared_ptr<Call> child;
  };
  using CallPtr = std::shared_ptr<Call>;
  struct Server {
    AdmissionControl admission;
    double factor = 1;  ///< Of the time for a request, during a burst.
    double speed = 1;   ///< The same, always.
    std::unordered_map<std::uint64_t, CallPtr> waiting;
  };
  struct Node {
    std::unique_ptr<Random> random;
    std::unique_ptr<LoadTable> loads;
    RefusalRates rates;
    KnownWaits waits;
    SlotProbes probes;
    CallerTimeoutEstimator timeouts;
    std::unique_ptr<RetryBudgets> budget = std::make_unique<RetryBudgets>(0, 0);
  };
  struct Task {
    SteadyTime at;
    std::uint64_t sequence = 0;
    std::function<void()> run;
    bool operator<(const Task& other) const {
      return std::tie(other.at, other.sequence) < std::tie(at, sequence);
    }
  };

  void After(Duration delay, std::function<void()> run) {
    tasks_.push({clock_.Now() + delay, ++sequence_, std::move(run)});
  }
  Duration Exponential(Duration mean) {
    return std::chrono::duration_cast<Duration>(-std::log(1.0 - random_.Unit()) * mean);
  }
  Duration Delay(std::size_t a, std::size_t b) const {
    return a % kDataCentres == b % kDataCentres ? std::chrono::microseconds(300)
                                                : std::chrono::milliseconds(2);
  }
  bool InBurst(Duration at) const { return at % kBurstPeriod < kBurstLength; }
  double Rate(std::size_t kind, bool burst) const {
    return usual_rate_ * kKinds[kind].share * (burst ? scenario_.burst.at(kind) : 1);
  }

  void ScheduleKind(std::size_t kind);
  CallPtr MakeCall(std::size_t kind, std::size_t node, std::size_t service,
                   Duration deadline);
  void Accept(const CallPtr& call);
  void Attempt(const CallPtr& call);
  const BackendTarget* Choose(const CallPtr& call);
  bool IsKnownUnservable(const CallPtr& call);
  void Send(const CallPtr& call, const BackendTarget& target);
  void Offer(const CallPtr& call);
  void Apply(std::size_t server, const AdmissionControl::Decisions& decisions);
  void Report(std::size_t node, std::size_t server, const LoadReport& report);
  void Serve(const CallPtr& call);
  void ServeHalf(const CallPtr& call, std::function<void()> done);
  void Release(const CallPtr& call, Duration service_time);
  void Refused(const CallPtr& call, ResultCode code, Duration retry_after);
  void GiveUp(const CallPtr& call, Duration wait);
  void End(const CallPtr& call, bool answered);

  const Scenario scenario_;
  const std::string load_policy_;
  const Duration length_;
  const bool marks_nested_;
  const bool knows_waits_;
  ManualClock clock_;
  const SteadyTime start_ = clock_.Now();
  Random random_{20261204};
  std::priority_queue<Task> tasks_;
  std::uint64_t sequence_ = 0;
  std::uint64_t last_id_ = 0;
  double usual_rate_ = 0;
  std::vector<BackendTarget> targets_;
  std::array<std::vector<const BackendTarget*>, kServices> by_service_;
  std::vector<Server> servers_ = std::vector<Server>(kServers);
  std::vector<Node> nodes_ = std::vector<Node>(kServers);
  std::array<Count, 4> counts_{};
  std::uint64_t messages_ = 0;
};

}  // namespace quetzal

#endif  // QUETZAL_BENCH_OVERLOAD_MODEL_H_
