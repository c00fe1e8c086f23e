// Compares the load policies in a queueing simulation: production code for server choice,
// admission and retries on simulated backend servers, the slowest of which takes ten
// times as long as the fastest. Prints a table and one line of JSON. Fails if a request
// did not end exactly once, or an attempt is left over at the end. With --smallest it
// takes a few seconds at most; the simulated time is then too short for meaningful
// results.

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "calls/admission_control.h"
#include "calls/load_table.h"
#include "calls/retry_budgets.h"
#include "latency_window.h"

namespace quetzal {
namespace {

constexpr Duration kDeadline = std::chrono::seconds(1);
constexpr Duration kFastestServiceTime = std::chrono::milliseconds(10);
constexpr double kSlowestFactor = 10;
constexpr int kMaxAttempts = 4;
constexpr std::uint32_t kRetryPercent = 20;
constexpr std::uint64_t kSeed = 20261203;

/// Simulated time of a run.
struct RunLength {
  Duration warm_up{};
  Duration measured{};
};

constexpr RunLength kFullRun = {std::chrono::seconds(3), std::chrono::seconds(12)};
constexpr RunLength kShortRun = {std::chrono::milliseconds(200), std::chrono::seconds(1)};

/// A mesh of one service over three data centres.
struct Mesh {
  std::string name;
  int servers = 0;
  std::uint32_t slots = 0;
  int admitting_nodes = 0;  ///< The first `servers` of them have a backend server.
  Duration local_delay{};   ///< One way between nodes of a data centre.
  Duration remote_delay{};  ///< One way between data centres.
  bool herd = false;  ///< Every second server is down for a time; all return at once.
  bool hang = false;  ///< The second server does not answer for half of the time.
};

/// How a request is sent.
struct SendScheme {
  std::string policy;
  /// A second attempt starts after this quantile of the latencies that the node measured;
  /// 0: never.
  double hedge_quantile = 0;

  std::string name() const {
    if (hedge_quantile <= 0) return policy;
    return "hedge_p" + std::to_string(std::lround(hedge_quantile * 100));
  }
};

struct Outcome {
  double offered = 0;  ///< Requests generated, as a share of the summed capacity.
  double useful = 0;   ///< Answers in time, as a share of the summed capacity.
  double refused = 0;  ///< Share of the requests.
  double late = 0;     ///< Share of the requests that passed their deadline.
  double attempts = 0;
  double p50_ms = 0;
  double p99_ms = 0;
  bool ended_once = false;  ///< Each request ended once and left no attempt behind.
};

/// Queueing model of a mesh. Tasks run in order of their simulated time.
class Model {
 public:
  Model(const Mesh& mesh, SendScheme scheme, double load, RunLength length);

  Outcome Run();

 private:
  struct Attempt;
  using AttemptPtr = std::shared_ptr<Attempt>;
  struct Call {
    std::size_t node = 0;
    SteadyTime started;
    bool measured = false;
    std::vector<std::string> tried;
    std::vector<AttemptPtr> open_attempts;
    bool ended = false;
  };
  using CallPtr = std::shared_ptr<Call>;
  struct Attempt {
    CallPtr call;
    std::size_t server = 0;
    std::uint64_t id = 0;    ///< Of the admission request at the server.
    bool dropped = false;    ///< By the node, which ignores a later reply.
    bool at_server = false;  ///< Queued or running at the server.
  };
  struct Server {
    AdmissionControl admission;
    Duration mean_service{};
    bool hangs = false;
    std::unordered_map<std::uint64_t, AttemptPtr> waiting;  ///< By admission request.
  };
  struct Node {
    std::unique_ptr<Random> random;
    std::unique_ptr<LoadTable> loads;
    std::unique_ptr<RetryBudgets> budget = std::make_unique<RetryBudgets>(0, 0);
    LatencyWindow latencies;
  };

  void After(Duration delay, std::function<void()> task) {
    tasks_.emplace(std::make_pair(clock_.Now() + delay, ++sequence_), std::move(task));
  }
  Duration Exponential(Duration mean) {
    return std::chrono::duration_cast<Duration>(-std::log(1.0 - random_.Unit()) * mean);
  }
  Duration Delay(std::size_t a, std::size_t b) const {
    return a % kDataCentres == b % kDataCentres ? mesh_.local_delay : mesh_.remote_delay;
  }

  void ScheduleHerd();
  void SetHalf(ServerState state);
  void StartNextCall();
  void StartAttempt(const CallPtr& call);
  void ScheduleHedge(const CallPtr& call);
  void Offer(const AttemptPtr& attempt);
  void Drop(const AttemptPtr& attempt);
  void CancelAtServer(const AttemptPtr& attempt);
  void ScheduleHang();
  void Apply(std::size_t server, const AdmissionControl::Decisions& decisions);
  void Serve(const AttemptPtr& attempt);
  void Reply(const AttemptPtr& attempt, AttemptEnd end);
  void Finish(const CallPtr& call, AttemptEnd end);
  bool EndedOnce() const;

  static constexpr std::size_t kDataCentres = 3;

  const Mesh mesh_;
  const SendScheme scheme_;
  const RunLength length_;
  ManualClock clock_;
  Random random_{kSeed};
  std::map<std::pair<SteadyTime, std::uint64_t>, std::function<void()>> tasks_;
  std::uint64_t sequence_ = 0;
  std::vector<BackendTarget> targets_;
  std::vector<const BackendTarget*> target_list_;
  std::vector<Server> servers_;
  std::vector<Node> nodes_;
  double capacity_ = 0;       ///< Of all servers, in requests per second.
  Duration mean_interval_{};  ///< Between requests.
  SteadyTime end_;
  SteadyTime measured_from_;
  std::uint64_t last_id_ = 0;

  std::uint64_t requests_ = 0;
  std::uint64_t answered_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t late_ = 0;
  std::uint64_t attempts_ = 0;
  std::vector<Duration> latencies_;
};

Model::Model(const Mesh& mesh, SendScheme scheme, double load, RunLength length)
    : mesh_(mesh), scheme_(std::move(scheme)), length_(length), servers_(mesh.servers) {
  for (int n = 0; n < mesh.servers; ++n) {
    BackendTarget target;
    target.instance = "node-" + std::to_string(n);
    target.data_centre = "dc-" + std::to_string(n % kDataCentres);
    target.service = "service";
    target.incarnation = 1;
    target.slots = mesh.slots;
    target.state = SERVER_UP;
    targets_.push_back(target);
    const double share = static_cast<double>(n) / (mesh.servers - 1);
    servers_[n].mean_service = std::chrono::duration_cast<Duration>(
        std::pow(kSlowestFactor, share) * kFastestServiceTime);
    capacity_ +=
        mesh.slots / std::chrono::duration<double>(servers_[n].mean_service).count();
    AdmissionLimits limits;
    limits.state = SERVER_UP;
    limits.slots = mesh.slots;
    servers_[n].admission.SetLimits(limits, clock_.Now());
  }
  for (int n = 0; n < mesh.admitting_nodes; ++n) {
    Node node;
    node.random = std::make_unique<Random>(kSeed + n);
    node.loads = std::make_unique<LoadTable>(&clock_, node.random.get());
    nodes_.push_back(std::move(node));
  }
  for (const BackendTarget& target : targets_) target_list_.push_back(&target);
  mean_interval_ = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / (capacity_ * load)));
}

Outcome Model::Run() {
  measured_from_ = clock_.Now() + length_.warm_up;
  end_ = measured_from_ + length_.measured;
  if (mesh_.herd) ScheduleHerd();
  if (mesh_.hang) ScheduleHang();
  StartNextCall();
  while (!tasks_.empty()) {
    auto it = tasks_.begin();
    clock_.Advance(it->first.first - clock_.Now());
    auto task = std::move(it->second);
    tasks_.erase(it);
    task();
  }
  Outcome outcome;
  const auto requests = static_cast<double>(requests_);
  const double seconds = std::chrono::duration<double>(length_.measured).count();
  outcome.ended_once = EndedOnce();
  outcome.offered = requests / (capacity_ * seconds);
  outcome.useful = static_cast<double>(answered_) / (capacity_ * seconds);
  outcome.refused = static_cast<double>(refused_) / requests;
  outcome.late = static_cast<double>(late_) / requests;
  outcome.attempts = static_cast<double>(attempts_) / requests;
  std::sort(latencies_.begin(), latencies_.end());
  if (!latencies_.empty()) {
    using Millis = std::chrono::duration<double, std::milli>;
    outcome.p50_ms = Millis(latencies_[latencies_.size() / 2]).count();
    outcome.p99_ms = Millis(latencies_[latencies_.size() * 99 / 100]).count();
  }
  return outcome;
}

bool Model::EndedOnce() const {
  // Every request ended in exactly one way, and all of its attempts have been released.
  if (requests_ == 0 || requests_ != answered_ + refused_ + late_) return false;
  if (answered_ != latencies_.size()) return false;
  for (const Server& server : servers_) {
    const bool idle = server.waiting.empty() && server.admission.outstanding() == 0;
    if (!idle || server.admission.queued() != 0) return false;
  }
  for (const Node& node : nodes_) {
    for (const BackendTarget& target : targets_) {
      if (node.loads->outstanding(target.instance) != 0) return false;
    }
  }
  return true;
}

void Model::ScheduleHerd() {
  After(length_.warm_up + length_.measured / 4, [this] { SetHalf(SERVER_DOWN); });
  After(length_.warm_up + length_.measured / 2, [this] { SetHalf(SERVER_UP); });
}

void Model::ScheduleHang() {
  After(length_.warm_up + length_.measured / 4, [this] { servers_[1].hangs = true; });
  After(length_.warm_up + length_.measured * 3 / 4,
        [this] { servers_[1].hangs = false; });
}

void Model::SetHalf(ServerState state) {
  for (std::size_t n = 0; n < servers_.size(); n += 2) {
    targets_[n].state = state;
    if (state == SERVER_UP) ++targets_[n].incarnation;
    AdmissionLimits limits;
    limits.state = state;
    limits.slots = mesh_.slots;
    Apply(n, servers_[n].admission.SetLimits(limits, clock_.Now()));
  }
}

void Model::StartNextCall() {
  if (clock_.Now() >= end_) return;
  After(Exponential(mean_interval_), [this] { StartNextCall(); });
  auto call = std::make_shared<Call>();
  call->node = random_.Below(nodes_.size());
  call->started = clock_.Now();
  call->measured = clock_.Now() >= measured_from_;
  if (call->measured) ++requests_;
  nodes_[call->node].budget->Earn("", kRetryPercent);
  After(kDeadline, [this, call] {
    if (call->ended) return;
    call->ended = true;
    if (call->measured) ++late_;
  });
  StartAttempt(call);
  ScheduleHedge(call);
}

void Model::StartAttempt(const CallPtr& call) {
  ChoiceOptions options;
  options.data_centre = "dc-" + std::to_string(call->node % kDataCentres);
  options.load_policy = scheme_.policy;
  options.tried = call->tried;
  const BackendTarget* target = nodes_[call->node].loads->Choose(target_list_, options);
  if (target == nullptr) return Finish(call, AttemptEnd::kRefusedByNode);
  if (call->measured) ++attempts_;
  call->tried.push_back(target->instance);
  auto attempt = std::make_shared<Attempt>();
  attempt->call = call;
  attempt->server = target - targets_.data();
  call->open_attempts.push_back(attempt);
  After(Delay(call->node, attempt->server), [this, attempt] { Offer(attempt); });
}

void Model::ScheduleHedge(const CallPtr& call) {
  if (scheme_.hedge_quantile <= 0) return;
  Node& node = nodes_[call->node];
  const Duration delay = node.latencies.Quantile(scheme_.hedge_quantile);
  if (delay == Duration::zero()) return;
  After(delay, [this, call, &node] {
    const bool unanswered = !call->ended && call->open_attempts.size() == 1;
    if (!unanswered || call->tried.size() >= targets_.size()) return;
    if (call->tried.size() < kMaxAttempts && node.budget->Spend("")) StartAttempt(call);
  });
}

void Model::Offer(const AttemptPtr& attempt) {
  Server& server = servers_[attempt->server];
  AdmissionRequest request;
  request.id = attempt->id = ++last_id_;
  request.deadline = attempt->call->started + kDeadline;
  server.waiting[request.id] = attempt;
  attempt->at_server = true;
  Apply(attempt->server, server.admission.Offer(request, clock_.Now()));
}

void Model::Drop(const AttemptPtr& attempt) {
  attempt->dropped = true;
  const std::size_t node = attempt->call->node;
  nodes_[node].loads->End(targets_[attempt->server], AttemptEnd::kAbandoned);
  After(Delay(node, attempt->server), [this, attempt] { CancelAtServer(attempt); });
}

void Model::CancelAtServer(const AttemptPtr& attempt) {
  if (!attempt->at_server) return;
  attempt->at_server = false;
  Server& server = servers_[attempt->server];
  if (server.waiting.erase(attempt->id) > 0) {
    server.admission.Cancel(attempt->id);
    return;
  }
  Apply(attempt->server, server.admission.Finish(Duration::zero(), clock_.Now()));
}

void Model::Apply(std::size_t server, const AdmissionControl::Decisions& decisions) {
  for (const AdmissionDecision& decision : decisions) {
    auto it = servers_[server].waiting.find(decision.id);
    const AttemptPtr attempt = it->second;
    servers_[server].waiting.erase(it);
    if (decision.code == ResultCode::kOk) {
      Serve(attempt);
    } else {
      attempt->at_server = false;
      Reply(attempt, AttemptEnd::kRefusedByNode);
    }
  }
}

void Model::Serve(const AttemptPtr& attempt) {
  // Half of a service time is constant, the other half is exponentially distributed.
  Server& server = servers_[attempt->server];
  const Duration mean = server.mean_service;
  const Duration needed = mean / 2 + Exponential(mean / 2);
  const SteadyTime deadline = attempt->call->started + kDeadline;
  const bool hangs = server.hangs;
  const bool in_time = !hangs && clock_.Now() + needed <= deadline;
  const Duration busy_time =
      in_time ? needed : std::max(Duration::zero(), deadline - clock_.Now());
  const AttemptEnd end = in_time ? AttemptEnd::kAnswered
                         : hangs ? AttemptEnd::kFailed
                                 : AttemptEnd::kAbandoned;
  After(busy_time, [this, attempt, busy_time, end] {
    if (!std::exchange(attempt->at_server, false)) return;
    const Duration service_time =
        end == AttemptEnd::kAnswered ? busy_time : Duration::zero();
    AdmissionControl& admission = servers_[attempt->server].admission;
    Apply(attempt->server, admission.Finish(service_time, clock_.Now()));
    Reply(attempt, end);
  });
}

void Model::Reply(const AttemptPtr& attempt, AttemptEnd end) {
  const LoadReport report = servers_[attempt->server].admission.load(clock_.Now());
  const std::size_t from = attempt->call->node;
  After(Delay(from, attempt->server), [this, attempt, from, end, report] {
    if (attempt->dropped) return;
    const BackendTarget& target = targets_[attempt->server];
    // A hanging server sends no load report; its attempt fails at the deadline.
    if (end != AttemptEnd::kFailed) nodes_[from].loads->Report(target, report);
    nodes_[from].loads->End(target, end);
    auto& open_attempts = attempt->call->open_attempts;
    open_attempts.erase(std::find(open_attempts.begin(), open_attempts.end(), attempt));
    Finish(attempt->call, end);
  });
}

void Model::Finish(const CallPtr& call, AttemptEnd end) {
  if (call->ended) return;
  Node& node = nodes_[call->node];
  if (end == AttemptEnd::kRefusedByNode) {
    if (!call->open_attempts.empty()) return;
    if (call->tried.size() < kMaxAttempts && call->tried.size() < targets_.size() &&
        node.budget->Spend("")) {
      return StartAttempt(call);
    }
  }
  call->ended = true;
  for (const AttemptPtr& attempt : std::exchange(call->open_attempts, {})) Drop(attempt);
  const Duration latency = clock_.Now() - call->started;
  if (end == AttemptEnd::kAnswered) node.latencies.Add(latency);
  if (!call->measured) return;
  if (end != AttemptEnd::kAnswered) {
    ++refused_;
    return;
  }
  ++answered_;
  latencies_.push_back(latency);
}

void PrintRow(const Mesh& mesh, const std::string& policy, double load,
              const Outcome& outcome) {
  std::printf("%-12s %-18s %5.0f%% %8.2f%% %7.2f%% %8.2f%% %6.2f%% %9.2f %8.1f %8.1f\n",
              mesh.name.c_str(), policy.c_str(), load * 100, outcome.offered * 100,
              outcome.useful * 100, outcome.refused * 100, outcome.late * 100,
              outcome.attempts, outcome.p50_ms, outcome.p99_ms);
}

/// Returns false if a request of any run did not end exactly once.
bool Compare(RunLength length) {
  // In a wide mesh each admitting node receives few load reports and learns of changes
  // late.
  const std::vector<Mesh> meshes = {
      {"arrieta", 12, 20, 12, std::chrono::microseconds(200),
       std::chrono::milliseconds(1)},
      {"lensa", 4, 6, 4, std::chrono::microseconds(200), std::chrono::microseconds(1500)},
      {"arrieta-wide", 12, 20, 480, std::chrono::microseconds(200),
       std::chrono::milliseconds(1)},
      {"lensa-wide", 4, 6, 160, std::chrono::microseconds(200),
       std::chrono::microseconds(1500)},
      {"arrieta-herd", 12, 20, 12, std::chrono::microseconds(200),
       std::chrono::milliseconds(1), true},
      {"lensa-herd", 4, 6, 4, std::chrono::microseconds(200),
       std::chrono::microseconds(1500), true},
      {"wide-herd", 12, 20, 480, std::chrono::microseconds(200),
       std::chrono::milliseconds(1), true},
      {"arrieta-hang", 12, 20, 12, std::chrono::microseconds(200),
       std::chrono::milliseconds(1), false, true},
      {"lensa-hang", 4, 6, 4, std::chrono::microseconds(200),
       std::chrono::microseconds(1500), false, true}};
  const std::vector<SendScheme> schemes = {
      {"random"},      {"round_robin"},       {"least_outstanding"},
      {"two_choices"}, {"two_choices", 0.95}, {"two_choices", 0.99}};
  bool all_ended_once = true;
  nlohmann::ordered_json rows = nlohmann::ordered_json::array();
  std::printf("%-12s %-18s %6s %9s %8s %9s %7s %9s %8s %8s\n", "mesh", "policy", "load",
              "offered", "useful", "refused", "late", "attempts", "p50 ms", "p99 ms");
  for (const Mesh& mesh : meshes) {
    const std::vector<double> loads =
        mesh.herd ? std::vector<double>{0.4, 0.9} : std::vector<double>{0.9, 1.8, 2.0};
    for (const double load : loads) {
      for (const SendScheme& scheme : schemes) {
        const Outcome outcome = Model(mesh, scheme, load, length).Run();
        if (!outcome.ended_once) {
          std::fprintf(stderr, "a request did not end exactly once: %s %s\n",
                       mesh.name.c_str(), scheme.name().c_str());
          all_ended_once = false;
        }
        PrintRow(mesh, scheme.name(), load, outcome);
        rows.push_back({{"mesh", mesh.name},
                        {"policy", scheme.name()},
                        {"load", load},
                        {"offered", outcome.offered},
                        {"useful", outcome.useful},
                        {"refused", outcome.refused},
                        {"late", outcome.late},
                        {"attempts", outcome.attempts},
                        {"p50_ms", outcome.p50_ms},
                        {"p99_ms", outcome.p99_ms}});
      }
    }
  }
  std::printf("%s\n", rows.dump().c_str());
  return all_ended_once;
}

}  // namespace
}  // namespace quetzal

int main(int argc, char** argv) {
  const bool smallest = argc == 2 && std::strcmp(argv[1], "--smallest") == 0;
  if (argc > 1 && !smallest) {
    std::fprintf(stderr, "usage: load_policy_bench [--smallest]\n");
    return 2;
  }
  const auto length = smallest ? quetzal::kShortRun : quetzal::kFullRun;
  return quetzal::Compare(length) ? 0 : 1;
}
