// Measures the convergence of confirmed configurations over real loopback sockets with
// all nodes in this process, and one publisher with many sessions. Usage:
//   spread_bench [--json FILE] [--nodes 12,50,100,200] [--sessions 1400] [--changes 40]
//                [--routes 0]
// --routes: number of routes that each change modifies, besides one service.
#include <algorithm>
#include <condition_variable>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <memory>
#include <mutex>
#include <numeric>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

#include "base/hybrid_clock.h"
#include "configuration/configuration_delta.h"
#include "counting_channels.h"
#include "distribution/node_distribution.h"
#include "distribution/publisher.h"
#include "distribution/subscriber_acceptor.h"
#include "net/stream_message_channels.h"
#include "net/stream_router.h"
#include "net/stream_rpc_client.h"
#include "net/stream_rpc_server.h"
#include "plugins/datagram_asio/asio_datagram_socket.h"
#include "plugins/runtime_asio/worker_pool.h"
#include "plugins/stream_nghttp2/nghttp2_transport.h"

namespace quetzal {
namespace {

constexpr int kWorkers = 4;
constexpr int kControlInstances = 3;

double MillisSince(SteadyTime start) {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() -
                                                   start)
      .count();
}

std::size_t ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::shared_ptr<const Configuration> MakeConfiguration(std::uint32_t n,
                                                       int changed_route_count) {
  auto configuration = std::make_shared<Configuration>();
  for (int service = 10; service < 20; ++service) {
    Service* added = configuration->add_services();
    added->set_name("service-" + std::to_string(service));
    added->set_slots(service == 10 ? 1 + n % 1000 : 20);
  }
  for (int route = 100; route < 150; ++route) {
    Route* added = configuration->add_routes();
    added->set_name("route-" + std::to_string(route));
    added->set_path_prefix("/" + std::to_string(route) + "/");
    added->set_timeout_ms(1000 + (route - 100 < changed_route_count ? n % 1000 : 0));
    Target* target = added->add_targets();
    target->set_service("service-" + std::to_string(10 + route % 10));
    target->set_weight(1);
  }
  return configuration;
}

Version VersionOf(std::uint64_t n) {
  Version version;
  version.set_term(1);
  version.set_index(n);
  return version;
}

/// The network objects of one instance.
struct InstanceNet {
  InstanceNet(WorkerPool* pool, UpdateCount* count, Http2Options options = {})
      : hybrid_clock(&clock),
        transport(pool, options),
        executor(pool->MakeExecutor()),
        stream_channels(&transport, &router, &hybrid_clock),
        channels(&stream_channels, count),
        rpc_client(&transport, executor.get(), &hybrid_clock),
        rpc_server(&router, &hybrid_clock),
        random(SeedFromSystem()) {}

  Endpoint Listen() { return transport.Listen({"127.0.0.1", 0}, router.acceptor()); }

  SystemClock clock;
  HybridClock hybrid_clock;
  StreamRouter router;
  Nghttp2Transport transport;
  std::unique_ptr<Executor> executor;
  StreamMessageChannels stream_channels;
  CountingChannels channels;
  StreamRpcClient rpc_client;
  StreamRpcServer rpc_server;
  Random random;
  NullEventLog events;
};

/// Records which nodes have reported the expected version as applied.
class VersionReports {
 public:
  void Record(const ProxyAck& ack) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (ack.applied_version.index() == expected_index_) reported_.insert(ack.instance);
    if (reported_.size() >= expected_nodes_) changed_.notify_all();
  }
  void Expect(std::uint64_t index, std::size_t count) {
    const std::lock_guard<std::mutex> lock(mutex_);
    expected_index_ = index;
    expected_nodes_ = count;
    reported_.clear();
  }
  bool Wait(Duration limit) {
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_for(lock, limit,
                             [this] { return reported_.size() >= expected_nodes_; });
  }
  bool HasReported(const std::string& instance) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return reported_.count(instance) != 0;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::set<std::string> reported_;
  std::uint64_t expected_index_ = 0;
  std::size_t expected_nodes_ = 0;
};

struct Fleet {
  Fleet(VersionReports* reports, int changed_route_count)
      : changed_routes(changed_route_count), pool(kWorkers) {
    for (int n = 0; n < kControlInstances; ++n) {
      Http2Options options;
      options.max_accepted_connections = 2000;
      control_nets.push_back(std::make_unique<InstanceNet>(&pool, &updates, options));
      InstanceNet& net = *control_nets.back();
      controls.push_back(net.Listen());
      FanoutSettings settings;
      settings.max_sessions = 2000;
      Publisher::Dependencies dependencies{&net.channels, net.executor.get(), &net.clock,
                                           &net.random, &net.events};
      publishers.push_back(std::make_unique<Publisher>(
          "control-" + std::to_string(n), settings, dependencies,
          [](const std::function<void(bool)>& done) { done(true); },
          [reports](const ProxyAck& ack) { reports->Record(ack); }));
      publishers.back()->Start();
      publishers.back()->SetQuorumBacked(true);
    }
  }
  ~Fleet() {
    for (auto& node : nodes) node->Stop();
    for (auto& publisher : publishers) publisher->Stop();
    pool.Stop();
  }

  void AddNode(int n, std::size_t relay_threshold) {
    node_nets.push_back(std::make_unique<InstanceNet>(&pool, &updates));
    InstanceNet& net = *node_nets.back();
    sockets.push_back(std::make_unique<AsioDatagramSocket>(&pool));
    NodeIdentity identity;
    identity.instance = "node-" + std::to_string(n);
    identity.data_centre = "dc-" + std::to_string(n % kControlInstances);
    identity.stream = net.Listen();
    identity.gossip = {"127.0.0.1", 0};
    NodeDistributionSettings settings;
    settings.controls = controls;
    settings.relay_threshold = relay_threshold;
    for (std::size_t seed = 0; seed < std::min<std::size_t>(3, nodes.size()); ++seed) {
      settings.seeds.push_back(nodes[seed]->gossip_address());
    }
    NodeDistribution::Dependencies dependencies;
    dependencies.datagrams = sockets.back().get();
    dependencies.rpc_client = &net.rpc_client;
    dependencies.rpc_server = &net.rpc_server;
    dependencies.channels = &net.channels;
    dependencies.executor = net.executor.get();
    dependencies.clock = &net.clock;
    dependencies.random = &net.random;
    dependencies.events = &net.events;
    nodes.push_back(std::make_unique<NodeDistribution>(identity, settings, dependencies));
    nodes.back()->Start();
  }

  void Publish(std::uint64_t index) {
    const auto configuration = ConfigurationAt(index);
    for (auto& publisher : publishers)
      publisher->Publish(VersionOf(index), configuration);
  }
  std::shared_ptr<const Configuration> ConfigurationAt(std::uint64_t index) const {
    return MakeConfiguration(static_cast<std::uint32_t>(index), changed_routes);
  }
  std::uint64_t ControlBytes() const {
    std::uint64_t bytes = 0;
    for (const auto& publisher : publishers) bytes += publisher->bytes_sent();
    return bytes;
  }
  std::size_t ControlSessions() const {
    std::size_t sessions = 0;
    for (const auto& publisher : publishers) sessions += publisher->sessions();
    return sessions;
  }

  int changed_routes;
  UpdateCount updates;
  WorkerPool pool;
  std::vector<std::unique_ptr<InstanceNet>> control_nets;
  std::vector<std::unique_ptr<Publisher>> publishers;
  std::vector<Endpoint> controls;
  std::vector<std::unique_ptr<InstanceNet>> node_nets;
  std::vector<std::unique_ptr<AsioDatagramSocket>> sockets;
  std::vector<std::unique_ptr<NodeDistribution>> nodes;
};

std::string PrintRow(const std::vector<std::pair<std::string, std::string>>& fields) {
  std::string json;
  for (const auto& [name, value] : fields) {
    std::cout << std::setw(18) << name + "=" + value << "  ";
    json += (json.empty() ? "{\"" : ", \"") + name + "\": ";
    const bool number = value.find_first_not_of("0123456789.") == std::string::npos;
    json += number ? value : "\"" + value + "\"";
  }
  std::cout << std::endl;
  return json + "}";
}

std::string FormatDecimal(double value) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(2) << value;
  return text.str();
}

/// Prints the nodes that have not reported, with the state of each.
void PrintMissing(const Fleet& fleet, VersionReports* reports) {
  for (std::size_t n = 0; n < fleet.nodes.size(); ++n) {
    const std::string instance = "node-" + std::to_string(n);
    if (reports->HasReported(instance)) continue;
    const NodeDistribution::Status status = fleet.nodes[n]->status();
    std::cout << "missing " << instance << ": applied " << status.applied_version.index()
              << ", known " << status.known.index() << ", source "
              << (status.source.empty() ? "none" : status.source)
              << (status.quorum_backed ? ", quorum-backed" : ", not quorum-backed")
              << (status.relay ? ", relay" : "") << ", subscribers " << status.subscribers
              << ", members " << fleet.nodes[n]->members().size() << "\n";
  }
}

std::string MeasureConvergence(int count, bool relays, int changes, int routes) {
  constexpr std::size_t kNeverRelay = 1'000'000;
  VersionReports reports;
  Fleet fleet(&reports, routes);
  std::uint64_t index = 1;
  reports.Expect(index, static_cast<std::size_t>(count));
  fleet.Publish(index);
  const SteadyTime started = std::chrono::steady_clock::now();
  for (int n = 0; n < count; ++n) fleet.AddNode(n, relays ? 4 : kNeverRelay);
  if (!reports.Wait(std::chrono::seconds(60))) {
    PrintMissing(fleet, &reports);
    return PrintRow({{"failed", "start"}, {"nodes", std::to_string(count)}});
  }
  const double start_ms = MillisSince(started);
  // Gives the nodes time to choose relays and to move subscribers to them.
  std::this_thread::sleep_for(std::chrono::seconds(6));
  const std::uint64_t bytes_before = fleet.ControlBytes();
  const std::uint64_t messages_before = fleet.updates.messages;
  const std::uint64_t update_bytes_before = fleet.updates.bytes;
  std::uint64_t delta_bytes = 0;
  std::vector<double> times;
  int timed_out = 0;
  for (int n = 0; n < changes; ++n) {
    reports.Expect(++index, static_cast<std::size_t>(count));
    const SteadyTime confirmed = std::chrono::steady_clock::now();
    fleet.Publish(index);
    if (!reports.Wait(std::chrono::seconds(10))) ++timed_out;
    delta_bytes +=
        MakeDelta(*fleet.ConfigurationAt(index - 1), *fleet.ConfigurationAt(index))
            .ByteSizeLong();
    times.push_back(MillisSince(confirmed));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  const double control_bytes =
      static_cast<double>(fleet.ControlBytes() - bytes_before) / changes;
  const double sent = static_cast<double>(changes) * count;
  const double delta = static_cast<double>(delta_bytes) / changes;
  const double update =
      static_cast<double>(fleet.updates.bytes - update_bytes_before) / sent;
  const double framing = static_cast<double>(fleet.updates.messages - messages_before) *
                         static_cast<double>(FramingBytes()) / sent;
  std::sort(times.begin(), times.end());
  return PrintRow({{"mode", relays ? "relays" : "direct"},
                   {"nodes", std::to_string(count)},
                   {"p50_ms", FormatDecimal(times[times.size() / 2])},
                   {"p99_ms", FormatDecimal(times[times.size() * 99 / 100])},
                   {"max_ms", FormatDecimal(times.back())},
                   {"missed", std::to_string(timed_out)},
                   {"start_ms", FormatDecimal(start_ms)},
                   {"control_sessions", std::to_string(fleet.ControlSessions())},
                   {"control_bytes_change", FormatDecimal(control_bytes)},
                   {"delta_bytes", FormatDecimal(delta)},
                   {"update_bytes_node", FormatDecimal(update)},
                   {"framing_bytes_node", FormatDecimal(framing)},
                   {"cost_by_delta", FormatDecimal((update + framing) / delta)}});
}

/// The subscriber side of a session, without the other parts of a node.
class StandInSubscriber final : public MessageChannelHandler,
                                public std::enable_shared_from_this<StandInSubscriber> {
 public:
  StandInSubscriber(std::string name, InstanceNet* net, const Endpoint& control,
                    std::atomic<std::uint64_t>* refused)
      : name_(std::move(name)), net_(net), control_(control), refused_(refused) {}

  /// Posts to the executor, as all callbacks do, so that the channel needs no lock.
  void Start() {
    net_->executor->Post([self = shared_from_this()] { self->Open(); });
  }
  void OnMessage(const std::string& bytes) override {
    net_->executor->Post([self = shared_from_this(), bytes] { self->Process(bytes); });
  }
  void OnClosed(ResultCode /*code*/) override {}

 private:
  void Open() {
    UpMessage message;
    message.mutable_subscribe()->set_instance(name_);
    message.mutable_subscribe()->set_incarnation(1);
    channel_ = net_->channels.Open(control_, kSubscribePath, shared_from_this());
    channel_->Send(message.SerializeAsString());
  }
  void Process(const std::string& bytes) {
    DownMessage message;
    if (!DecodeDown(bytes, &message)) return;
    if (message.has_refused()) {
      ++*refused_;
      retry_ = net_->executor->After(
          std::chrono::milliseconds(message.refused().retry_after_ms()),
          [self = shared_from_this()] { self->Open(); });
      return;
    }
    if (!message.has_update()) return;
    UpMessage answer;
    NodeAck* ack = answer.mutable_acks()->add_acks();
    ack->set_instance(name_);
    ack->set_incarnation(1);
    *ack->mutable_held() = message.update().version();
    channel_->Send(answer.SerializeAsString());
  }

  std::string name_;
  InstanceNet* net_;
  Endpoint control_;
  std::atomic<std::uint64_t>* refused_;
  std::shared_ptr<MessageChannel> channel_;
  std::unique_ptr<Timer> retry_;
};

std::string MeasureSessions(int count, int changes, int routes) {
  VersionReports reports;
  Fleet fleet(&reports, routes);
  std::uint64_t index = 1;
  fleet.Publish(index);
  reports.Expect(index, static_cast<std::size_t>(count));
  const std::size_t before = ResidentBytes();
  std::atomic<std::uint64_t> refused{0};
  std::vector<std::unique_ptr<InstanceNet>> nets;
  std::vector<std::shared_ptr<StandInSubscriber>> subscribers;
  for (int n = 0; n < count; ++n) {
    nets.push_back(std::make_unique<InstanceNet>(&fleet.pool, &fleet.updates));
    subscribers.push_back(std::make_shared<StandInSubscriber>(
        "stand-in-" + std::to_string(n), nets.back().get(), fleet.controls[0], &refused));
  }
  // All subscribe at once, which is more than a publisher admits: some are refused and
  // retry.
  const SteadyTime started = std::chrono::steady_clock::now();
  for (const auto& subscriber : subscribers) subscriber->Start();
  const bool all = reports.Wait(std::chrono::seconds(30));
  const double start_ms = MillisSince(started);
  const std::size_t after = ResidentBytes();
  std::vector<double> times;
  for (int n = 0; n < changes && all; ++n) {
    reports.Expect(++index, static_cast<std::size_t>(count));
    const SteadyTime confirmed = std::chrono::steady_clock::now();
    fleet.Publish(index);
    reports.Wait(std::chrono::seconds(10));
    times.push_back(MillisSince(confirmed));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  std::sort(times.begin(), times.end());
  fleet.pool.Stop();
  return PrintRow(
      {{"mode", "sessions"},
       {"sessions", std::to_string(count)},
       {"all_in", all ? "yes" : "no"},
       {"refused", std::to_string(refused)},
       {"start_ms", FormatDecimal(start_ms)},
       {"p50_ms", times.empty() ? "-" : FormatDecimal(times[times.size() / 2])},
       {"max_ms", times.empty() ? "-" : FormatDecimal(times.back())},
       {"bytes_both_ends",
        std::to_string((after - before) / static_cast<std::size_t>(count))}});
}

std::vector<int> ParseNumbers(const std::string& text) {
  std::vector<int> numbers;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    if (!part.empty()) numbers.push_back(std::stoi(part));
  }
  return numbers;
}

int Main(int argc, char** argv) {
  std::string json;
  std::string nodes = "12,50,100,200";
  int sessions = 1400;
  int changes = 40;
  int routes = 0;
  for (int n = 1; n + 1 < argc; n += 2) {
    const std::string flag = argv[n];
    if (flag == "--json") json = argv[n + 1];
    if (flag == "--nodes") nodes = argv[n + 1];
    if (flag == "--sessions") sessions = std::stoi(argv[n + 1]);
    if (flag == "--changes") changes = std::stoi(argv[n + 1]);
    if (flag == "--routes") routes = std::stoi(argv[n + 1]);
  }
  std::vector<std::string> rows;
  for (const int count : ParseNumbers(nodes)) {
    for (const bool relays : {true, false}) {
      rows.push_back(MeasureConvergence(count, relays, changes, routes));
    }
  }
  if (sessions > 0) rows.push_back(MeasureSessions(sessions, changes, routes));
  if (json.empty()) return 0;
  std::ofstream file(json);
  file << "[\n";
  for (std::size_t n = 0; n < rows.size(); ++n) {
    file << "  " << rows[n] << (n + 1 < rows.size() ? ",\n" : "\n");
  }
  file << "]\n";
  return 0;
}

}  // namespace
}  // namespace quetzal

int main(int argc, char** argv) { return quetzal::Main(argc, argv); }
