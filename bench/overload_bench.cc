// Useful answers by kind of request while more requests come than the servers can serve,
// in a queueing simulation: production code for admission and the choice of a server, on
// simulated backend servers that call each other. Callers that are refused come back
// after the stated time. Prints a table and one line of JSON. Fails if a request did not
// end exactly once or a slot stayed taken. Options: --smallest runs a few seconds of
// simulated time; --nested-as-new treats calls of servers like new requests; --ask-always
// probes four servers for each request; --load-policy names the choice of a server.

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "overload_model.h"

namespace quetzal {

using std::chrono::milliseconds;

OverloadModel::OverloadModel(Scenario scenario, std::string load_policy, Duration length,
                             bool marks_nested, bool knows_waits)
    : scenario_(std::move(scenario)),
      load_policy_(std::move(load_policy)),
      length_(length),
      marks_nested_(marks_nested),
      knows_waits_(knows_waits) {
  for (std::size_t n = 0; n < kServers; ++n) {
    BackendTarget target;
    target.instance = "node-" + std::to_string(n);
    target.data_centre = "dc-" + std::to_string(n % kDataCentres);
    target.service = "service-" + std::to_string(n / kDataCentres % kServices);
    target.incarnation = 1;
    target.slots = kSlots;
    target.state = SERVER_UP;
    targets_.push_back(target);
    AdmissionLimits limits;
    limits.state = SERVER_UP;
    limits.slots = kSlots;
    servers_[n].admission.SetLimits(limits, clock_.Now());
    if (scenario_.uneven) servers_[n].speed = kUnevenFactors.at(n / 9 % 3);
    nodes_[n].random = std::make_unique<Random>(n);
    nodes_[n].loads = std::make_unique<LoadTable>(&clock_, nodes_[n].random.get());
  }
  double slot_time = 0;
  for (const Kind& kind : kKinds) slot_time += kind.share * Seconds(SlotTime(kind));
  usual_rate_ = kServers * kSlots * kUsualLoad / slot_time;
  for (std::size_t n = 0; n < kServers; ++n) {
    by_service_.at(n / kDataCentres % kServices).push_back(&targets_[n]);
  }
}

void OverloadModel::Run() {
  for (std::size_t kind = 0; kind < kNested; ++kind) ScheduleKind(kind);
  for (Duration at{}; at < length_; at += kBurstPeriod) {
    After(at, [this] {
      for (std::size_t n = 0; n < servers_.size(); n += 6)
        servers_[n].factor = scenario_.slow_factor;
    });
    After(at + kBurstLength, [this] {
      for (Server& server : servers_) server.factor = 1;
    });
  }
  while (!tasks_.empty()) {
    const Task task = tasks_.top();
    tasks_.pop();
    clock_.Advance(task.at - clock_.Now());
    task.run();
  }
}

void OverloadModel::ScheduleKind(std::size_t kind) {
  const Duration now = clock_.Now() - start_;
  if (now >= length_) return;
  // Thinning: candidates come at the rate of a burst, some of which are dropped.
  const double highest = std::max(Rate(kind, false), Rate(kind, true));
  if (random_.Unit() * highest < Rate(kind, InBurst(now))) {
    auto call = MakeCall(kind, random_.Below(nodes_.size()), random_.Below(kServices),
                         kKinds[kind].deadline);
    ++counts_[kind].offered;
    Accept(call);
  }
  const Duration mean =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / highest));
  After(Exponential(mean), [this, kind] { ScheduleKind(kind); });
}

OverloadModel::CallPtr OverloadModel::MakeCall(std::size_t kind, std::size_t node,
                                               std::size_t service, Duration deadline) {
  auto call = std::make_shared<Call>();
  call->kind = kind;
  call->node = node;
  call->service = service;
  call->deadline = clock_.Now() + deadline;
  call->objective = clock_.Now() + kKinds[kind].objective;
  After(deadline, [this, call] {
    if (call->ended) return;
    ++counts_[call->kind].lost;
    End(call, false);
  });
  return call;
}

/// The coordinating node receives the request, or receives it again.
void OverloadModel::Accept(const CallPtr& call) {
  if (call->ended) return;
  Node& node = nodes_[call->node];
  const SteadyTime now = clock_.Now();
  Duration elapsed{};
  if (call->kind != kNested || !marks_nested_) {
    elapsed =
        node.timeouts.ElapsedBefore(kKinds[call->kind].name, call->deadline - now, now);
  }
  call->node_objective = now - elapsed + kKinds[call->kind].objective;
  call->tried.clear();
  call->full.clear();
  call->probes = true;
  call->attempts = 0;
  node.budget->Earn("", kRetryPercent);
  Attempt(call);
}

const BackendTarget* OverloadModel::Choose(const CallPtr& call) {
  ChoiceOptions options;
  options.data_centre = "dc-" + std::to_string(call->node % kDataCentres);
  options.load_policy = load_policy_;
  options.tried = call->tried;
  return nodes_[call->node].loads->Choose(by_service_.at(call->service), options);
}

/// As CallerCall::IsKnownUnservable.
bool OverloadModel::IsKnownUnservable(const CallPtr& call) {
  KnownWaits& waits = nodes_[call->node].waits;
  const bool nested = marks_nested_ && call->kind == kNested;
  if (call->attempts > 0 || nested || !knows_waits_) return false;
  const SteadyTime now = clock_.Now();
  const Duration bearable =
      std::max<Duration>(Duration::zero(), call->node_objective - now);
  for (const BackendTarget* target : by_service_.at(call->service)) {
    const Duration wait =
        waits.Remaining(target->instance, kKinds.at(call->kind).priority, now);
    if (wait <= bearable) return false;
  }
  return !waits.TakeProbe(std::to_string(call->service), now);
}

void OverloadModel::Attempt(const CallPtr& call) {
  if (call->ended) return;
  Node& node = nodes_[call->node];
  const BackendTarget* target = nullptr;
  if (call->probes && IsKnownUnservable(call))
    return GiveUp(call, call->node_objective - clock_.Now());
  const std::string& target_service = by_service_.at(call->service).front()->service;
  call->probes = call->probes &&
                 call->full.size() <
                     (knows_waits_ ? node.probes.Limit(target_service, clock_.Now()) : 4);
  if (call->probes || call->full.empty()) target = Choose(call);
  if (target != nullptr) return Send(call, *target);
  call->probes = false;
  if (call->full.empty()) return GiveUp(call, Duration::zero());
  const auto shortest =
      std::min_element(call->full.begin(), call->full.end(),
                       [](const auto& a, const auto& b) { return a.second < b.second; });
  const auto full = *shortest;
  call->full.erase(shortest);
  const bool nested = marks_nested_ && call->kind == kNested;
  const SteadyTime latest = nested ? call->deadline : call->node_objective;
  if (clock_.Now() + full.second > latest) return GiveUp(call, full.second);
  node.loads->Begin(targets_[full.first]);
  node.waits.Forget(targets_[full.first].instance);
  Send(call, targets_[full.first]);
}

void OverloadModel::Send(const CallPtr& call, const BackendTarget& target) {
  ++call->attempts;
  ++messages_;
  call->tried.push_back(target.instance);
  call->server = &target - targets_.data();
  After(Delay(call->node, call->server), [this, call] {
    if (!call->ended) return Offer(call);
    nodes_[call->node].loads->End(targets_[call->server], AttemptEnd::kAbandoned);
  });
}

void OverloadModel::Offer(const CallPtr& call) {
  const Kind& kind = kKinds[call->kind];
  AdmissionRequest request;
  request.id = call->id = ++last_id_;
  request.idempotent = call->kind != 1;
  request.priority = kind.priority;
  request.deadline = call->deadline;
  request.objective = call->node_objective;
  request.work = kind.name;
  request.nested = marks_nested_ && call->kind == kNested;
  if (call->probes) request.max_wait = Duration::zero();
  Server& server = servers_[call->server];
  server.waiting[request.id] = call;
  call->queued = true;
  Apply(call->server, server.admission.Offer(request, clock_.Now()));
}

void OverloadModel::Apply(std::size_t server,
                          const AdmissionControl::Decisions& decisions) {
  for (const AdmissionDecision& decision : decisions) {
    const auto it = servers_[server].waiting.find(decision.id);
    const CallPtr call = it->second;
    servers_[server].waiting.erase(it);
    call->queued = false;
    if (decision.code == ResultCode::kOk) {
      Serve(call);
      continue;
    }
    const LoadReport report = servers_[server].admission.load(clock_.Now());
    After(Delay(call->node, server), [this, call, server, decision, report] {
      Report(call->node, server, report);
      nodes_[call->node].loads->End(targets_[server], AttemptEnd::kRefusedByNode);
      if (!call->ended) Refused(call, decision.code, decision.retry_after);
    });
  }
}

void OverloadModel::Report(std::size_t node, std::size_t server,
                           const LoadReport& report) {
  nodes_[node].loads->Report(targets_[server], report);
  if (report.outstanding < report.slots) {
    nodes_[node].waits.Forget(targets_[server].instance);
  }
}

void OverloadModel::Serve(const CallPtr& call) {
  call->runs = true;
  call->sent_at = clock_.Now();
  const auto finish = [this, call] {
    if (call->probes) {
      nodes_[call->node].probes.Record(targets_[call->server].service, true,
                                       clock_.Now());
    }
    Release(call, clock_.Now() - call->sent_at);
    const LoadReport report = servers_[call->server].admission.load(clock_.Now());
    Report(call->node, call->server, report);
    Count& count = counts_.at(call->kind);
    ++(clock_.Now() <= call->objective ? count.in_time : count.late);
    End(call, true);
  };
  if (!kKinds[call->kind].calls || call->kind == kNested) {
    return ServeHalf(call, [this, call, finish] { ServeHalf(call, finish); });
  }
  ServeHalf(call, [this, call, finish] {
    // Nested calls go into the second and the third service.
    const std::size_t own = call->server / kDataCentres % kServices;
    const std::size_t service = own == 1 ? 2 : own == 2 ? 1 : 1 + random_.Below(2);
    call->child =
        MakeCall(kNested, call->server, service,
                 std::min(kKinds[kNested].deadline, call->deadline - clock_.Now()));
    ++counts_[kNested].offered;
    call->child->done = [this, call, finish](bool answered) {
      if (call->ended) return;
      if (answered) return ServeHalf(call, finish);
      ++counts_.at(call->kind).lost;
      End(call, false);
    };
    Accept(call->child);
  });
}

/// Half of the work is constant, the other half is exponentially distributed.
void OverloadModel::ServeHalf(const CallPtr& call, std::function<void()> done) {
  const Duration mean = std::chrono::duration_cast<Duration>(
      servers_[call->server].factor * servers_[call->server].speed *
      kKinds[call->kind].work / 2);
  After(mean / 2 + Exponential(mean / 2), [call, done = std::move(done)] {
    if (!call->ended) done();
  });
}

void OverloadModel::Release(const CallPtr& call, Duration service_time) {
  call->runs = false;
  nodes_[call->node].loads->End(targets_[call->server], service_time > Duration::zero()
                                                            ? AttemptEnd::kAnswered
                                                            : AttemptEnd::kAbandoned);
  Apply(call->server, servers_[call->server].admission.Finish(
                          call->id, kKinds[call->kind].name, service_time, clock_.Now()));
}

void OverloadModel::Refused(const CallPtr& call, ResultCode code, Duration retry_after) {
  if (call->probes && code == ResultCode::kServerFull) {
    call->full.emplace_back(call->server, retry_after);
    nodes_[call->node].probes.Record(targets_[call->server].service, false, clock_.Now());
    if (call->kind != kNested) {
      nodes_[call->node].waits.Record(targets_[call->server].instance,
                                      kKinds.at(call->kind).priority, retry_after,
                                      clock_.Now());
    }
    return Attempt(call);
  }
  if (call->attempts < kMaxAttempts && nodes_[call->node].budget->Spend("")) {
    return Attempt(call);
  }
  GiveUp(call, retry_after);
}

/// The coordinating node refuses; the caller comes back unless it is too late then.
void OverloadModel::GiveUp(const CallPtr& call, Duration wait) {
  Node& node = nodes_[call->node];
  const SteadyTime now = clock_.Now();
  const std::string& service = by_service_.at(call->service).front()->service;
  node.rates.Record(service, true, now);
  const Duration delay = node.rates.RetryAfter(service, wait, now, random_.Unit());
  if (now + delay + kKinds[call->kind].work < call->deadline && call->kind != kNested) {
    return After(delay, [this, call] { Accept(call); });
  }
  ++counts_.at(call->kind).refused;
  End(call, false);
}

void OverloadModel::End(const CallPtr& call, bool answered) {
  call->ended = true;
  if (answered) {
    nodes_[call->node].rates.Record(by_service_.at(call->service).front()->service, false,
                                    clock_.Now());
  }
  if (call->queued) {
    call->queued = false;
    Server& server = servers_[call->server];
    server.waiting.erase(call->id);
    server.admission.Cancel(call->id);
    nodes_[call->node].loads->End(targets_[call->server], AttemptEnd::kAbandoned);
  }
  if (call->child && !call->child->ended) {
    ++counts_[kNested].lost;
    End(call->child, false);
  }
  if (call->runs) Release(call, Duration::zero());
  if (call->done) call->done(answered);
}

bool OverloadModel::EndedOnce() const {
  for (const Count& count : counts_) {
    const auto ended = count.in_time + count.late + count.refused + count.lost;
    if (count.offered == 0 || count.offered != ended) return false;
  }
  return std::all_of(servers_.begin(), servers_.end(), [](const Server& server) {
    return server.waiting.empty() && server.admission.outstanding() == 0;
  });
}

double OverloadModel::Messages() const {
  std::uint64_t offered = 0;
  for (std::size_t kind = 0; kind < kNested; ++kind) offered += counts_.at(kind).offered;
  return static_cast<double>(messages_) / static_cast<double>(offered);
}

double OverloadModel::Value() const {
  double value = 0;
  for (std::size_t kind = 0; kind < kNested; ++kind) {
    value += kKinds.at(kind).value * static_cast<double>(counts_.at(kind).in_time) +
             kKinds.at(kind).late_value * static_cast<double>(counts_.at(kind).late);
  }
  return value;
}

double OverloadModel::MaxValue() const {
  double value = 0;
  for (const bool burst : {false, true}) {
    const double share = Seconds(kBurstLength) / Seconds(kBurstPeriod);
    const double time = Seconds(length_) * (burst ? share : 1 - share);
    double slots = 0;
    for (std::size_t n = 0; n < servers_.size(); ++n)
      slots +=
          kSlots / servers_[n].speed / (burst && n % 6 == 0 ? scenario_.slow_factor : 1);
    double left = slots * time;
    // In the order of value per slot time.
    for (std::size_t kind = 0; kind < kNested; ++kind) {
      const double slot_time = Seconds(SlotTime(kKinds.at(kind)));
      const double served = std::min(Rate(kind, burst) * time, left / slot_time);
      left -= served * slot_time;
      value += served * kKinds.at(kind).value;
    }
  }
  return value;
}

namespace {

bool RunAll(const std::string& load_policy, Duration length, bool marks_nested,
            bool knows_waits) {
  const std::vector<Scenario> scenarios = {
      {"usual load", {1, 1, 1}},
      {"burst 1.7", {1.7, 1.7, 1.7}},
      {"burst 2.6", {2.6, 2.6, 2.6}},
      {"burst of patient", {1, 1, 5}},
      {"burst of urgent", {2.6, 1, 1}},
      {"slow servers", {1, 1, 1}, 5},
      {"slow and burst", {1.7, 1.7, 1.7}, 5},
      {"uneven", {1, 1, 1}, 1, true},
      {"uneven and burst", {1.7, 1.7, 1.7}, 1, true}};
  bool all_ended_once = true;
  nlohmann::ordered_json rows = nlohmann::ordered_json::array();
  std::printf("%-17s %-8s %8s %8s %7s %8s %7s\n", "scenario", "kind", "offered",
              "in time", "late", "refused", "lost");
  for (const Scenario& scenario : scenarios) {
    OverloadModel model(scenario, load_policy, length, marks_nested, knows_waits);
    model.Run();
    if (!model.EndedOnce()) {
      std::fprintf(stderr, "a request did not end once: %s\n", scenario.name.c_str());
      all_ended_once = false;
    }
    const double share = model.Value() / model.MaxValue();
    nlohmann::ordered_json row = {{"scenario", scenario.name},
                                  {"value_share", share},
                                  {"messages", model.Messages()}};
    for (std::size_t kind = 0; kind < kKinds.size(); ++kind) {
      const Count& count = model.counts().at(kind);
      const double all = static_cast<double>(count.offered) / 100;
      std::printf(
          "%-17s %-8s %8llu %7.1f%% %6.1f%% %7.1f%% %6.1f%%\n", scenario.name.c_str(),
          kKinds.at(kind).name, static_cast<unsigned long long>(count.offered),
          static_cast<double>(count.in_time) / all, static_cast<double>(count.late) / all,
          static_cast<double>(count.refused) / all,
          static_cast<double>(count.lost) / all);
      row[kKinds.at(kind).name] = {{"offered", count.offered},
                                   {"in_time", count.in_time},
                                   {"late", count.late},
                                   {"refused", count.refused},
                                   {"lost", count.lost}};
    }
    std::printf("%-17s value: %.1f%% of the maximum; %.2f messages per request\n",
                scenario.name.c_str(), share * 100, model.Messages());
    rows.push_back(row);
  }
  std::printf("%s\n", rows.dump().c_str());
  return all_ended_once;
}

}  // namespace
}  // namespace quetzal

int main(int argc, char** argv) {
  bool smallest = false;
  bool marks_nested = true;
  bool knows_waits = true;
  std::string load_policy = quetzal::kDefaultLoadPolicy;
  for (int n = 1; n < argc; ++n) {
    if (std::strcmp(argv[n], "--smallest") == 0) {
      smallest = true;
    } else if (std::strcmp(argv[n], "--nested-as-new") == 0) {
      marks_nested = false;
    } else if (std::strcmp(argv[n], "--ask-always") == 0) {
      knows_waits = false;
    } else if (std::strcmp(argv[n], "--load-policy") == 0 && n + 1 < argc) {
      load_policy = argv[++n];
    } else {
      std::fprintf(stderr,
                   "usage: overload_bench [--smallest] [--nested-as-new] [--ask-always] "
                   "[--load-policy NAME]\n");
      return 2;
    }
  }
  const auto length = std::chrono::seconds(smallest ? 6 : 40);
  return quetzal::RunAll(load_policy, length, marks_nested, knows_waits) ? 0 : 1;
}
