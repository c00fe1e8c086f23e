#include "distribution/node_distribution_core.h"

#include <algorithm>
#include <set>
#include <utility>

#include "distribution/relay_choice.h"
#include "distribution/subscriber_acceptor.h"
#include "membership/endpoint_text.h"

namespace quetzal {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);
/// A question costs a control instance at most one round trip to its quorum.
constexpr Duration kFreshnessRetry = std::chrono::milliseconds(200);
/// Longest wait for members to answer before a source is used.
constexpr Duration kMemberWait = std::chrono::milliseconds(600);
/// Time for gossip to carry the announcement of a leaving node to the fleet.
constexpr Duration kDisseminationTime = std::chrono::milliseconds(600);

Member MakeSelf(const NodeIdentity& identity, std::uint64_t incarnation) {
  Member self;
  self.set_instance(identity.instance);
  self.set_data_centre(identity.data_centre);
  self.set_incarnation(incarnation);
  self.set_gossip_address(identity.gossip.ToString());
  self.set_stream_address(identity.stream.ToString());
  return self;
}

bool OffersBackendServer(const Member& member) {
  return TakesPart(member) && !member.server().service().empty() &&
         (member.server().state() == SERVER_UP ||
          member.server().state() == SERVER_LEAVING);
}

}  // namespace

NodeDistribution::Core::Core(NodeIdentity identity, NodeDistributionSettings settings,
                             const Dependencies& dependencies)
    : identity_(std::move(identity)),
      settings_(std::move(settings)),
      dependencies_(dependencies),
      credential_lease_(settings_.credential_lease, dependencies.clock,
                        dependencies.random),
      configuration_(dependencies.clock, settings_.pause_limit, &credential_lease_),
      freshness_check_({kFreshnessRetry, settings_.cut_off_timeout}, dependencies.clock,
                       dependencies.random),
      members_(std::make_shared<const std::vector<Member>>()) {
  if (identity_.incarnation == 0) {
    identity_.incarnation =
        static_cast<std::uint64_t>(std::chrono::duration_cast<Duration>(
                                       dependencies_.clock->WallNow().time_since_epoch())
                                       .count());
  }
  incarnation_ = identity_.incarnation;
  quorum_backed_at_ = dependencies_.clock->Now();
  next_ack_ = quorum_backed_at_;
  next_heartbeat_ = quorum_backed_at_;
}

void NodeDistribution::Core::Post(std::function<void(Core*)> task) {
  dependencies_.executor->Post([weak = weak_from_this(), task = std::move(task)] {
    auto core = weak.lock();
    if (core != nullptr && !core->stopped_) task(core.get());
  });
}

void NodeDistribution::Core::Emit(
    const std::string& name, std::vector<std::pair<std::string, std::string>> fields) {
  dependencies_.events->Emit({name, std::move(fields)});
}

void NodeDistribution::Core::Start() {
  membership_ = std::make_unique<Membership>(
      settings_.membership, MakeSelf(identity_, identity_.incarnation), settings_.seeds,
      dependencies_.clock, dependencies_.random);
  witnesses_ = std::make_unique<RecordWitnesses>(membership_.get());
  SourceLinkSettings link;
  link.source_timeout = settings_.source_timeout;
  link.backoff_base = settings_.backoff_base;
  link.backoff_cap = settings_.backoff_cap;
  SourceLink::Callbacks link_callbacks;
  link_callbacks.subscribe = [this] { return MakeSubscribe(); };
  link_callbacks.on_message = [this](const DownMessage& message) { OnDown(message); };
  link_callbacks.on_lost = [this] { OnSourceLost(); };
  link_callbacks.on_addresses = [this](const std::vector<std::string>& addresses) {
    std::vector<Endpoint> seeds;
    for (const std::string& text : addresses) {
      if (auto address = TryEndpoint(text)) seeds.push_back(*address);
    }
    membership_->AddSeeds(seeds);
  };
  link_ = std::make_shared<SourceLink>(link, identity_.instance, dependencies_.channels,
                                       dependencies_.executor, dependencies_.clock,
                                       dependencies_.random, std::move(link_callbacks));
  Fanout::Callbacks callbacks;
  callbacks.on_ack = [this](const NodeAck& ack) {
    ack_table_.RecordAck(ack, dependencies_.clock->Now());
    if (ack_table_.has_changes()) SendAcksSoon();
  };
  callbacks.verify = [this](std::uint64_t question) { AskUpstream(question); };
  callbacks.gossip_addresses = [this] { return SomeAddresses(); };
  callbacks.admit = [this](const Subscribe& subscribe) { return Admit(subscribe); };
  fanout_ =
      std::make_unique<Fanout>(settings_.fanout, identity_.instance, dependencies_.clock,
                               dependencies_.random, std::move(callbacks));
  membership_link_ = std::make_shared<MembershipLink>(
      membership_.get(),
      MembershipLink::Dependencies{dependencies_.datagrams, dependencies_.rpc_client,
                                   dependencies_.rpc_server, dependencies_.executor});
  const Endpoint bound = membership_link_->Bind(identity_.gossip);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    gossip_address_ = bound;
  }
  membership_->SetAddresses(bound, identity_.stream, identity_.caller);
  MakeDepartureLink();
  ServePeers();
  started_at_ = dependencies_.clock->Now();
  timer_ = dependencies_.executor->Every(kTick, [weak = weak_from_this()] {
    auto core = weak.lock();
    if (core != nullptr && !core->stopped_) core->Tick();
  });
  Post([](Core* self) { self->Tick(); });
}

void NodeDistribution::Core::SetBackendServer(const BackendServer& server) {
  Post([server](Core* self) {
    BackendServer announced = server;
    if (self->leaving_ && announced.state() == SERVER_UP) {
      announced.set_state(SERVER_LEAVING);
    }
    const bool same = announced.SerializeAsString() ==
                      self->membership_->self().server().SerializeAsString();
    if (same) return;
    self->membership_->SetServer(announced);
    self->Emit("server.announced", {{"service", announced.service()},
                                    {"state", ServerState_Name(announced.state())}});
    self->Tick();
  });
}

void NodeDistribution::Core::AnnounceLeaving() {
  Post([](Core* self) { self->BeginLeaving(); });
}

void NodeDistribution::Core::Leave(std::function<void()> done) {
  Post([done = std::move(done)](Core* self) {
    if (self->leave_requested_) return;
    self->BeginLeaving();
    self->leave_requested_ = true;
    self->on_left_ = done;
    self->leave_requested_at_ = self->dependencies_.clock->Now();
    self->Tick();
  });
}

void NodeDistribution::Core::BeginLeaving() {
  if (leaving_) return;
  leaving_ = true;
  BackendServer server = membership_->self().server();
  if (server.state() == SERVER_UP) {
    server.set_state(SERVER_LEAVING);
    membership_->SetServer(server);
  }
  membership_->Leave(false);
  RecordOwnAck();
  Emit("member.leaving", {{"peer", identity_.instance}});
  Tick();
}

void NodeDistribution::Core::Stop() {
  if (stopped_.exchange(true)) return;
  timer_.reset();
  dependencies_.executor->Post([self = shared_from_this()] {
    self->quota_timer_.reset();
    self->quotas_.reset();
    if (self->membership_link_ != nullptr) self->membership_link_->Stop();
    if (self->departure_link_ != nullptr) self->departure_link_->Stop();
    if (self->link_ != nullptr) self->link_->Stop();
    if (self->fanout_ != nullptr) self->fanout_->CloseAll();
  });
}

void NodeDistribution::Core::Tick() {
  if (configuration_.DetectPause()) MarkStale("the process was paused");
  membership_->Tick();
  RunMembership();
  // Handled once per tick: while many nodes join, every datagram changes the table.
  if (membership_->revision() != seen_revision_) {
    seen_revision_ = membership_->revision();
    OnMembershipChanged();
  }
  if (membership_->false_death_reports() != seen_false_death_reports_ ||
      membership_->identity_taken_over()) {
    seen_false_death_reports_ = membership_->false_death_reports();
    if (configuration_.fresh()) MarkStale("other members declared this instance dead");
  }
  if (!has_sources_) RefreshSources();
  TickWitnesses();
  link_->Tick();
  if (dependencies_.clock->Now() >= next_heartbeat_) {
    next_heartbeat_ = dependencies_.clock->Now() + settings_.fanout.heartbeat_period;
    fanout_->SendHeartbeats();
  }
  TickFreshness();
  TickCredentialLease();
  TickRepair();
  TickAcks();
  TickLeaving();
  // Members that died leave the count of nodes without a change of the table.
  if (dependencies_.clock->Now() >= next_quota_members_) RefreshQuotaMembers();
  RefreshStatus();
}

void NodeDistribution::Core::RunMembership() {
  membership_link_->Run();
  incarnation_ = membership_->incarnation();
  const auto observations = membership_->TakeFormerObservations();
  if (observations && dependencies_.on_former_observations) {
    dependencies_.on_former_observations(*observations);
  }
}

void NodeDistribution::Core::OnMembershipChanged() {
  EmitMemberEvents();
  RefreshCrashingRequests();
  RefreshTargets();
  RefreshSources();
  RefreshQuotaMembers();
  std::vector<Member> members;
  for (const auto& [name, entry] : membership_->table().entries()) {
    members.push_back(entry.member);
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  members_ = std::make_shared<const std::vector<Member>>(std::move(members));
}

void NodeDistribution::Core::EmitMemberEvents() {
  const SteadyTime now = dependencies_.clock->Now();
  for (const auto& [name, entry] : membership_->table().entries()) {
    const Member& member = entry.member;
    if (member.data_centre() != identity_.data_centre || member.control()) continue;
    if (name != identity_.instance && !link_->through_relay()) {
      ack_table_.RecordMemberState(member, now);
    }
    auto it = reported_states_.find(name);
    if (it != reported_states_.end() && it->second == member.state()) continue;
    const bool first = it == reported_states_.end();
    reported_states_[name] = member.state();
    if (first && member.state() == MEMBER_ALIVE) Emit("member.joined", {{"peer", name}});
    if (member.state() == MEMBER_SUSPECT) Emit("member.suspect", {{"peer", name}});
    if (member.state() == MEMBER_DEAD) Emit("member.dead", {{"peer", name}});
    if (member.state() == MEMBER_LEFT) Emit("member.left", {{"peer", name}});
  }
  for (auto it = reported_states_.begin(); it != reported_states_.end();) {
    it = membership_->table().Find(it->first) == nullptr ? reported_states_.erase(it)
                                                         : std::next(it);
  }
  if (ack_table_.has_changes()) SendAcksSoon();
}

void NodeDistribution::Core::RefreshTargets() {
  std::vector<BackendTarget> targets;
  std::vector<std::string> withdrawn;
  for (const auto& [name, entry] : membership_->table().entries()) {
    const Member& member = entry.member;
    const bool reachable = !membership_->reachability().IsCutOff(member.data_centre());
    const std::optional<Endpoint> address = TryEndpoint(member.stream_address());
    if (OffersBackendServer(member) && reachable && address) {
      BackendTarget target;
      target.instance = name;
      target.data_centre = member.data_centre();
      target.incarnation = member.incarnation();
      target.stream_address = *address;
      target.service = member.server().service();
      target.slots = member.server().slots();
      target.version = member.server().version();
      target.state =
          member.state() == MEMBER_LEAVING ? SERVER_LEAVING : member.server().state();
      targets.push_back(std::move(target));
      continue;
    }
    const bool lost = member.state() == MEMBER_DEAD || !reachable;
    if (!lost) withdrawn.push_back(name);
  }
  configuration_.SetTargets(std::move(targets), withdrawn);
}

void NodeDistribution::Core::RefreshCrashingRequests() {
  ServerObservations observations;
  std::vector<const std::string*> instances;  // Of the crashes.
  for (const auto& [name, entry] : membership_->table().entries()) {
    const ServerObservations& observed = entry.member.server().observations();
    observations.mutable_crashes()->MergeFrom(observed.crashes());
    observations.mutable_acquittals()->MergeFrom(observed.acquittals());
    instances.resize(static_cast<std::size_t>(observations.crashes_size()), &name);
  }
  std::string serialized = observations.SerializeAsString();
  if (serialized == observations_) return;
  observations_ = std::move(serialized);
  std::vector<CrashReport> reports;
  for (const ServerCrash& crash : observations.crashes()) {
    reports.push_back(FromMessage(crash, *instances[reports.size()]));
  }
  std::vector<Acquittal> acquittals;
  for (const CrashAcquittal& acquittal : observations.acquittals()) {
    acquittals.push_back(FromMessage(acquittal));
  }
  auto crashing = std::make_shared<const CrashingRequests>(reports, acquittals);
  EmitCrashingRequests(*crashing);
  const bool idle = crashing->empty() && crashing->acquittals().empty();
  crashing_ = idle ? nullptr : std::move(crashing);
  configuration_.SetCrashingRequests(crashing_);
}

void NodeDistribution::Core::EmitCrashingRequests(const CrashingRequests& latest) {
  const auto emit = [this](const char* name, const CrashingRequests::Entry& entry) {
    Emit(name, {{"request_hash", ToString(entry.request)},
                {"crashes", std::to_string(entry.crashes.size())}});
  };
  for (const auto& entry : latest.entries()) {
    const auto* known = crashing_ == nullptr ? nullptr : crashing_->Find(entry.request);
    if (known != nullptr && known->proven() == entry.proven()) continue;
    emit(entry.proven() ? "request.blocked" : "request.suspected", entry);
  }
  if (crashing_ == nullptr) return;
  for (const auto& entry : crashing_->entries()) {
    if (latest.Find(entry.request) != nullptr) continue;
    emit(entry.proven() ? "request.unblocked" : "request.cleared", entry);
  }
}

template <class Test>
std::vector<std::string> NodeDistribution::Core::NodesWhere(Test test) const {
  std::vector<std::string> names;
  for (const auto& [name, entry] : membership_->table().entries()) {
    const Member& member = entry.member;
    if (TakesPart(member) && !member.control() && test(member)) names.push_back(name);
  }
  return names;
}

std::vector<std::string> NodeDistribution::Core::LocalMembers(bool with_self,
                                                              bool with_leaving) const {
  return NodesWhere([&](const Member& member) {
    return member.data_centre() == identity_.data_centre &&
           (with_self || member.instance() != identity_.instance) &&
           (with_leaving || member.state() != MEMBER_LEAVING);
  });
}

std::vector<std::string> NodeDistribution::Core::RemoteMembers() const {
  return NodesWhere([this](const Member& member) {
    return member.data_centre() != identity_.data_centre;
  });
}

std::vector<std::string> NodeDistribution::Core::RankedControls() const {
  std::vector<std::string> names;
  for (const auto& [name, entry] : membership_->table().entries()) {
    const Member& member = entry.member;
    if (!member.control() || !TakesPart(member) || member.state() == MEMBER_SUSPECT)
      continue;
    if (TryEndpoint(member.stream_address())) names.push_back(member.stream_address());
  }
  names = RankByRendezvous(std::move(names), identity_.instance);
  // Addresses from the settings come last: they may be outdated, but are the only ones
  // known before the node has joined.
  std::vector<std::string> configured;
  for (const Endpoint& control : settings_.controls) {
    std::string address = control.ToString();
    if (std::find(names.begin(), names.end(), address) == names.end()) {
      configured.push_back(std::move(address));
    }
  }
  for (std::string& address :
       RankByRendezvous(std::move(configured), identity_.instance)) {
    names.push_back(std::move(address));
  }
  return names;
}

bool NodeDistribution::Core::WaitsForMembers() const {
  // A member may know a higher incarnation of this instance, which its reports must name.
  return !settings_.seeds.empty() && !membership_->joined() &&
         dependencies_.clock->Now() - started_at_ < kMemberWait;
}

void NodeDistribution::Core::RefreshSources() {
  has_sources_ = !WaitsForMembers();
  if (!has_sources_) return;
  const std::vector<std::string> local = LocalMembers(true, false);
  std::vector<std::string> relays;
  if (local.size() >= settings_.relay_threshold) {
    relays = RankByRendezvous(local, identity_.data_centre);
    relays.resize(std::min(relays.size(), RelayCount(local.size())));
  }
  const bool relay =
      std::find(relays.begin(), relays.end(), identity_.instance) != relays.end();
  if (relay != relay_) Emit(relay ? "relay.started" : "relay.ended", {});
  relay_ = relay;
  std::vector<SourceLink::Candidate> controls;
  for (const std::string& control : RankedControls()) {
    controls.push_back({*TryEndpoint(control), false, ""});
  }
  std::vector<SourceLink::Candidate> candidates;
  // After a restart of many nodes the relays have no configuration either, and would send
  // it to their subscribers over links that carry requests.
  starting_ = configuration_.configuration().configuration == nullptr;
  if (starting_) candidates = controls;
  if (!relay) {
    for (const std::string& name : RankByRendezvous(relays, identity_.instance)) {
      const Member& member = membership_->table().Find(name)->member;
      const std::optional<Endpoint> address = TryEndpoint(member.stream_address());
      if (address) candidates.push_back({*address, true, name});
    }
  }
  if (!starting_) candidates.insert(candidates.end(), controls.begin(), controls.end());
  link_->SetCandidates(std::move(candidates));
}

void NodeDistribution::Core::TickLeaving() {
  if (!leave_requested_) return;
  const SteadyTime now = dependencies_.clock->Now();
  if (!departed_) {
    const bool disseminated = now - leave_requested_at_ >= kDisseminationTime;
    const bool timed_out = now - leave_requested_at_ >= settings_.leave_limit;
    if (!timed_out && !(disseminated && fanout_->sessions() == 0)) return;
    if (fanout_->sessions() != 0) {
      Emit("relay.abandoned", {{"subscribers", std::to_string(fanout_->sessions())}});
    }
    departed_ = true;
    departed_at_ = now;
    membership_->Leave(true);
    RecordOwnAck();
    RunMembership();
    return;
  }
  if (now - departed_at_ < kDisseminationTime || on_left_ == nullptr) return;
  const std::function<void()> left = std::exchange(on_left_, nullptr);
  left();
}

void NodeDistribution::Core::RefreshStatus() {
  const SteadyTime now = dependencies_.clock->Now();
  if (link_->quorum_backed()) quorum_backed_at_ = now;
  Status status;
  status.applied_version = configuration_.applied_version();
  status.known = LaterOf(membership_->known_version(), link_->committed());
  status.serving = configuration_.serving();
  status.joined = settings_.seeds.empty() || membership_->joined() ||
                  now - started_at_ >= settings_.join_limit;
  status.former_known = FormerKnown();
  status.quorum_backed = link_->quorum_backed();
  status.relay = relay_;
  if (quotas_) status.quota_coordinator = quotas_->coordinator();
  status.cut_off = now - quorum_backed_at_ > settings_.cut_off_timeout;
  if (link_->open()) status.source = link_->address().ToString();
  status.subscribers = fanout_->sessions();
  for (const auto& [name, assessment] : membership_->reachability().assessments()) {
    if (assessment.cut_off) status.cut_off_data_centres.push_back(name);
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  status_ = std::move(status);
}

std::vector<Member> NodeDistribution::Core::members() const {
  std::shared_ptr<const std::vector<Member>> members;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    members = members_;
  }
  return *members;
}

NodeDistribution::Status NodeDistribution::Core::status() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return status_;
}

Endpoint NodeDistribution::Core::gossip_address() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return gossip_address_;
}

}  // namespace quetzal
