#ifndef QUETZAL_TESTS_SIMULATION_SIM_FLEET_H_
#define QUETZAL_TESTS_SIMULATION_SIM_FLEET_H_

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "distribution/configuration_history.h"
#include "distribution/node_distribution.h"
#include "distribution/publisher.h"
#include "simulation/sim_net.h"

namespace quetzal::simulation {

/// Shape of a simulated fleet.
struct FleetShape {
  std::vector<std::pair<std::string, int>> data_centres;  ///< Name and nodes.
  std::vector<std::string> control_data_centres;
  std::size_t relay_threshold = 8;
};

/// A fleet whose driver knows everything that happened, and checks what must always hold
/// after every change on every node.
class SimFleet {
 public:
  struct Node {
    Host* host = nullptr;
    std::unique_ptr<NodeDistribution> distribution;
    std::string service;
    bool offers = false;
    bool gone = false;  ///< Left for good.
  };
  struct Control {
    Host* host = nullptr;
    std::unique_ptr<Publisher> publisher;
    std::size_t applied = 0;  ///< Confirmed configurations applied.
  };

  SimFleet(std::uint64_t seed, FleetShape shape) : world(seed), shape_(std::move(shape)) {
    for (const std::string& name : shape_.control_data_centres) {
      controls.push_back({world.Add("control-" + std::to_string(controls.size()), name)});
    }
    for (const auto& [name, count] : shape_.data_centres) {
      for (int n = 0; n < count; ++n) {
        Node node;
        node.host = world.Add(name + "-" + std::to_string(n), name);
        node.service = n % 2 == 0 ? "desk" : "taller";
        nodes.push_back(std::move(node));
      }
    }
  }

  ~SimFleet() {
    for (Node& node : nodes) node.distribution.reset();
    for (Control& control : controls) control.publisher.reset();
  }

  void StartAll() {
    for (Control& control : controls) StartControl(&control);
    Confirm();
    for (Node& node : nodes) StartNode(&node);
  }

  void StartControl(Control* control) {
    Parts* parts = NewParts(control->host);
    Publisher::Dependencies dependencies;
    dependencies.channels = parts->channels.get();
    dependencies.executor = parts->executor.get();
    dependencies.clock = &world.clock;
    dependencies.random = &parts->random;
    dependencies.events = &parts->events;
    control->publisher = std::make_unique<Publisher>(
        control->host->name, FanoutSettings(), dependencies,
        [this, control](const std::function<void(bool)>& done) {
          Barrier(control, done);
        },
        [this](const ProxyAck& ack) { OnAck(ack); });
    control->publisher->Start();
    control->applied = 0;
    Replicate(control);
    parts->timer =
        parts->executor->Every(milliseconds(50), [this, control] { Replicate(control); });
  }

  void StartNode(Node* node) {
    Parts* parts = NewParts(node->host);
    NodeIdentity identity;
    identity.instance = node->host->name;
    identity.data_centre = node->host->data_centre;
    identity.stream = node->host->stream;
    identity.gossip = node->host->gossip;
    NodeDistributionSettings settings;
    settings.relay_threshold = shape_.relay_threshold;
    for (const Control& control : controls)
      settings.controls.push_back(control.host->stream);
    for (const Node& other : nodes) {
      if (other.host != node->host && settings.seeds.size() < 6) {
        settings.seeds.push_back(other.host->gossip);
      }
    }
    NodeDistribution::Dependencies dependencies;
    dependencies.datagrams = parts->socket.get();
    dependencies.rpc_client = parts->rpc.get();
    dependencies.rpc_server = parts->rpc.get();
    dependencies.channels = parts->channels.get();
    dependencies.executor = parts->executor.get();
    dependencies.clock = &world.clock;
    dependencies.random = &parts->random;
    dependencies.events = &parts->events;
    node->distribution =
        std::make_unique<NodeDistribution>(identity, settings, dependencies);
    parts->events.on_event = [this, node](const Event& event) {
      if (node->distribution != nullptr) OnEvent(node, event);
    };
    node->distribution->Start();
    if (node->offers) Announce(node, SERVER_UP);
  }

  void Announce(Node* node, ServerState state) {
    node->offers = state == SERVER_UP;
    if (node->distribution == nullptr) return;
    BackendServer server;
    server.set_service(node->service);
    server.set_slots(20);
    server.set_state(state);
    if (state == SERVER_NONE) server.Clear();
    node->distribution->SetBackendServer(server);
  }

  void Crash(Node* node) {
    if (node->distribution == nullptr) return;
    if (!node->host->paused) Check(node);
    node->distribution.reset();
    BreakChannels(&world, &board, node->host);
    world.Kill(node->host);
  }
  void Crash(Control* control) {
    if (control->publisher == nullptr) return;
    control->publisher.reset();
    BreakChannels(&world, &board, control->host);
    world.Kill(control->host);
  }

  /// Confirms the next configuration. What a majority of control instances cannot hear of
  /// is not confirmed.
  bool Confirm(bool valid = true) {
    std::size_t reached = 0;
    for (const Control& control : controls) {
      if (control.host->up && !control.host->paused && InTouch(control)) ++reached;
    }
    if (2 * reached <= controls.size()) return false;
    confirmed.push_back(MakeConfiguration(static_cast<int>(confirmed.size()) + 1, valid));
    for (Control& control : controls) {
      if (InTouch(control)) Replicate(&control);
    }
    return true;
  }

  Version Last() const { return VersionAt(confirmed.size()); }

  static Version VersionAt(std::size_t n) {
    Version version;
    version.set_term(n == 0 ? 0 : 1);
    version.set_index(n * 10);
    return version;
  }

  bool Everyone(const std::function<bool(const Node&)>& test) const {
    return std::all_of(nodes.begin(), nodes.end(), [&](const Node& node) {
      return node.distribution == nullptr || test(node);
    });
  }

  /// Empty when all live nodes serve the last configuration and see each other as they
  /// are; else what is wrong.
  std::string Unsettled() const {
    std::set<std::string> offering;
    std::set<std::string> live;
    for (const Node& node : nodes) {
      if (node.distribution == nullptr) continue;
      live.insert(node.host->name);
      if (node.offers) offering.insert(node.host->name);
    }
    for (const Node& node : nodes) {
      if (node.distribution == nullptr) continue;
      const std::string& name = node.host->name;
      const auto snapshot = node.distribution->routing().snapshot();
      if (snapshot == nullptr) return name + " does not serve";
      if (!IsSame(snapshot->version, LastValid())) {
        return name + " serves " + ToText(snapshot->version);
      }
      std::set<std::string> targets;
      for (const BackendTarget& target : snapshot->targets)
        targets.insert(target.instance);
      if (targets != offering && !offering.empty()) {
        std::string text = name + " has other targets:";
        for (const std::string& target : targets) text += " " + target;
        text += " instead of";
        for (const std::string& target : offering) text += " " + target;
        return text;
      }
      std::set<std::string> missing = live;
      for (const Member& member : node.distribution->members()) {
        if (member.state() == MEMBER_DEAD || member.state() == MEMBER_LEFT) continue;
        if (live.count(member.instance()) != 0 && member.state() == MEMBER_ALIVE) {
          missing.erase(member.instance());
          continue;
        }
        return name + " sees " + member.instance() + " as " +
               MemberState_Name(member.state());
      }
      if (!missing.empty()) return name + " does not see " + *missing.begin();
      const auto acked = acks_.find(name);
      if (acked == acks_.end() || !IsSame(acked->second.applied_version, LastValid()) ||
          acked->second.incarnation != node.distribution->incarnation()) {
        return "no report of " + name;
      }
    }
    return "";
  }

  /// Runs until settled; empty when it is within `limit`.
  std::string Settle(Duration limit) {
    const SteadyTime end = world.clock.Now() + limit;
    std::string wrong = Unsettled();
    while (!wrong.empty() && world.clock.Now() < end) {
      world.Run(milliseconds(100));
      for (Node& node : nodes) {
        if (node.distribution != nullptr && !node.host->paused) Check(&node);
      }
      wrong = Unsettled();
    }
    return wrong;
  }

  const std::map<std::string, ProxyAck>& acks() const { return acks_; }
  Node* NodeNamed(const std::string& name) {
    for (Node& node : nodes) {
      if (node.host->name == name) return &node;
    }
    return nullptr;
  }
  Node* Relay(const std::string& data_centre) {
    for (Node& node : nodes) {
      if (node.host->data_centre != data_centre || node.distribution == nullptr) continue;
      if (node.distribution->status().relay) return &node;
    }
    return nullptr;
  }

  SimWorld world;
  Switchboard board;
  std::vector<Node> nodes;
  std::vector<Control> controls;
  std::vector<std::shared_ptr<const Configuration>> confirmed;
  std::vector<std::string> faults;  ///< What must always hold and did not.
  std::map<std::string, int> events;

 private:
  class Events final : public EventLog {
   public:
    void Emit(const Event& event) override {
      if (on_event) on_event(event);
    }
    std::function<void(const Event&)> on_event;
  };
  struct Parts {
    explicit Parts(std::uint64_t seed) : random(seed) {}
    Random random;
    Events events;
    std::unique_ptr<SimExecutor> executor;
    std::unique_ptr<SimDatagramSocket> socket;
    std::unique_ptr<SimRpc> rpc;
    std::unique_ptr<SimChannels> channels;
    std::unique_ptr<Timer> timer;
  };

  Parts* NewParts(Host* host) {
    world.Kill(host);
    host->up = true;
    parts_.push_back(std::make_unique<Parts>(world.random.Next()));
    Parts* parts = parts_.back().get();
    parts->executor = std::make_unique<SimExecutor>(&world, host);
    parts->socket = std::make_unique<SimDatagramSocket>(&world, &board, host);
    parts->rpc = std::make_unique<SimRpc>(&world, &board, host);
    parts->channels = std::make_unique<SimChannels>(&world, &board, host);
    return parts;
  }

  bool InTouch(const Control& control) const {
    std::size_t reached = 0;
    for (const Control& other : controls) {
      const bool both = world.Passes(*control.host, *other.host) &&
                        world.Passes(*other.host, *control.host);
      if (other.host->up && !other.host->paused && both) ++reached;
    }
    return 2 * reached > controls.size();
  }

  void Replicate(Control* control) {
    if (control->publisher == nullptr || control->host->paused) return;
    const bool rooted = InTouch(*control);
    control->publisher->SetQuorumBacked(rooted);
    if (!rooted) return;
    while (control->applied < confirmed.size()) {
      const std::size_t n = control->applied++;
      control->publisher->Publish(VersionAt(n + 1), confirmed[n]);
    }
  }

  void Barrier(Control* control, const std::function<void(bool)>& done) {
    world.Schedule(milliseconds(2), control->host, [this, control, done] {
      const bool proved = InTouch(*control);
      if (proved) Replicate(control);
      done(proved);
    });
  }

  Version LastValid() const {
    std::size_t n = confirmed.size();
    while (n > 0 && invalid_.count(n) != 0) --n;
    return VersionAt(n);
  }

  std::shared_ptr<const Configuration> MakeConfiguration(int n, bool valid) {
    auto configuration = std::make_shared<Configuration>();
    for (const char* name : {"desk", "taller"}) {
      Service* service = configuration->add_services();
      service->set_name(name);
      service->set_slots(static_cast<std::uint32_t>(10 + n));
    }
    Route* route = configuration->add_routes();
    route->set_name("all");
    route->set_path_prefix("/");
    route->set_timeout_ms(1000);
    Target* target = route->add_targets();
    target->set_service(valid ? "desk" : "nowhere");
    target->set_weight(static_cast<std::uint32_t>(n));
    if (!valid) invalid_.insert(static_cast<std::size_t>(n));
    return configuration;
  }

  void OnEvent(Node* node, const Event& event) {
    ++events[event.name];
    if (event.name == "configuration.applied" && !event.fields.empty()) {
      held_[{node->host->name, node->distribution->incarnation()}] =
          event.fields[0].second;
    }
    Check(node);
  }

  /// What must always hold on one node.
  void Check(Node* node) {
    const auto snapshot = node->distribution->routing().snapshot();
    if (snapshot == nullptr) return;
    const std::string& name = node->host->name;
    Version& highest = served_[name];
    if (IsOlder(snapshot->version, highest)) {
      Fault(name + " went back from " + ToText(highest) + " to " +
            ToText(snapshot->version));
    }
    highest = LaterOf(highest, snapshot->version);
    const std::size_t n = snapshot->version.index() / 10;
    if (n == 0 || n > confirmed.size() ||
        DigestOf(*snapshot->configuration) != DigestOf(*confirmed[n - 1])) {
      return Fault(name + " serves what was never confirmed as " +
                   ToText(snapshot->version));
    }
    std::set<std::string> services;
    for (const Service& service : snapshot->configuration->services()) {
      services.insert(service.name());
    }
    for (const Route& route : snapshot->configuration->routes()) {
      for (const Target& target : route.targets()) {
        if (services.count(target.service()) == 0) Fault(name + " has a dangling route");
      }
    }
    for (const BackendTarget& target : snapshot->targets) {
      if (services.count(target.service) == 0) Fault(name + " has a dangling target");
    }
  }

  void OnAck(const ProxyAck& ack) {
    // A report is true when that life of the node held that version.
    if (ack.applied_version.index() != 0) {
      const auto held = held_.find({ack.instance, ack.incarnation});
      const bool true_report =
          held != held_.end() && ack.applied_version.index() <= IndexOf(held->second);
      if (!true_report && ack.state != MEMBER_DEAD && ack.state != MEMBER_LEFT) {
        Fault("a false report of " + ack.instance + ": " + ToText(ack.applied_version));
      }
    }
    ProxyAck& known = acks_[ack.instance];
    if (ack.incarnation < known.incarnation) return;
    if (ack.incarnation == known.incarnation &&
        IsOlder(ack.applied_version, known.applied_version))
      return;
    known = ack;
  }

  static std::uint64_t IndexOf(const std::string& text) {
    return std::stoull(text.substr(text.find('.') + 1));
  }

  void Fault(const std::string& text) {
    if (faults.size() < 20) faults.push_back(text);
  }

  FleetShape shape_;
  std::vector<std::unique_ptr<Parts>> parts_;
  std::map<std::string, Version> served_;
  std::map<std::pair<std::string, std::uint64_t>, std::string> held_;
  std::map<std::string, ProxyAck> acks_;
  std::set<std::size_t> invalid_;
};

}  // namespace quetzal::simulation

#endif  // QUETZAL_TESTS_SIMULATION_SIM_FLEET_H_
