// Measures the latency that two nodes on the path add to a call, paired with direct calls
// to the same backend server, and the processor time per call.
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "base/random.h"
#include "bench_report.h"
#include "calls/call_path.h"
#include "net/stream_router.h"
#include "net/stream_rpc_client.h"
#include "net/stream_rpc_server.h"
#include "plugins/http1_beast/http1_transport.h"
#include "plugins/runtime_asio/worker_pool.h"
#include "plugins/stream_nghttp2/nghttp2_transport.h"

namespace quetzal {
namespace {

constexpr int kWarmUpCalls = 500;
constexpr int kPairs = 5000;
constexpr int kCallers = 8;
constexpr int kCallsPerCaller = 4000;
constexpr int kNodeWorkers = 2;
constexpr int kChainCalls = 9;
constexpr int kChainPairs = 1000;
constexpr int kCallsPerSecond = 5000;
constexpr int kSteadyRateCalls = 15000;
constexpr int kSteadyRateCallers = 16;
constexpr std::uint64_t kSeed = 20261203;
constexpr char kService[] = "reports";
constexpr char kRequest[] = "GET /reports/1 HTTP/1.1\r\nhost: bench\r\n\r\n";
constexpr char kAnswer[] = "whole";

Endpoint AnyPort() { return {"127.0.0.1", 0}; }

/// A caller with one connection and blocking calls.
class Caller {
 public:
  explicit Caller(const Endpoint& peer) : socket_(context_) {
    socket_.connect({boost::asio::ip::make_address(peer.address), peer.port});
    socket_.set_option(boost::asio::ip::tcp::no_delay(true));
  }

  /// Makes one call and returns its duration in microseconds. Throws Error(kAnswerCut)
  /// unless the status is 200.
  double Call() {
    const auto start = std::chrono::steady_clock::now();
    boost::asio::write(socket_, boost::asio::buffer(kRequest, sizeof(kRequest) - 1));
    std::string answer;
    boost::asio::read_until(socket_, boost::asio::dynamic_buffer(answer),
                            std::string("\r\n\r\n") + kAnswer);
    if (answer.compare(0, 12, "HTTP/1.1 200") != 0) {
      throw Error(ResultCode::kAnswerCut, answer);
    }
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() -
                                                     start)
        .count();
  }

 private:
  boost::asio::io_context context_;
  boost::asio::ip::tcp::socket socket_;
};

/// Answers every request immediately, or after one call to `next` if it is set.
class InstantBackend {
 public:
  explicit InstantBackend(const Endpoint* next = nullptr)
      : workers_(kNodeWorkers), http_(&workers_) {
    if (next != nullptr) next_ = std::make_unique<Caller>(*next);
    endpoint_ = http_.Listen(AnyPort(), [this](const std::string&, const StreamHeaders&,
                                               const std::shared_ptr<Stream>& stream) {
      if (next_) next_->Call();
      stream->SendHeaders(
          {{":status", "200"}, {"content-length", std::to_string(sizeof(kAnswer) - 1)}},
          false);
      stream->SendData(kAnswer, true);
      return std::make_shared<IgnoringHandler>();
    });
  }
  ~InstantBackend() { workers_.Stop(); }
  InstantBackend(const InstantBackend&) = delete;
  InstantBackend& operator=(const InstantBackend&) = delete;

  const Endpoint& endpoint() const { return endpoint_; }

 private:
  class IgnoringHandler : public StreamHandler {
    void OnHeaders(StreamHeaders /*headers*/) override {}
    void OnData(std::string_view /*bytes*/) override {}
    void OnEnd() override {}
    void OnReset(ResultCode /*code*/) override {}
  };

  WorkerPool workers_;
  Http1Transport http_;
  Endpoint endpoint_;
  std::unique_ptr<Caller> next_;  ///< Used by one request at a time.
};

class FixedRouting : public RoutingSource {
 public:
  std::shared_ptr<const RoutingSnapshot> snapshot() const override { return snapshot_; }
  void Set(const BackendTarget& target) {
    auto configuration = std::make_shared<Configuration>();
    configuration->add_services()->set_name(kService);
    Route* route = configuration->add_routes();
    route->set_name("all");
    route->set_path_prefix("/");
    route->set_idempotent(true);
    route->set_timeout_ms(10000);
    Target* weighted_target = route->add_targets();
    weighted_target->set_service(kService);
    weighted_target->set_weight(1);
    auto snapshot = std::make_shared<RoutingSnapshot>();
    snapshot->version.set_index(1);
    snapshot->configuration = configuration;
    snapshot->targets = {target};
    snapshot_ = snapshot;
  }

 private:
  std::shared_ptr<const RoutingSnapshot> snapshot_;
};

BackendTarget TargetAt(const std::string& instance, const Endpoint& stream_address) {
  BackendTarget target;
  target.instance = instance;
  target.data_centre = "one";
  target.incarnation = 1;
  target.stream_address = stream_address;
  target.service = kService;
  target.slots = 100;
  target.state = SERVER_UP;
  return target;
}

/// A node's transports and call path, without membership.
class BenchNode {
 public:
  explicit BenchNode(const std::string& instance, int workers = kNodeWorkers)
      : workers_(workers),
        executor_(workers_.MakeExecutor()),
        streams_(&workers_),
        http_(&workers_),
        rpc_client_(&streams_, executor_.get(), &hybrid_clock_),
        rpc_server_(&router_, &hybrid_clock_) {
    CallDependencies dependencies;
    dependencies.routing = &routing_;
    dependencies.peers = &streams_;
    dependencies.backends = &http_;
    dependencies.rpc_client = &rpc_client_;
    dependencies.rpc_server = &rpc_server_;
    dependencies.executor = executor_.get();
    dependencies.clock = &clock_;
    dependencies.random = &random_;
    dependencies.events = &events_;
    CallOptions options;
    options.instance = instance;
    options.data_centre = "one";
    options.incarnation = 1;
    calls_ = std::make_unique<CallPath>(dependencies, options);
    router_.Handle(kCallStreamPath,
                   [acceptor = calls_->peer_acceptor()](const StreamHeaders& headers,
                                                        std::shared_ptr<Stream> stream) {
                     return acceptor(kCallStreamPath, headers, std::move(stream));
                   });
    stream_address = streams_.Listen(AnyPort(), router_.acceptor());
    caller_address = http_.Listen(AnyPort(), calls_->caller_acceptor());
  }
  ~BenchNode() { workers_.Stop(); }
  BenchNode(const BenchNode&) = delete;
  BenchNode& operator=(const BenchNode&) = delete;

  void RouteTo(const BackendTarget& target) { routing_.Set(target); }
  void SetBackend(const Endpoint& address) {
    calls_->SetBackendServer({kService, address, 100, 100, SERVER_UP});
  }

  Endpoint stream_address;
  Endpoint caller_address;

 private:
  SystemClock clock_;
  HybridClock hybrid_clock_{&clock_};
  NullEventLog events_;
  Random random_{kSeed};
  FixedRouting routing_;
  StreamRouter router_;
  WorkerPool workers_;
  std::unique_ptr<Executor> executor_;
  Nghttp2Transport streams_;
  Http1Transport http_;
  StreamRpcClient rpc_client_;
  StreamRpcServer rpc_server_;
  std::unique_ptr<CallPath> calls_;
};

struct PairedLatencies {
  std::vector<double> direct;
  std::vector<double> via_nodes;
  std::vector<double> added;
};

PairedLatencies Measure(const Endpoint& direct, const Endpoint& via_nodes,
                        int pairs = kPairs) {
  Caller direct_caller(direct);
  Caller via_nodes_caller(via_nodes);
  PairedLatencies paired;
  for (int n = 0; n < kWarmUpCalls + pairs; ++n) {
    const double direct_us = direct_caller.Call();
    const double via_nodes_us = via_nodes_caller.Call();
    if (n < kWarmUpCalls) continue;
    paired.direct.push_back(direct_us);
    paired.via_nodes.push_back(via_nodes_us);
    paired.added.push_back(via_nodes_us - direct_us);
  }
  return paired;
}

void AddLatencyRow(BenchReport* report, const char* name,
                   const std::vector<double>& samples) {
  const SampleSummary summary = Summarize(samples);
  report->AddRow({name, summary.median, summary.p99, summary.worst, summary.count});
}

/// Measures the calls per second of several concurrent callers, and the processor time
/// per call of callers, nodes and backend server together.
void AddThroughputNote(BenchReport* report, const Endpoint& via_nodes) {
  const double cpu_before = ProcessorSeconds();
  const auto start = std::chrono::steady_clock::now();
  std::vector<std::thread> callers;
  for (int n = 0; n < kCallers; ++n) {
    callers.emplace_back([&via_nodes] {
      Caller caller(via_nodes);
      for (int call = 0; call < kCallsPerCaller; ++call) caller.Call();
    });
  }
  for (std::thread& caller : callers) caller.join();
  const std::chrono::duration<double> wall = std::chrono::steady_clock::now() - start;
  const double calls = kCallers * kCallsPerCaller;
  std::ostringstream note;
  note << kCallers << " callers at once through two nodes: " << std::fixed
       << std::setprecision(0) << calls / wall.count() << " calls/s; "
       << std::setprecision(1) << (ProcessorSeconds() - cpu_before) * 1e6 / calls
       << " us of processor time for a call, of callers, both nodes and backend server.";
  report->AddNote(note.str());
}

/// A backend server behind two nodes with one worker each: `near` admits the calls, `far`
/// is the node of the backend server.
struct Hop {
  Hop(int n, const Endpoint* next)
      : backend(next),
        near("near-" + std::to_string(n), 1),
        far("far-" + std::to_string(n), 1) {
    BackendTarget target = TargetAt("far-" + std::to_string(n), far.stream_address);
    near.RouteTo(target);
    far.RouteTo(target);
    far.SetBackend(backend.endpoint());
  }

  InstantBackend backend;
  BenchNode near;
  BenchNode far;
};

/// Measures chains of calls in which each backend server calls the next one, directly and
/// through two nodes.
void ReportChain() {
  std::vector<std::unique_ptr<InstantBackend>> direct_chain;
  std::vector<std::unique_ptr<Hop>> hops;
  for (int n = 0; n < kChainCalls; ++n) {
    const bool last = n == 0;
    direct_chain.push_back(std::make_unique<InstantBackend>(
        last ? nullptr : &direct_chain.back()->endpoint()));
    hops.push_back(
        std::make_unique<Hop>(n, last ? nullptr : &hops.back()->near.caller_address));
  }
  PairedLatencies paired = Measure(direct_chain.back()->endpoint(),
                                   hops.back()->near.caller_address, kChainPairs);
  BenchReport report("Chain of " + std::to_string(kChainCalls) + " calls",
                     {"path", "p50 us", "p99 us", "worst us", "chains"});
  AddLatencyRow(&report, "direct", paired.direct);
  AddLatencyRow(&report, "each call through two nodes", paired.via_nodes);
  AddLatencyRow(&report, "added to the chain, paired", paired.added);
  for (double& added : paired.added) added /= kChainCalls;
  AddLatencyRow(&report, "added for each call of a chain", paired.added);
  report.Print();
  // Destroys each server before the one that it calls.
  while (!hops.empty()) hops.pop_back();
  while (!direct_chain.empty()) direct_chain.pop_back();
}

/// Measures calls through one node with one worker at a fixed rate, which does not depend
/// on the answers. Latency counts from the time at which a call was due.
void ReportSteadyRate() {
  InstantBackend backend;
  BenchNode node("far", 1);
  node.RouteTo(TargetAt("far", node.stream_address));
  node.SetBackend(backend.endpoint());
  const auto period = std::chrono::nanoseconds(std::chrono::seconds(1)) / kCallsPerSecond;
  const auto start = std::chrono::steady_clock::now() + std::chrono::milliseconds(50);
  std::vector<std::vector<double>> samples(kSteadyRateCallers);
  std::vector<std::thread> callers;
  for (int n = 0; n < kSteadyRateCallers; ++n) {
    callers.emplace_back([&, n] {
      Caller caller(node.caller_address);
      for (int call = n; call < kSteadyRateCalls; call += kSteadyRateCallers) {
        const auto due = start + call * period;
        std::this_thread::sleep_until(due);
        caller.Call();
        samples[n].push_back(std::chrono::duration<double, std::micro>(
                                 std::chrono::steady_clock::now() - due)
                                 .count());
      }
    });
  }
  for (std::thread& caller : callers) caller.join();
  const std::chrono::duration<double> wall = std::chrono::steady_clock::now() - start;
  std::vector<double> all;
  std::vector<double> second_half;
  for (const auto& caller_samples : samples) {
    all.insert(all.end(), caller_samples.begin(), caller_samples.end());
    second_half.insert(
        second_half.end(),
        caller_samples.begin() + static_cast<std::ptrdiff_t>(caller_samples.size() / 2),
        caller_samples.end());
  }
  BenchReport report(
      "One node, one worker, " + std::to_string(kCallsPerSecond) + " calls/s offered",
      {"calls", "p50 us", "p99 us", "worst us", "count", "calls/s"});
  const SampleSummary all_summary = Summarize(all);
  const SampleSummary second_half_summary = Summarize(second_half);
  const double rate = kSteadyRateCalls / wall.count();
  report.AddRow({"all", all_summary.median, all_summary.p99, all_summary.worst,
                 all_summary.count, rate});
  report.AddRow({"second half", second_half_summary.median, second_half_summary.p99,
                 second_half_summary.worst, second_half_summary.count, rate});
  const bool queue_forms = rate < 0.98 * kCallsPerSecond ||
                           second_half_summary.median > 2 * all_summary.median;
  report.AddNote(queue_forms ? "A queue forms." : "No queue forms.");
  report.Print();
}

void Run() {
  InstantBackend backend;
  BenchNode near("near");
  BenchNode far("far");
  const BackendTarget target = TargetAt("far", far.stream_address);
  near.RouteTo(target);
  far.RouteTo(target);
  far.SetBackend(backend.endpoint());

  BenchReport report("Call latency", {"path", "p50 us", "p99 us", "worst us", "calls"});
  const PairedLatencies two = Measure(backend.endpoint(), near.caller_address);
  AddLatencyRow(&report, "direct to the backend server", two.direct);
  AddLatencyRow(&report, "through two nodes", two.via_nodes);
  AddLatencyRow(&report, "added by two nodes, paired", two.added);
  const PairedLatencies one = Measure(backend.endpoint(), far.caller_address);
  AddLatencyRow(&report, "through the backend server's own node", one.via_nodes);
  AddLatencyRow(&report, "added by one node, paired", one.added);
  AddThroughputNote(&report, near.caller_address);
  report.Print();
  ReportChain();
  ReportSteadyRate();
}

}  // namespace
}  // namespace quetzal

int main() {
  quetzal::Run();
  return 0;
}
