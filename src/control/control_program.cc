#include "control/control_program.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "control/control_metrics.h"
#include "net/stream_transport_registry.h"

namespace quetzal {
namespace {

// All nodes of a fleet may subscribe to one control instance.
constexpr std::size_t kMaxAcceptedConnections = 2048;

/// Bounds the startup time: a start applies all entries since the snapshot, and an entry
/// that replaces a configuration of many hundred routes keeps a core busy for
/// milliseconds.
constexpr std::uint64_t kSnapshotEntries = 32;
constexpr std::uint64_t kSnapshotLogBytes = 2 << 20;

StreamTransportOptions TransportLimits() {
  StreamTransportOptions limits;
  limits.max_accepted_connections = kMaxAcceptedConnections;
  return limits;
}

std::vector<AgreementPeer> AgreementPeers(const std::map<std::string, Endpoint>& peers) {
  std::vector<AgreementPeer> list;
  for (const auto& [name, endpoint] : peers) list.push_back({name, endpoint});
  return list;
}

/// Finds a peer in the group that the log defines. Falls back to the settings, since the
/// log may not define a group yet.
PeerLookup MakePeerLookup(const Agreement* agreement, std::string self,
                          std::map<std::string, Endpoint> settings) {
  return [agreement, self = std::move(self), settings = std::move(settings)](
             const std::string& name) -> std::optional<Endpoint> {
    if (name == self) return std::nullopt;
    for (const GroupMember& member : agreement->group()) {
      if (member.name == name) return member.endpoint;
    }
    const auto it = settings.find(name);
    return it == settings.end() ? std::nullopt : std::optional(it->second);
  };
}

/// Returns true if this instance may found a group. One whose seeds do not include it
/// joins an existing group and must not found another.
bool IsFounder(const Settings& settings) {
  const std::vector<Endpoint> seeds = settings.Addresses("seeds");
  const std::string self = settings.Address("streams").address;
  return seeds.empty() ||
         std::any_of(seeds.begin(), seeds.end(),
                     [&self](const Endpoint& seed) { return seed.address == self; });
}

ControlService::Distribution MakeDistribution(Publisher* publisher) {
  return {[publisher](const Version& version,
                      std::shared_ptr<const Configuration> configuration) {
            publisher->Publish(version, std::move(configuration));
          },
          [publisher](bool backed) { publisher->SetQuorumBacked(backed); },
          [publisher] { return publisher->bytes_sent(); }};
}

}  // namespace

ControlProgram::ControlProgram(const Settings& settings,
                               std::map<std::string, Endpoint> peers, const Clock* clock,
                               HybridClock* hybrid_clock, EventLog* events)
    : settings_(settings),
      peers_(std::move(peers)),
      clock_(clock),
      events_(events, clock),
      agreement_random_(SeedFromSystem()),
      publisher_random_(SeedFromSystem()),
      membership_random_(SeedFromSystem()),
      runtime_(RuntimeRegistry::Instance().Create(
          "asio", static_cast<int>(settings.Integer("workers")))),
      agreement_executor_(runtime_->MakeExecutor()),
      publisher_executor_(runtime_->MakeExecutor()),
      control_executor_(runtime_->MakeExecutor()),
      rpc_executor_(runtime_->MakeExecutor()),
      transport_(StreamTransportRegistry::Instance().Create("nghttp2", runtime_.get(),
                                                            TransportLimits())),
      rpc_client_(std::make_unique<StreamRpcClient>(transport_.get(), rpc_executor_.get(),
                                                    hybrid_clock)),
      rpc_server_(std::make_unique<StreamRpcServer>(&router_, hybrid_clock)),
      channels_(std::make_unique<StreamMessageChannels>(transport_.get(), &router_,
                                                        hybrid_clock)),
      storage_(
          LogStorageRegistry::Instance().Create("file", settings.Text("data-folder"))),
      machine_(std::make_unique<IntentMachine>(
          [this](const Version& version,
                 const std::shared_ptr<const Configuration>& configuration) {
            service_->OnConfigured(version, configuration);
          })) {
  // A stop signal during the start takes effect once the instance can stop gracefully.
  runtime_->OnStopSignal([this] { stop_signal_.set_value(); });
  // Flags and environment variables cannot change while the process runs.
  runtime_->OnReloadSignal([this] { events_.Emit({"settings.kept", {}}); });
  AgreementOptions options;
  options.snapshot_entries = kSnapshotEntries;
  options.snapshot_log_bytes = kSnapshotLogBytes;
  options.bootstrap = settings.Flag("bootstrap") && IsFounder(settings);
  agreement_ = std::make_unique<AgreementService>(
      AgreementPeer{settings.Text("instance"), settings.Address("streams")},
      AgreementPeers(peers_), machine_.get(), storage_.get(), rpc_client_.get(),
      rpc_server_.get(), agreement_executor_.get(), clock_, &agreement_random_, &events_,
      options);
  publisher_ = std::make_unique<Publisher>(
      settings.Text("instance"), FanoutSettings{},
      Publisher::Dependencies{channels_.get(), publisher_executor_.get(), clock_,
                              &publisher_random_, &events_},
      [this](const std::function<void(bool)>& done) {
        agreement_->ReadBarrier(
            [done](ResultCode code) { done(code == ResultCode::kOk); });
      },
      [this](const ProxyAck& ack) { service_->OnAck(ack); });
  const PeerLookup lookup =
      MakePeerLookup(agreement_.get(), settings.Text("instance"), peers_);
  service_ = std::make_unique<ControlService>(
      ControlService::Dependencies{agreement_.get(), machine_.get(),
                                   MakeDistribution(publisher_.get()), rpc_client_.get(),
                                   rpc_server_.get(), control_executor_.get(), clock_,
                                   &events_},
      lookup, ConvergenceSettings{settings.Millis("proxy-lease-ms")});
  api_ = std::make_unique<IntentApi>(
      IntentApi::Dependencies{agreement_.get(), machine_.get(), service_.get(),
                              rpc_client_.get(), rpc_server_.get(),
                              control_executor_.get(), clock_, &events_},
      settings.Text("instance"), settings.Text("data-centre"), lookup);
  if (settings.Flag("key-groups")) {
    key_group_reconciler_ = std::make_unique<KeyGroupReconciler>(
        KeyGroupReconciler::Dependencies{agreement_.get(), machine_.get(), service_.get(),
                                         rpc_client_.get(), control_executor_.get(),
                                         clock_, &events_},
        KeyGroupSettings{});
  }
  control_group_reconciler_ =
      std::make_unique<ControlGroupReconciler>(ControlGroupReconciler::Dependencies{
          agreement_.get(), machine_.get(), control_executor_.get(), clock_, &events_});
  rollout_controller_ = std::make_unique<RolloutController>(
      RolloutController::Dependencies{agreement_.get(), machine_.get(), service_.get(),
                                      control_executor_.get(), clock_, &events_});
  metrics_ = MetricsFormatRegistry::Instance().Create("prometheus");
  admin_ = AdminServerRegistry::Instance().Create("http1", runtime_.get());
  if (!settings.Text("gossip").empty()) MakeMembership();
  departures_ = std::make_unique<DepartureService>(
      DepartureService::Dependencies{agreement_.get(), machine_.get(), rpc_client_.get(),
                                     rpc_server_.get(), control_executor_.get(), clock_},
      [this] { return ForwardTargets(); });
  if (!settings.Text("orders").empty()) MakeOrderService();
}

void ControlProgram::MakeMembership() {
  datagrams_ = DatagramSocketRegistry::Instance().Create("udp", runtime_.get());
  const Endpoint gossip = settings_.Address("gossip");
  const Endpoint streams = settings_.Address("streams");
  Member self;
  self.set_instance(settings_.Text("instance"));
  self.set_data_centre(settings_.Text("data-centre"));
  self.set_incarnation(static_cast<std::uint64_t>(
      std::chrono::duration_cast<Duration>(clock_->WallNow().time_since_epoch())
          .count()));
  self.set_gossip_address(gossip.ToString());
  self.set_stream_address(streams.ToString());
  self.set_control(true);
  std::vector<Endpoint> seeds;
  for (const Endpoint& seed : settings_.Addresses("seeds")) {
    if (seed.address != gossip.address) seeds.push_back({seed.address, gossip.port});
  }
  membership_ = std::make_unique<ControlMembership>(
      std::move(self), gossip, std::move(seeds),
      ControlMembership::Dependencies{datagrams_.get(), rpc_client_.get(),
                                      rpc_server_.get(), control_executor_.get(), clock_,
                                      &membership_random_, &events_});
  if (!settings_.Flag("repair-group")) return;
  group_repairer_ = std::make_unique<GroupRepairer>(
      settings_.Text("instance"),
      GroupRepairer::Dependencies{
          agreement_.get(), rpc_client_.get(), rpc_server_.get(), control_executor_.get(),
          clock_, &events_, [this] { return membership_->control_instances(); },
          [this](const std::string& name) { return membership_->IsDeadOrLeft(name); }},
      GroupRepairSettings::ForLosses(
          static_cast<std::size_t>(settings_.Integer("tolerated-losses"))));
}

std::vector<Endpoint> ControlProgram::ForwardTargets() const {
  const PeerLookup lookup =
      MakePeerLookup(agreement_.get(), settings_.Text("instance"), peers_);
  // The leader comes first. If it is unknown, the others may know it.
  std::vector<Endpoint> known;
  if (const auto leader = lookup(agreement_->leadership().leader)) {
    known.push_back(*leader);
  }
  const std::string self = settings_.Text("instance");
  for (const GroupMember& member : agreement_->group()) {
    if (member.name != self) known.push_back(member.endpoint);
  }
  if (!known.empty() || membership_ == nullptr) return known;
  for (const ControlMembership::Peer& peer : membership_->control_instances()) {
    if (peer.name != self) known.push_back(peer.streams);
  }
  return known;
}

void ControlProgram::MakeOrderService() {
  orders_ = std::make_unique<OrderService>(
      OrderService::Dependencies{agreement_.get(), machine_.get(), rpc_client_.get(),
                                 rpc_server_.get(), control_executor_.get(), clock_,
                                 &events_},
      [this] { return ForwardTargets(); },
      static_cast<std::uint32_t>(
          std::lround(settings_.Ratio("rollout-share") * kMaxRolloutSharePermille)));
  order_interface_ = OrderInterfaceRegistry::Instance().Create(
      settings_.Text("order-interface"), orders_.get());
  order_server_ = AdminServerRegistry::Instance().Create("http1", runtime_.get());
}

ControlProgram::~ControlProgram() { runtime_->Stop(); }

void ControlProgram::Start() {
  service_->Start();
  api_->Start();
  if (key_group_reconciler_) key_group_reconciler_->Start();
  control_group_reconciler_->Start();
  rollout_controller_->Start();
  publisher_->Start();
  departures_->Start();
  agreement_->Start();
  const Endpoint streams =
      transport_->Listen(settings_.Address("streams"), router_.acceptor());
  const Endpoint admin = admin_->Listen(
      settings_.Address("admin"), [this](const AdminRequest& request, AdminReply reply) {
        if (request.method == "GET" && request.path == "/metrics") {
          ReplyWithMetrics(std::move(reply));
        } else {
          api_->Handle(request, std::move(reply));
        }
      });
  if (membership_) membership_->Start();
  if (group_repairer_) group_repairer_->Start();
  if (orders_) {
    orders_->Start();
    order_server_->Listen(settings_.Address("orders"),
                          [this](const AdminRequest& request, const AdminReply& reply) {
                            order_interface_->Handle(request, reply);
                          });
  }
  events_.Emit({"process.started",
                {{"streams", streams.ToString()}, {"admin", admin.ToString()}}});
}

void ControlProgram::ReplyWithMetrics(AdminReply reply) {
  control_executor_->Post([this, reply = std::move(reply)] {
    reply({200, metrics_->content_type(),
           metrics_->Format(ControlMetrics(*agreement_, *machine_, *service_, *publisher_,
                                           *rollout_controller_))});
  });
}

void ControlProgram::RunUntilStopped() {
  stop_signal_.get_future().wait();
  events_.Emit({"process.stopping", {}});
  Stop();
  events_.Emit({"process.stopped", {}});
}

void ControlProgram::LeaveGroup() {
  std::promise<void> left;
  control_executor_->Post([&] {
    membership_->AnnounceLeaving();
    group_repairer_->Leave([&] { left.set_value(); });
  });
  left.get_future().wait();
}

void ControlProgram::Stop() {
  // Operators' requests in progress are answered before leadership is handed over.
  admin_->Stop();
  if (order_server_) order_server_->Stop();
  if (group_repairer_) LeaveGroup();
  agreement_->Stop();
  publisher_->Stop();
  std::promise<void> stopped;
  control_executor_->Post([&] {
    if (key_group_reconciler_) key_group_reconciler_->Stop();
    if (group_repairer_) group_repairer_->Stop();
    if (membership_) {
      membership_->Leave();
      membership_->Stop();
    }
    control_group_reconciler_->Stop();
    rollout_controller_->Stop();
    service_->Stop();
    stopped.set_value();
  });
  stopped.get_future().wait();
  transport_->Drain();
}

}  // namespace quetzal
