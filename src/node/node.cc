#include "node/node.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <future>
#include <thread>
#include <utility>

#include "base/result_code.h"
#include "net/stream_transport_registry.h"

namespace quetzal {
namespace {

constexpr std::chrono::milliseconds kPollPeriod{50};
constexpr std::chrono::milliseconds kStopPollPeriod{20};

/// Time for callers to move from their open connections to other nodes.
constexpr std::chrono::milliseconds kCallerReconnectTime{2200};

/// Time for the sockets to send the last answers and closing frames once every request
/// has been answered.
constexpr std::chrono::milliseconds kFlushLimit{1500};

std::uint64_t IncarnationAt(const Clock& clock) {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::nanoseconds>(
                                        clock.WallNow().time_since_epoch())
                                        .count());
}

StreamTransportOptions CallerLimits(const Settings& settings) {
  StreamTransportOptions limits;
  limits.head_timeout = settings.Millis("head-timeout-ms");
  limits.half_close_cancels = settings.Flag("half-close-cancels");
  limits.max_accepted_connections =
      static_cast<std::size_t>(settings.Integer("max-callers"));
  return limits;
}

/// Heartbeats that may be missed before the backend server counts as down.
constexpr int kMissedHeartbeats = 4;

/// Backend servers wait for one second for an acknowledgement.
constexpr std::chrono::milliseconds kHoldLimit{800};

/// Part of --stop-limit-ms that is reserved for ending the process.
constexpr std::chrono::milliseconds kStopMargin{300};

/// Part of the drain limit that is reserved for sending the last answers.
constexpr std::chrono::milliseconds kAnswerMargin{100};

Duration DrainLimit(const Settings& settings) {
  const Duration stop = settings.Millis("stop-limit-ms");
  if (stop == Duration::zero()) return settings.Millis("drain-limit-ms");
  return std::max<Duration>(Duration::zero(), stop - kStopMargin);
}

Duration AnnouncementTimeout(const Settings& settings) {
  const Duration period = settings.Millis("heartbeat-period-ms");
  if (period == Duration::zero()) return settings.Millis("announcement-timeout-ms");
  return kMissedHeartbeats * period;
}

/// Returns `addresses` with each port replaced by `port`, unless that is 0.
std::vector<Endpoint> WithPort(std::vector<Endpoint> addresses, std::int64_t port) {
  for (Endpoint& address : addresses) {
    if (port != 0) address.port = static_cast<std::uint16_t>(port);
  }
  return addresses;
}

KeyAcceptorOptions KeyOptions(const Settings& settings) {
  KeyAcceptorOptions options;
  options.max_records = static_cast<std::size_t>(settings.Integer("key-records"));
  options.max_bytes = static_cast<std::size_t>(settings.Integer("key-bytes"));
  return options;
}

}  // namespace

Node::Node(const Settings& settings, const Clock* clock, HybridClock* hybrid_clock,
           EventLog* events)
    : clock_(clock),
      events_(events),
      drain_limit_(DrainLimit(settings)),
      caller_grace_(settings.Millis("caller-grace-ms")),
      incarnation_(IncarnationAt(*clock)),
      instance_(settings.Text("instance")),
      data_centre_(settings.Text("data-centre")),
      distribution_random_(SeedFromSystem()),
      call_random_(SeedFromSystem()),
      runtime_(RuntimeRegistry::Instance().Create(
          "asio", static_cast<int>(settings.Integer("workers")))),
      rpc_executor_(runtime_->MakeExecutor()),
      distribution_executor_(runtime_->MakeExecutor()),
      call_executor_(runtime_->MakeExecutor()),
      key_executor_(runtime_->MakeExecutor()),
      node_executor_(runtime_->MakeExecutor()),
      streams_(StreamTransportRegistry::Instance().Create("nghttp2", runtime_.get(), {})),
      http_(StreamTransportRegistry::Instance().Create("http1", runtime_.get(),
                                                       CallerLimits(settings))),
      datagrams_(DatagramSocketRegistry::Instance().Create("udp", runtime_.get())),
      rpc_client_(streams_.get(), rpc_executor_.get(), hybrid_clock),
      rpc_server_(&router_, hybrid_clock),
      channels_(streams_.get(), &router_, hybrid_clock),
      team_limiter_(clock, SeedFromSystem()) {
  runtime_->OnStopSignal([this] { RequestStop(); });
  // Flags and environment variables cannot change while the process runs.
  runtime_->OnReloadSignal([this] { events_->Emit({"settings.kept", {}}); });
  stream_address_ = streams_->Listen(settings.Address("streams"), router_.acceptor());
  const std::string& advertised = settings.Text("advertised-streams");
  if (!advertised.empty()) stream_address_ = ParseEndpoint(advertised);
  caller_address_ = http_->Bind(settings.Address("callers"), CallerAcceptor());
  StartComponents(settings);
  ServeAdmin(settings);
  ServeBackendServer(settings);
  ready_ = true;
  // Before a configuration has arrived, the readiness check keeps most callers away; the
  // others are refused at once with an answer that asks them to retry.
  if (server_interface_) StartAccepting();
  events_->Emit({"process.started",
                 {{"callers", caller_address_.ToString()},
                  {"streams", stream_address_.ToString()},
                  {"gossip", distribution_->gossip_address().ToString()},
                  {"admin", admin_address_.ToString()},
                  {"incarnation", std::to_string(incarnation_)}}});
}

Node::~Node() {
  if (admin_) admin_->Stop();
  if (heartbeat_server_) heartbeat_server_->Stop();
  if (readiness_server_) readiness_server_->Stop();
  runtime_->Stop();
}

StreamAcceptor Node::CallerAcceptor() {
  return [this](const std::string& path, const StreamHeaders& headers,
                const std::shared_ptr<Stream>& stream) {
    if (!ready_) throw Error(ResultCode::kNodeStarting, "this node is starting");
    return calls_->caller_acceptor()(path, headers, stream);
  };
}

void Node::StartComponents(const Settings& settings) {
  NodeDistributionSettings distribution;
  const std::vector<Endpoint> controls = settings.Addresses("control");
  distribution.controls = WithPort(controls, settings.Integer("control-port"));
  distribution.credential_lease = settings.Millis("credential-lease-ms");
  distribution.backoff_cap = settings.Millis("reconnect-cap-ms");
  distribution.seeds = settings.Addresses("seeds");
  if (const std::int64_t port = settings.Integer("control-gossip-port")) {
    const std::vector<Endpoint> gossip_addresses = WithPort(controls, port);
    distribution.seeds.insert(distribution.seeds.end(), gossip_addresses.begin(),
                              gossip_addresses.end());
  }
  NodeDistribution::Dependencies distribution_dependencies;
  distribution_dependencies.datagrams = datagrams_.get();
  distribution_dependencies.rpc_client = &rpc_client_;
  distribution_dependencies.rpc_server = &rpc_server_;
  distribution_dependencies.channels = &channels_;
  distribution_dependencies.executor = distribution_executor_.get();
  distribution_dependencies.clock = clock_;
  distribution_dependencies.random = &distribution_random_;
  distribution_dependencies.events = events_;
  distribution_dependencies.team_limiter = &team_limiter_;
  distribution_dependencies.on_former_observations =
      [this](const ServerObservations& observations) {
        backend_monitor_->RecordFormerObservations(observations);
      };
  distribution_dependencies.version_counts = [this] { return calls_->version_counts(); };
  distribution_ = std::make_unique<NodeDistribution>(
      NodeIdentity{instance_, data_centre_, incarnation_, settings.Address("gossip"),
                   stream_address_, caller_address_},
      distribution, distribution_dependencies);

  key_holder_ = std::make_shared<KeyHolderService>(instance_, incarnation_,
                                                   KeyOptions(settings), &rpc_client_,
                                                   key_executor_.get(), clock_, events_);
  key_holder_->Start(&rpc_server_);
  keys_ = std::make_unique<QuorumKeyRecords>(
      instance_, incarnation_, &distribution_->routing(), key_holder_, &rpc_client_,
      key_executor_.get(), clock_, SeedFromSystem());

  CallDependencies calls;
  calls.routing = &distribution_->routing();
  calls.peers = streams_.get();
  calls.backends = http_.get();
  calls.rpc_client = &rpc_client_;
  calls.rpc_server = &rpc_server_;
  const std::string& dialect = settings.Text("call-dialect");
  if (dialect != kDefaultDialect) {
    dialect_ = CallDialectRegistry::Instance().Create(dialect);
  }
  calls.dialect = dialect_.get();
  calls.keys = keys_.get();
  calls.executor = call_executor_.get();
  calls.clock = clock_;
  calls.random = &call_random_;
  calls.events = events_;
  calls.quotas = &team_limiter_;
  calls.on_backend_unreachable = [this] {
    node_executor_->Post([this] { backend_monitor_->MarkUnreachable(); });
  };
  calls.on_backend_leaving = [this](const std::string& server_id) {
    node_executor_->Post(
        [this, server_id] { backend_monitor_->RecordLeavingAnswer(server_id); });
  };
  calls.on_request_cut = [this](const CutRequest& cut) {
    node_executor_->Post([this, cut] { backend_monitor_->RecordCut(cut); });
  };
  calls.on_trial_passed = [this](const Acquittal& acquittal) {
    node_executor_->Post(
        [this, acquittal] { backend_monitor_->RecordTrialPassed(acquittal); });
  };
  CallOptions options;
  options.instance = instance_;
  options.data_centre = data_centre_;
  options.incarnation = incarnation_;
  options.default_timeout = settings.Millis("call-timeout-ms");
  options.service = settings.Text("service");
  options.load_policy = settings.Text("load-policy");
  options.shared_retry_burst =
      static_cast<std::uint32_t>(settings.Integer("retry-burst"));
  options.retry_percent =
      static_cast<std::uint32_t>(std::lround(settings.Ratio("retry-ratio") * 100));
  calls_ = std::make_unique<CallPath>(calls, options);
  router_.Handle(kCallStreamPath,
                 [acceptor = calls_->peer_acceptor()](const StreamHeaders& headers,
                                                      std::shared_ptr<Stream> stream) {
                   return acceptor(kCallStreamPath, headers, std::move(stream));
                 });

  backend_monitor_ = std::make_unique<BackendServerMonitor>(
      AnnouncementTimeout(settings), clock_, events_,
      [this](const LocalBackendServer& server) { SetBackendServer(server); });
  if (!settings.Text("server-interface").empty()) {
    backend_monitor_->AwaitFormerObservations();
  }
  server_reports_ = std::make_unique<ServerReports>(
      backend_monitor_.get(), [this](std::function<void(bool held)> done) {
        distribution_->AwaitHeld(kHoldLimit, std::move(done));
      });
  distribution_->Start();
  poll_timer_ = node_executor_->Every(kPollPeriod, [this] { Poll(); });
}

void Node::ServeAdmin(const Settings& settings) {
  metrics_ = MetricsFormatRegistry::Instance().Create("prometheus");
  admin_ = AdminServerRegistry::Instance().Create("http1", runtime_.get());
  admin_address_ = admin_->Listen(
      settings.Address("admin"),
      [this](const AdminRequest& request, const AdminReply& reply) {
        reply(AnswerAdmin(
            request, backend_monitor_.get(), [this] { return Report(); }, *metrics_));
      });
}

void Node::ServeBackendServer(const Settings& settings) {
  const std::string& name = settings.Text("server-interface");
  if (name.empty()) return;
  server_interface_ = ServerInterfaceRegistry::Instance().Create(
      name, ServerInterfaceDependencies{
                server_reports_.get(), settings.Text("service"), [this] {
                  const NodeDistribution::Status status = distribution_->status();
                  return !stop_requested_ && status.serving && status.joined &&
                         distribution_->routing().credentials_proved();
                }});
  if (!settings.Text("heartbeats").empty()) {
    heartbeat_server_ = AdminServerRegistry::Instance().Create("http1", runtime_.get());
    heartbeat_server_->Listen(
        settings.Address("heartbeats"),
        [this](const AdminRequest& request, const AdminReply& reply) {
          server_interface_->HandleServer(request, reply);
        });
  }
  if (settings.Text("readiness").empty()) return;
  readiness_server_ = AdminServerRegistry::Instance().Create("http1", runtime_.get());
  readiness_server_->Listen(settings.Address("readiness"),
                            [this](const AdminRequest& request, const AdminReply& reply) {
                              server_interface_->HandleReadiness(request, reply);
                            });
}

void Node::SetBackendServer(const LocalBackendServer& server) {
  calls_->SetBackendServer(server);
  BackendServer announced;
  announced.set_service(server.service);
  announced.set_slots(server.slots);
  announced.set_connections(server.connections);
  announced.set_state(server.state);
  announced.set_version(server.version);
  if (server.observations) *announced.mutable_observations() = *server.observations;
  distribution_->SetBackendServer(announced);
}

void Node::Poll() {
  backend_monitor_->Tick();
  if (!former_known_ && distribution_->status().former_known) {
    former_known_ = true;
    backend_monitor_->FormerObservationsKnown();
  }
  const auto snapshot = distribution_->routing().snapshot();
  // Callers that come before the backend servers of the fleet are known would be refused.
  if (snapshot && !accepting_ && distribution_->status().joined) StartAccepting();
  if (snapshot && snapshot->crashing && snapshot->crashing != crashing_) {
    crashing_ = snapshot->crashing;
    backend_monitor_->RecordCrashingRequests(*crashing_);
  }
  if (!snapshot || snapshot->version.index() <= keys_version_.index()) return;
  keys_version_ = snapshot->version;
  key_holder_->SetConfiguration(*snapshot->configuration);
}

void Node::StartAccepting() {
  accepting_ = true;
  try {
    http_->StartAccepting();
  } catch (const Error& error) {
    events_->Emit(
        {"process.failed", {{"code", std::to_string(static_cast<int>(error.code()))}}});
    failure_ = error.code();
    RequestStop();
  }
}

void Node::RequestStop() {
  if (!stop_requested_.exchange(true)) stop_signal_.set_value();
}

NodeReport Node::Report() const {
  NodeReport report;
  report.instance = instance_;
  report.data_centre = data_centre_;
  report.incarnation = incarnation_;
  report.distribution = distribution_->status();
  report.members = distribution_->members();
  report.server = backend_monitor_->server();
  report.crashes = backend_monitor_->crashes();
  const auto snapshot = distribution_->routing().snapshot();
  if (snapshot) report.crashing = snapshot->crashing;
  report.calls = calls_->counts();
  report.teams = team_limiter_.Counts();
  report.credentials_proved = distribution_->routing().credentials_proved();
  report.key_records = key_holder_->record_count();
  report.key_bytes = key_holder_->record_bytes();
  report.peer_streams = streams_->open_streams();
  report.http_streams = http_->open_streams();
  return report;
}

std::string Node::Addresses() const {
  return "callers=" + caller_address_.ToString() +
         " streams=" + stream_address_.ToString() +
         " gossip=" + distribution_->gossip_address().ToString() +
         " admin=" + admin_address_.ToString();
}

bool Node::HasSuccessor() const {
  if (!distribution_->status().quorum_backed) return false;
  const std::vector<Member> members = distribution_->members();
  return std::any_of(members.begin(), members.end(), [this](const Member& member) {
    return member.instance() != instance_ && member.data_centre() == data_centre_ &&
           member.state() == MEMBER_ALIVE;
  });
}

void Node::HandOverKeys(SteadyTime limit) {
  const SteadyTime began = clock_->Now();
  const SteadyTime callers_moved = began + kCallerReconnectTime;
  while (clock_->Now() < callers_moved ||
         (key_holder_->holds_any_group() && HasSuccessor() && clock_->Now() < limit)) {
    std::this_thread::sleep_for(kStopPollPeriod);
  }
  const auto waited =
      std::chrono::duration_cast<std::chrono::milliseconds>(clock_->Now() - began);
  events_->Emit({"keys.handed_over",
                 {{"whole", key_holder_->holds_any_group() ? "false" : "true"},
                  {"waited_ms", std::to_string(waited.count())}}});
}

std::uint64_t Node::Stop() {
  events_->Emit({"process.stopping", {}});
  const SteadyTime limit = clock_->Now() + drain_limit_;
  const SteadyTime answer_limit = limit - kAnswerMargin;
  auto drained = std::make_shared<std::promise<void>>();
  auto left = std::make_shared<std::promise<void>>();
  auto drained_future = drained->get_future();
  auto left_future = left->get_future();
  calls_->PrepareStop(answer_limit);
  if (caller_grace_ > Duration::zero()) {
    // Callers are asked to open their next connections elsewhere; meanwhile they and the
    // local backend server are served as before.
    http_->PrepareDrain();
    std::this_thread::sleep_for(caller_grace_);
  }
  backend_monitor_->Stop();
  // Peers are asked first to send no new requests. Callers are still served while their
  // connections close, so that none is refused only because it uses a stopping node.
  distribution_->AnnounceLeaving();
  if (caller_grace_ == Duration::zero()) {
    http_->Drain();
    HandOverKeys(limit);
  }
  distribution_->Leave([left] { left->set_value(); });
  calls_->Drain([drained] { drained->set_value(); });
  drained_future.wait_until(answer_limit);
  const std::uint64_t cut = calls_->counts().in_flight;
  calls_->EndCalls();
  if (caller_grace_ == Duration::zero()) {
    left_future.wait_until(limit);
  } else {
    // The listener stays open until here, so that late callers are asked at once to
    // retry. A node that soon restarts does not wait until all members know that it is
    // leaving.
    http_->Drain();
  }
  streams_->Drain();
  // The sockets may still hold bytes of the last answers.
  const SteadyTime flush_limit = std::min(clock_->Now() + kFlushLimit, limit);
  while (http_->open_streams() + streams_->open_streams() > 0 &&
         clock_->Now() < flush_limit) {
    std::this_thread::sleep_for(kStopPollPeriod);
  }
  admin_->Stop();
  if (heartbeat_server_) heartbeat_server_->Stop();
  if (readiness_server_) readiness_server_->Stop();
  poll_timer_.reset();
  distribution_->Stop();
  events_->Emit({"process.stopped", {{"cut", std::to_string(cut)}}});
  return cut;
}

}  // namespace quetzal
