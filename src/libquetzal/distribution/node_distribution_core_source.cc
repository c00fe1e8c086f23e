// The part of NodeDistribution::Core that handles the source of configurations,
// subscribers and acknowledgement reports.
#include <algorithm>
#include <utility>

#include "calls/rollout_router.h"
#include "distribution/down_message.h"
#include "distribution/node_distribution_core.h"
#include "distribution/subscriber_acceptor.h"
#include "membership/endpoint_text.h"
#include "membership/version_order.h"

namespace quetzal {

namespace {

constexpr Duration kRpcTimeout = std::chrono::seconds(2);
constexpr Duration kAckDelay = std::chrono::milliseconds(2);
constexpr Duration kResyncAfter = std::chrono::seconds(1);

/// A source that does not answer a resync within one period may be frozen. Subscribers of
/// such a source must also apply a change within two seconds.
constexpr Duration kRepairPeriod = std::chrono::milliseconds(400);
/// Members asked for a later configuration in one repair period while the source is
/// doubtful. Some may have the same source, and so may most of a data centre.
constexpr std::size_t kPolledLocalPeers = 2;
constexpr std::size_t kPolledRemotePeers = 1;
constexpr Duration kFetchAfter = std::chrono::milliseconds(1200);
constexpr Duration kUpstreamTimeout = std::chrono::seconds(2);
/// With credential leases, each subscriber asks once a second. One question upstream
/// stands for those that have arrived meanwhile, so that control instances get few.
constexpr Duration kUpstreamSpacing = std::chrono::milliseconds(200);
constexpr std::size_t kAddressesPerAnswer = 6;
constexpr char kVersionsMethod[] = "/distribution/versions";
constexpr char kFetchMethod[] = "/distribution/fetch";

/// Bounds the size of a report, which relays and control instances keep for each node.
constexpr int kMaxVersionCounts = 64;

bool HasRolloutUnderWay(const Configuration* configuration) {
  if (configuration == nullptr) return false;
  const auto& rollouts = configuration->rollouts();
  return std::any_of(rollouts.begin(), rollouts.end(), IsUnderWay);
}

}  // namespace

void NodeDistribution::Core::ServePeers() {
  RpcServer* server = dependencies_.rpc_server;
  // Every method runs on the executor; a stopped node answers kNodeStopping.
  const auto serve = [this, server](const char* method,
                                    std::string (*run)(Core*, const std::string&)) {
    server->Serve(method, [weak = weak_from_this(), run](const std::string& request,
                                                         const RpcReply& reply) {
      auto core = weak.lock();
      if (core == nullptr || core->stopped_) return reply(ResultCode::kNodeStopping, "");
      core->dependencies_.executor->Post([core, request, reply, run] {
        if (core->stopped_) return reply(ResultCode::kNodeStopping, "");
        reply(ResultCode::kOk, run(core.get(), request));
      });
    });
  };
  membership_link_->Serve();
  serve(kVersionsMethod, [](Core* self, const std::string& /*request*/) {
    VersionAnswer answer;
    answer.set_instance(self->identity_.instance);
    answer.set_vouched(self->configuration_.serving());
    *answer.mutable_held() = self->configuration_.applied_version();
    *answer.mutable_known() = self->membership_->known_version();
    return answer.SerializeAsString();
  });
  serve(kFetchMethod, [](Core* self, const std::string& request) {
    FetchRequest asked;
    asked.ParseFromString(request);
    return self->fanout_->UpdateFrom(asked.held(), asked.held_digest());
  });
  const std::shared_ptr<Fanout> shared(shared_from_this(), fanout_.get());
  AcceptSubscribers(dependencies_.channels, dependencies_.executor, shared);
}

Subscribe NodeDistribution::Core::MakeSubscribe() const {
  Subscribe subscribe;
  subscribe.set_instance(identity_.instance);
  subscribe.set_data_centre(identity_.data_centre);
  subscribe.set_incarnation(membership_->incarnation());
  subscribe.set_stream_address(identity_.stream.ToString());
  subscribe.set_service(membership_->self().server().service());
  subscribe.set_gossip_address(membership_->self().gossip_address());
  subscribe.set_relay(relay_);
  if (configuration_.configuration().configuration != nullptr) {
    *subscribe.mutable_held() = configuration_.applied_version();
    subscribe.set_held_digest(configuration_.applied_digest());
  }
  return subscribe;
}

void NodeDistribution::Core::OnDown(const DownMessage& message) {
  switch (message.kind_case()) {
    case DownMessage::kWelcome:
      RecordOwnAck();
      SendAcks(ack_table_.TakeChanged(true, dependencies_.clock->Now()));
      TickFreshness();
      credential_lease_.OnSourceChanged();
      TickCredentialLease();
      return;
    case DownMessage::kUpdate:
      return OnUpdate(message.update());
    case DownMessage::kBeat:
      if (link_->quorum_backed()) freshness_check_.OnQuorumBacked();
      return fanout_->SetSource(link_->quorum_backed(), link_->path());
    case DownMessage::kVerified:
      return OnVerified(message.verified());
    default:
      return;
  }
}

void NodeDistribution::Core::OnSourceLost() {
  fanout_->SetSource(false, {});
  if (upstream_nonce_ == 0) return;
  upstream_nonce_ = 0;
  Post([question = upstream_question_](Core* self) {
    self->fanout_->AnswerQuestion(question, false, Version());
  });
}

void NodeDistribution::Core::OnUpdate(const ConfigurationUpdate& update) {
  try {
    if (configuration_.Apply(update)) OnApplied();
  } catch (const Error& error) {
    if (error.code() == ResultCode::kDeltaBaseMismatch) {
      return Resync(configuration_.applied_version());
    }
    Refuse(error.code(), update.version());
  }
}

void NodeDistribution::Core::OnApplied() {
  if (starting_) RefreshSources();
  const Version& applied = configuration_.applied_version();
  membership_->SetAppliedVersion(applied);
  credential_lease_.OnApplied(applied);
  TickCredentialLease();
  // Subscribers of this relay get the update before the own report is sent.
  fanout_->Publish(applied, configuration_.configuration());
  Emit("configuration.applied", {{"version", ToText(applied)}});
  RecordOwnAck();
  behind_ = false;
  RefreshQuotas();
}

void NodeDistribution::Core::Refuse(ResultCode code, const Version& version) {
  refused_ = version;
  refused_code_ = code;
  Emit("configuration.refused",
       {{"version", ToText(version)}, {"code", std::string(InfoOf(code).name)}});
  RecordOwnAck();
}

void NodeDistribution::Core::Resync(const Version& applied) {
  UpMessage message;
  *message.mutable_resync()->mutable_held() = applied;
  link_->Send(message);
}

void NodeDistribution::Core::OnVerified(const Verified& verified) {
  if (freshness_check_.OnVerified(verified.nonce())) {
    return ConfirmFresh(verified.committed(), "control");
  }
  if (credential_lease_.OnVerified(verified.nonce(), verified.committed(),
                                   configuration_.applied_version())) {
    return;
  }
  if (upstream_nonce_ == 0 || verified.nonce() != upstream_nonce_) return;
  upstream_nonce_ = 0;
  fanout_->AnswerQuestion(upstream_question_, true, verified.committed());
}

void NodeDistribution::Core::ConfirmFresh(const Version& floor, const char* by) {
  if (membership_->identity_taken_over()) return;
  freshness_check_.End();
  configuration_.ConfirmFresh(floor);
  Emit("configuration.vouched", {{"version", ToText(floor)}, {"by", by}});
  RefreshStatus();
}

void NodeDistribution::Core::MarkStale(const char* reason) {
  configuration_.MarkStale();
  freshness_check_.Begin();
  Emit("configuration.doubted", {{"reason", reason}});
}

void NodeDistribution::Core::TickFreshness() {
  if (!freshness_check_.pending()) return;
  if (link_->open()) {
    const std::uint64_t nonce = freshness_check_.DueQuestion();
    if (nonce != 0) {
      UpMessage message;
      message.mutable_verify()->set_nonce(nonce);
      link_->Send(message);
    }
  }
  if (freshness_check_.ShouldAskPeers()) AskPeers();
}

void NodeDistribution::Core::TickCredentialLease() {
  if (settings_.credential_lease <= Duration::zero() || !configuration_.has_teams()) {
    return;
  }
  if (credential_lease_.proved() != credentials_proved_) {
    credentials_proved_ = !credentials_proved_;
    Emit(credentials_proved_ ? "credentials.proved" : "credentials.unproved", {});
  }
  if (!link_->open()) return;
  const std::uint64_t nonce = credential_lease_.DueQuestion();
  if (nonce == 0) return;
  UpMessage message;
  message.mutable_verify()->set_nonce(nonce);
  link_->Send(message);
}

void NodeDistribution::Core::AskPeers() {
  const std::vector<std::string> peers = LocalMembers(false, true);
  freshness_check_.AskPeers(peers);
  VersionQuery query;
  query.set_instance(identity_.instance);
  query.set_incarnation(membership_->incarnation());
  const std::string request = query.SerializeAsString();
  for (const std::string& peer : peers) {
    const Member& member = membership_->table().Find(peer)->member;
    const std::optional<Endpoint> address = TryEndpoint(member.stream_address());
    if (!address) continue;
    dependencies_.rpc_client->Call(
        *address, kVersionsMethod, request, kRpcTimeout,
        [weak = weak_from_this(), round = freshness_check_.round()](
            ResultCode code, const std::string& body) {
          auto core = weak.lock();
          VersionAnswer answer;
          if (core == nullptr || code != ResultCode::kOk) return;
          if (!answer.ParseFromString(body)) return;
          core->Post([round, answer](Core* self) {
            auto floor = self->freshness_check_.OnPeerAnswer(round, answer);
            if (floor) self->ConfirmFresh(*floor, "peers");
          });
        });
  }
}

/// Asks random members for a configuration later than the applied one. A source that was
/// separated from its quorum or froze is left only after its timeout, and until a member
/// with a better source happens to be probed, nothing shows that a change was missed.
void NodeDistribution::Core::PollPeers() {
  const SteadyTime now = dependencies_.clock->Now();
  if (now < next_poll_ || configuration_.configuration().configuration == nullptr) return;
  next_poll_ = now + kRepairPeriod;
  const auto poll = [this](std::vector<std::string> peers, std::size_t count) {
    for (const std::string& peer :
         dependencies_.random->PickSome(std::move(peers), count)) {
      Fetch(peer);
    }
  };
  poll(LocalMembers(false, true), kPolledLocalPeers);
  poll(RemoteMembers(), kPolledRemotePeers);
}

void NodeDistribution::Core::TickRepair() {
  const SteadyTime now = dependencies_.clock->Now();
  if (link_->doubtful()) PollPeers();
  const Version known = LaterOf(membership_->known_version(), link_->committed());
  if (!IsOlder(configuration_.applied_version(), known) || !IsOlder(refused_, known)) {
    behind_ = false;
    return;
  }
  if (!behind_) {
    behind_ = true;
    behind_since_ = now;
    next_repair_ = now + kResyncAfter;
  }
  if (now < next_repair_) return;
  next_repair_ = now + kRepairPeriod;
  if (now - behind_since_ < kFetchAfter) return Resync(configuration_.applied_version());
  Version wanted = configuration_.applied_version();
  wanted.set_index(wanted.index() + 1);
  wanted.set_term(0);
  const std::vector<std::string> members_ahead = membership_->MembersWithVersion(wanted);
  if (members_ahead.empty()) return Resync(configuration_.applied_version());
  Fetch(members_ahead[dependencies_.random->Below(members_ahead.size())]);
}

void NodeDistribution::Core::Fetch(const std::string& peer_name) {
  const Member& member = membership_->table().Find(peer_name)->member;
  const std::optional<Endpoint> address = TryEndpoint(member.stream_address());
  if (!address) return;
  FetchRequest request;
  *request.mutable_held() = configuration_.applied_version();
  request.set_held_digest(configuration_.applied_digest());
  dependencies_.rpc_client->Call(
      *address, kFetchMethod, request.SerializeAsString(), kRpcTimeout,
      [weak = weak_from_this()](ResultCode code, const std::string& body) {
        auto core = weak.lock();
        auto message = std::make_shared<DownMessage>();
        if (core == nullptr || code != ResultCode::kOk) return;
        if (!DecodeDown(body, message.get()) || !message->has_update()) return;
        core->Post([message](Core* self) { self->OnUpdate(message->update()); });
      });
}

ResultCode NodeDistribution::Core::Admit(const Subscribe& subscribe) const {
  if (leaving_) return ResultCode::kNodeStopping;
  const auto& path = link_->path();
  const bool loop =
      std::find(path.begin(), path.end(), subscribe.instance()) != path.end();
  if (loop || subscribe.data_centre() != identity_.data_centre) {
    return ResultCode::kNotRooted;
  }
  // Members may not agree yet on the relays, so a node with a direct quorum-backed
  // connection to a control instance also admits subscribers.
  if (relay_ || (link_->quorum_backed() && !link_->through_relay()))
    return ResultCode::kOk;
  return ResultCode::kNotRooted;
}

void NodeDistribution::Core::AskUpstream(std::uint64_t question) {
  upstream_question_ = question;
  const Duration wait =
      upstream_asked_at_ + kUpstreamSpacing - dependencies_.clock->Now();
  const bool leases =
      settings_.credential_lease > Duration::zero() && configuration_.has_teams();
  if (!leases || wait <= Duration::zero()) return SendUpstreamQuestion();
  upstream_timer_ = dependencies_.executor->After(wait, [weak = weak_from_this()] {
    auto core = weak.lock();
    if (core != nullptr && !core->stopped_) core->SendUpstreamQuestion();
  });
}

void NodeDistribution::Core::SendUpstreamQuestion() {
  upstream_nonce_ = dependencies_.random->Next() | (1ULL << 63);
  upstream_asked_at_ = dependencies_.clock->Now();
  UpMessage message;
  message.mutable_verify()->set_nonce(upstream_nonce_);
  if (link_->Send(message)) return;
  upstream_nonce_ = 0;
  Post([question = upstream_question_](Core* self) {
    self->fanout_->AnswerQuestion(question, false, Version());
  });
}

std::vector<std::string> NodeDistribution::Core::SomeAddresses() {
  std::vector<std::string> addresses;
  for (const auto& [name, entry] : membership_->table().entries()) {
    if (addresses.size() == kAddressesPerAnswer) break;
    if (TakesPart(entry.member)) addresses.push_back(entry.member.gossip_address());
  }
  return addresses;
}

NodeAck NodeDistribution::Core::MakeAck() const {
  const Member& self = membership_->self();
  NodeAck ack;
  ack.set_instance(identity_.instance);
  ack.set_incarnation(self.incarnation());
  ack.set_data_centre(identity_.data_centre);
  ack.set_stream_address(identity_.stream.ToString());
  ack.set_service(self.server().service());
  *ack.mutable_held() = configuration_.applied_version();
  ack.set_state(self.state());
  if (refused_code_ != ResultCode::kOk &&
      IsOlder(configuration_.applied_version(), refused_)) {
    ack.set_refused_code(static_cast<std::uint32_t>(refused_code_));
    *ack.mutable_refused() = refused_;
  }
  AddVersionCounts(&ack);
  return ack;
}

/// Adds the counts of rollouts that are under way, at most kMaxVersionCounts entries.
void NodeDistribution::Core::AddVersionCounts(NodeAck* ack) const {
  const auto& configuration = configuration_.configuration().configuration;
  if (!dependencies_.version_counts || !HasRolloutUnderWay(configuration.get())) return;
  for (const VersionCounts& counts : dependencies_.version_counts()) {
    const Rollout* rollout = FindRollout(*configuration, counts.service());
    const bool under_way = rollout != nullptr && IsUnderWay(*rollout) &&
                           IsSame(rollout->started(), counts.started());
    if (!under_way || ack->version_counts_size() >= kMaxVersionCounts) continue;
    *ack->add_version_counts() = counts;
  }
}

void NodeDistribution::Core::TickCounts() {
  const SteadyTime now = dependencies_.clock->Now();
  if (now < next_counts_) return;
  next_counts_ = now + settings_.counts_period;
  if (HasRolloutUnderWay(configuration_.configuration().configuration.get())) {
    RecordOwnAck();
  }
}

void NodeDistribution::Core::RecordOwnAck() {
  ack_table_.RecordAck(MakeAck(), dependencies_.clock->Now());
  if (ack_table_.has_changes()) SendAcksSoon();
}

void NodeDistribution::Core::SendAcksSoon() {
  // A relay batches the reports that its subscribers send at about the same time.
  if (fanout_->sessions() == 0) {
    if (link_->open())
      SendAcks(ack_table_.TakeChanged(false, dependencies_.clock->Now()));
    return;
  }
  if (ack_timer_ != nullptr) return;
  ack_timer_ = dependencies_.executor->After(kAckDelay, [weak = weak_from_this()] {
    auto core = weak.lock();
    if (core == nullptr || core->stopped_) return;
    core->ack_timer_.reset();
    if (core->link_->open()) {
      core->SendAcks(
          core->ack_table_.TakeChanged(false, core->dependencies_.clock->Now()));
    }
  });
}

void NodeDistribution::Core::SendAcks(const Acks& acks) {
  if (acks.acks_size() == 0) return;
  UpMessage message;
  *message.mutable_acks() = acks;
  link_->Send(message);
}

void NodeDistribution::Core::TickAcks() {
  const SteadyTime now = dependencies_.clock->Now();
  if (upstream_nonce_ != 0 && now - upstream_asked_at_ > kUpstreamTimeout) {
    upstream_nonce_ = 0;
    fanout_->AnswerQuestion(upstream_question_, false, Version());
  }
  TickCounts();
  if (now < next_ack_) return;
  next_ack_ = now + settings_.ack_period;
  RecordOwnAck();
  ack_table_.ExpireOlderThan(3 * settings_.ack_period, now);
  ack_table_.ExpireUnknown(membership_->table());
  if (link_->open()) SendAcks(ack_table_.Ages(now));
}

}  // namespace quetzal
