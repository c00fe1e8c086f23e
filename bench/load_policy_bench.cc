// Compares the load policies on a queue model: the real choice, admission and retry code
// over servers whose speeds are a factor of ten apart. Prints a table and one line of
// JSON. Fails when a request was not counted exactly once, or anything is left over at
// the end. With --smallest a run takes a few seconds at most; its figures say nothing.

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
constexpr Duration kFastest = std::chrono::milliseconds(10);
constexpr double kSlowestFactor = 10;
constexpr int kMaxAttempts = 4;
constexpr std::uint32_t kRetryPercent = 20;
constexpr std::uint64_t kSeed = 20261203;

/// Length of a run.
struct Span {
  Duration warm_up{};
  Duration counted{};
};

constexpr Span kFullSpan = {std::chrono::seconds(3), std::chrono::seconds(12)};
constexpr Span kSmallestSpan = {std::chrono::milliseconds(200), std::chrono::seconds(1)};

/// A mesh of one service over three data centres.
struct Mesh {
  std::string name;
  int servers = 0;
  std::uint32_t slots = 0;
  int senders = 0;     ///< Nodes that take callers' requests; the first have the servers.
  Duration inside{};   ///< One way between nodes of a data centre.
  Duration between{};  ///< One way between data centres.
  bool herd = false;   ///< Every other server dies for a time, and all return at once.
  bool hang = false;   ///< The second server does not answer for half of the time.
};

/// How a request is sent.
struct Sending {
  std::string policy;
  /// A second attempt follows after this quantile of the latencies that the node saw; 0:
  /// never.
  double hedge_quantile = 0;

  std::string name() const {
    if (hedge_quantile <= 0) return policy;
    return "hedge_p" + std::to_string(std::lround(hedge_quantile * 100));
  }
};

struct Outcome {
  double offered = 0;  ///< Requests drawn, as a share of the summed capacity.
  double useful = 0;   ///< Answers in time, as a share of the summed capacity.
  double refused = 0;  ///< Share of the requests.
  double late = 0;     ///< Share of the requests that passed their deadline.
  double attempts = 0;
  double p50_ms = 0;
  double p99_ms = 0;
  bool counted_once = false;  ///< Each request has one end, and nothing is left over.
};

class Model {
 public:
  Model(const Mesh& mesh, Sending sending, double load, Span span);

  Outcome Run();

 private:
  struct Attempt;
  using AttemptPtr = std::shared_ptr<Attempt>;
  struct Call {
    std::size_t node = 0;
    SteadyTime started;
    bool counted = false;
    std::vector<std::string> tried;
    std::vector<AttemptPtr> open;
    bool over = false;
  };
  using CallPtr = std::shared_ptr<Call>;
  struct Attempt {
    CallPtr call;
    std::size_t server = 0;
    std::uint64_t id = 0;    ///< At the server.
    bool given_up = false;   ///< By the node; nothing more is heard of it.
    bool at_server = false;  ///< Waits or runs there.
  };
  struct Server {
    AdmissionControl admission;
    Duration mean_service{};
    bool hangs = false;
    std::unordered_map<std::uint64_t, AttemptPtr> waiting;
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
    return a % kDataCentres == b % kDataCentres ? mesh_.inside : mesh_.between;
  }

  void ScheduleHerd();
  void SetHalf(ServerState state);
  void Arrive();
  void Open(const CallPtr& call);
  void HedgeLater(const CallPtr& call);
  void Offer(const AttemptPtr& attempt);
  void GiveUp(const AttemptPtr& attempt);
  void CancelAtServer(const AttemptPtr& attempt);
  void ScheduleHang();
  void Apply(std::size_t server, const AdmissionControl::Decisions& decisions);
  void Serve(const AttemptPtr& attempt);
  void Reply(const AttemptPtr& attempt, AttemptEnd end);
  void Finish(const CallPtr& call, AttemptEnd end);
  bool CountedOnce() const;

  static constexpr std::size_t kDataCentres = 3;

  const Mesh mesh_;
  const Sending sending_;
  const Span span_;
  ManualClock clock_;
  Random random_{kSeed};
  std::map<std::pair<SteadyTime, std::uint64_t>, std::function<void()>> tasks_;
  std::uint64_t sequence_ = 0;
  std::vector<BackendTarget> targets_;
  std::vector<const BackendTarget*> target_list_;
  std::vector<Server> servers_;
  std::vector<Node> nodes_;
  double capacity_ = 0;  ///< Requests per second of all servers.
  Duration gap_{};       ///< Mean time between requests.
  SteadyTime end_;
  SteadyTime count_from_;
  std::uint64_t last_id_ = 0;

  std::uint64_t requests_ = 0;
  std::uint64_t answered_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t late_ = 0;
  std::uint64_t attempts_ = 0;
  std::vector<Duration> latencies_;
};

Model::Model(const Mesh& mesh, Sending sending, double load, Span span)
    : mesh_(mesh), sending_(std::move(sending)), span_(span), servers_(mesh.servers) {
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
    servers_[n].mean_service =
        std::chrono::duration_cast<Duration>(std::pow(kSlowestFactor, share) * kFastest);
    capacity_ +=
        mesh.slots / std::chrono::duration<double>(servers_[n].mean_service).count();
    AdmissionLimits limits;
    limits.state = SERVER_UP;
    limits.slots = mesh.slots;
    servers_[n].admission.SetLimits(limits, clock_.Now());
  }
  for (int n = 0; n < mesh.senders; ++n) {
    Node node;
    node.random = std::make_unique<Random>(kSeed + n);
    node.loads = std::make_unique<LoadTable>(&clock_, node.random.get());
    nodes_.push_back(std::move(node));
  }
  for (const BackendTarget& target : targets_) target_list_.push_back(&target);
  gap_ = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / (capacity_ * load)));
}

Outcome Model::Run() {
  count_from_ = clock_.Now() + span_.warm_up;
  end_ = count_from_ + span_.counted;
  if (mesh_.herd) ScheduleHerd();
  if (mesh_.hang) ScheduleHang();
  Arrive();
  while (!tasks_.empty()) {
    auto it = tasks_.begin();
    clock_.Advance(it->first.first - clock_.Now());
    auto task = std::move(it->second);
    tasks_.erase(it);
    task();
  }
  Outcome outcome;
  const auto requests = static_cast<double>(requests_);
  const double seconds = std::chrono::duration<double>(span_.counted).count();
  outcome.counted_once = CountedOnce();
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

bool Model::CountedOnce() const {
  // Every request has an end of one kind, and each of its attempts was taken back.
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
  After(span_.warm_up + span_.counted / 4, [this] { SetHalf(SERVER_DOWN); });
  After(span_.warm_up + span_.counted / 2, [this] { SetHalf(SERVER_UP); });
}

void Model::ScheduleHang() {
  After(span_.warm_up + span_.counted / 4, [this] { servers_[1].hangs = true; });
  After(span_.warm_up + span_.counted * 3 / 4, [this] { servers_[1].hangs = false; });
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

void Model::Arrive() {
  if (clock_.Now() >= end_) return;
  After(Exponential(gap_), [this] { Arrive(); });
  auto call = std::make_shared<Call>();
  call->node = random_.Below(nodes_.size());
  call->started = clock_.Now();
  call->counted = clock_.Now() >= count_from_;
  if (call->counted) ++requests_;
  nodes_[call->node].budget->Earn("", kRetryPercent);
  After(kDeadline, [this, call] {
    if (call->over) return;
    call->over = true;
    if (call->counted) ++late_;
  });
  Open(call);
  HedgeLater(call);
}

void Model::Open(const CallPtr& call) {
  ChoiceOptions options;
  options.data_centre = "dc-" + std::to_string(call->node % kDataCentres);
  options.load_policy = sending_.policy;
  options.tried = call->tried;
  const BackendTarget* target = nodes_[call->node].loads->Choose(target_list_, options);
  if (target == nullptr) return Finish(call, AttemptEnd::kRefusedByNode);
  if (call->counted) ++attempts_;
  call->tried.push_back(target->instance);
  auto attempt = std::make_shared<Attempt>();
  attempt->call = call;
  attempt->server = target - targets_.data();
  call->open.push_back(attempt);
  After(Delay(call->node, attempt->server), [this, attempt] { Offer(attempt); });
}

void Model::HedgeLater(const CallPtr& call) {
  if (sending_.hedge_quantile <= 0) return;
  Node& node = nodes_[call->node];
  const Duration delay = node.latencies.Quantile(sending_.hedge_quantile);
  if (delay == Duration::zero()) return;
  After(delay, [this, call, &node] {
    const bool waits = !call->over && call->open.size() == 1;
    if (!waits || call->tried.size() >= targets_.size()) return;
    if (call->tried.size() < kMaxAttempts && node.budget->Spend("")) Open(call);
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

void Model::GiveUp(const AttemptPtr& attempt) {
  attempt->given_up = true;
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
  // Half of a service time is the same for all requests, half varies.
  Server& server = servers_[attempt->server];
  const Duration mean = server.mean_service;
  const Duration wanted = mean / 2 + Exponential(mean / 2);
  const SteadyTime deadline = attempt->call->started + kDeadline;
  const bool hangs = server.hangs;
  const bool in_time = !hangs && clock_.Now() + wanted <= deadline;
  const Duration span =
      in_time ? wanted : std::max(Duration::zero(), deadline - clock_.Now());
  const AttemptEnd end = in_time ? AttemptEnd::kAnswered
                         : hangs ? AttemptEnd::kFailed
                                 : AttemptEnd::kAbandoned;
  After(span, [this, attempt, span, end] {
    if (!std::exchange(attempt->at_server, false)) return;
    const Duration seen = end == AttemptEnd::kAnswered ? span : Duration::zero();
    AdmissionControl& admission = servers_[attempt->server].admission;
    Apply(attempt->server, admission.Finish(seen, clock_.Now()));
    Reply(attempt, end);
  });
}

void Model::Reply(const AttemptPtr& attempt, AttemptEnd end) {
  const LoadReport report = servers_[attempt->server].admission.load(clock_.Now());
  const std::size_t from = attempt->call->node;
  After(Delay(from, attempt->server), [this, attempt, from, end, report] {
    if (attempt->given_up) return;
    const BackendTarget& target = targets_[attempt->server];
    // A server that hangs is given up at the deadline, without a report.
    if (end != AttemptEnd::kFailed) nodes_[from].loads->Report(target, report);
    nodes_[from].loads->End(target, end);
    auto& open = attempt->call->open;
    open.erase(std::find(open.begin(), open.end(), attempt));
    Finish(attempt->call, end);
  });
}

void Model::Finish(const CallPtr& call, AttemptEnd end) {
  if (call->over) return;
  Node& node = nodes_[call->node];
  if (end == AttemptEnd::kRefusedByNode) {
    if (!call->open.empty()) return;
    if (call->tried.size() < kMaxAttempts && call->tried.size() < targets_.size() &&
        node.budget->Spend("")) {
      return Open(call);
    }
  }
  call->over = true;
  for (const AttemptPtr& attempt : std::exchange(call->open, {})) GiveUp(attempt);
  const Duration latency = clock_.Now() - call->started;
  if (end == AttemptEnd::kAnswered) node.latencies.Add(latency);
  if (!call->counted) return;
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

/// False when a run did not count every request once.
bool Compare(Span span) {
  // A wide mesh has so many senders that each knows little, and that late.
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
  const std::vector<Sending> sendings = {
      {"random"},      {"round_robin"},       {"least_outstanding"},
      {"two_choices"}, {"two_choices", 0.95}, {"two_choices", 0.99}};
  bool all_counted_once = true;
  nlohmann::ordered_json rows = nlohmann::ordered_json::array();
  std::printf("%-12s %-18s %6s %9s %8s %9s %7s %9s %8s %8s\n", "mesh", "policy", "load",
              "offered", "useful", "refused", "late", "attempts", "p50 ms", "p99 ms");
  for (const Mesh& mesh : meshes) {
    const std::vector<double> loads =
        mesh.herd ? std::vector<double>{0.4, 0.9} : std::vector<double>{0.9, 1.8, 2.0};
    for (const double load : loads) {
      for (const Sending& sending : sendings) {
        const Outcome outcome = Model(mesh, sending, load, span).Run();
        if (!outcome.counted_once) {
          std::fprintf(stderr, "not counted once: %s %s\n", mesh.name.c_str(),
                       sending.name().c_str());
          all_counted_once = false;
        }
        PrintRow(mesh, sending.name(), load, outcome);
        rows.push_back({{"mesh", mesh.name},
                        {"policy", sending.name()},
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
  return all_counted_once;
}

}  // namespace
}  // namespace quetzal

int main(int argc, char** argv) {
  const bool smallest = argc == 2 && std::strcmp(argv[1], "--smallest") == 0;
  if (argc > 1 && !smallest) {
    std::fprintf(stderr, "usage: load_policy_bench [--smallest]\n");
    return 2;
  }
  const auto span = smallest ? quetzal::kSmallestSpan : quetzal::kFullSpan;
  return quetzal::Compare(span) ? 0 : 1;
}
