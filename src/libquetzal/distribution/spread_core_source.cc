// The part of NodeSpread::Core that deals with the source of configurations, with
// subscribers and with reports.
#include <algorithm>
#include <utility>

#include "distribution/down_message.h"
#include "distribution/spread_core.h"
#include "distribution/subscriber_acceptor.h"
#include "membership/endpoint_text.h"

namespace quetzal {

namespace {

constexpr Duration kRpcTimeout = std::chrono::seconds(2);
constexpr Duration kAckDelay = std::chrono::milliseconds(2);
constexpr Duration kResyncAfter = std::chrono::seconds(1);

/// A source that does not answer to a resync within a period may be frozen: a change is
/// to be in force within two seconds, also for those that have such a source.
constexpr Duration kRepairPeriod = std::chrono::milliseconds(400);
constexpr Duration kFetchAfter = std::chrono::milliseconds(1200);
constexpr Duration kUpwardTimeout = std::chrono::seconds(2);
constexpr std::size_t kAddressesPerAnswer = 6;
constexpr char kVersionsMethod[] = "/distribution/versions";
constexpr char kFetchMethod[] = "/distribution/fetch";

}  // namespace

void NodeSpread::Core::ServePeers() {
  RpcServer* server = dependencies_.rpc_server;
  // Every method runs on the executor; a stopped node answers nothing but a failure.
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
    *answer.mutable_held() = self->configuration_.held();
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

Subscribe NodeSpread::Core::MakeSubscribe() const {
  Subscribe subscribe;
  subscribe.set_instance(identity_.instance);
  subscribe.set_data_centre(identity_.data_centre);
  subscribe.set_incarnation(membership_->incarnation());
  subscribe.set_stream_address(identity_.stream.ToString());
  subscribe.set_service(membership_->self().server().service());
  subscribe.set_gossip_address(membership_->self().gossip_address());
  subscribe.set_relay(relay_);
  if (configuration_.configuration().configuration != nullptr) {
    *subscribe.mutable_held() = configuration_.held();
    subscribe.set_held_digest(configuration_.held_digest());
  }
  return subscribe;
}

void NodeSpread::Core::OnDown(const DownMessage& message) {
  switch (message.kind_case()) {
    case DownMessage::kWelcome:
      TakeOwnAck();
      SendAcks(book_.Changed(true, dependencies_.clock->Now()));
      TickVouching();
      return;
    case DownMessage::kUpdate:
      return OnUpdate(message.update());
    case DownMessage::kBeat:
      if (link_->rooted()) vouching_.OnRooted();
      return fanout_->SetSource(link_->rooted(), link_->path());
    case DownMessage::kVerified:
      return OnVerified(message.verified());
    default:
      return;
  }
}

void NodeSpread::Core::OnSourceLost() {
  fanout_->SetSource(false, {});
  if (upward_nonce_ == 0) return;
  upward_nonce_ = 0;
  Post([question = upward_question_](Core* self) {
    self->fanout_->Verified(question, false, Version());
  });
}

void NodeSpread::Core::OnUpdate(const ConfigurationUpdate& update) {
  try {
    if (configuration_.Apply(update)) OnApplied();
  } catch (const Error& error) {
    if (error.code() == ResultCode::kDeltaBaseMismatch) {
      return Resync(configuration_.held());
    }
    Refuse(error.code(), update.version());
  }
}

void NodeSpread::Core::OnApplied() {
  const Version& held = configuration_.held();
  membership_->SetHeldVersion(held);
  // Subscribers of this relay come first, reports after them.
  fanout_->Publish(held, configuration_.configuration());
  Emit("configuration.applied", {{"version", ToText(held)}});
  TakeOwnAck();
  behind_ = false;
}

void NodeSpread::Core::Refuse(ResultCode code, const Version& version) {
  refused_ = version;
  refused_code_ = code;
  Emit("configuration.refused",
       {{"version", ToText(version)}, {"code", std::string(InfoOf(code).name)}});
  TakeOwnAck();
}

void NodeSpread::Core::Resync(const Version& held) {
  UpMessage message;
  *message.mutable_resync()->mutable_held() = held;
  link_->Send(message);
}

void NodeSpread::Core::OnVerified(const Verified& verified) {
  if (vouching_.OnVerified(verified.nonce())) {
    return Vouch(verified.committed(), "control");
  }
  if (upward_nonce_ == 0 || verified.nonce() != upward_nonce_) return;
  upward_nonce_ = 0;
  fanout_->Verified(upward_question_, true, verified.committed());
}

void NodeSpread::Core::Vouch(const Version& floor, const char* by) {
  if (membership_->superseded()) return;
  vouching_.End();
  configuration_.Vouch(floor);
  Emit("configuration.vouched", {{"version", ToText(floor)}, {"by", by}});
  RefreshStatus();
}

void NodeSpread::Core::Doubt(const char* reason) {
  configuration_.Doubt();
  vouching_.Begin();
  Emit("configuration.doubted", {{"reason", reason}});
}

void NodeSpread::Core::TickVouching() {
  if (!vouching_.pending()) return;
  if (link_->open()) {
    const std::uint64_t nonce = vouching_.DueQuestion();
    if (nonce != 0) {
      UpMessage message;
      message.mutable_verify()->set_nonce(nonce);
      link_->Send(message);
    }
  }
  if (vouching_.PeersDue()) AskPeers();
}

void NodeSpread::Core::AskPeers() {
  const std::vector<std::string> peers = LocalMembers(false, true);
  vouching_.AskPeers(peers);
  VersionQuery query;
  query.set_instance(identity_.instance);
  query.set_incarnation(membership_->incarnation());
  const std::string request = query.SerializeAsString();
  for (const std::string& peer : peers) {
    const Member& member = membership_->table().Find(peer)->member;
    const std::optional<Endpoint> address = TryEndpoint(member.stream_address());
    if (!address) continue;
    dependencies_.rpc_client->Call(*address, kVersionsMethod, request, kRpcTimeout,
                                   [weak = weak_from_this(), round = vouching_.round()](
                                       ResultCode code, const std::string& body) {
                                     auto core = weak.lock();
                                     VersionAnswer answer;
                                     if (core == nullptr || code != ResultCode::kOk)
                                       return;
                                     if (!answer.ParseFromString(body)) return;
                                     core->Post([round, answer](Core* self) {
                                       auto floor =
                                           self->vouching_.OnPeerAnswer(round, answer);
                                       if (floor) self->Vouch(*floor, "peers");
                                     });
                                   });
  }
}

void NodeSpread::Core::TickRepair() {
  const SteadyTime now = dependencies_.clock->Now();
  const Version known = LaterOf(membership_->known_version(), link_->committed());
  if (!IsOlder(configuration_.held(), known) || !IsOlder(refused_, known)) {
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
  if (now - behind_since_ < kFetchAfter) return Resync(configuration_.held());
  Version wanted = configuration_.held();
  wanted.set_index(wanted.index() + 1);
  wanted.set_term(0);
  const std::vector<std::string> holders = membership_->HoldersOf(wanted);
  if (holders.empty()) return Resync(configuration_.held());
  Fetch(holders[dependencies_.random->Below(holders.size())]);
}

void NodeSpread::Core::Fetch(const std::string& holder) {
  const Member& member = membership_->table().Find(holder)->member;
  const std::optional<Endpoint> address = TryEndpoint(member.stream_address());
  if (!address) return;
  FetchRequest request;
  *request.mutable_held() = configuration_.held();
  request.set_held_digest(configuration_.held_digest());
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

ResultCode NodeSpread::Core::Admit(const Subscribe& subscribe) const {
  if (leaving_) return ResultCode::kNodeStopping;
  const auto& path = link_->path();
  const bool loop =
      std::find(path.begin(), path.end(), subscribe.instance()) != path.end();
  if (loop || subscribe.data_centre() != identity_.data_centre) {
    return ResultCode::kNotRooted;
  }
  // Members may not yet agree on who relays.
  if (relay_ || (link_->rooted() && !link_->through_relay())) return ResultCode::kOk;
  return ResultCode::kNotRooted;
}

void NodeSpread::Core::AskUpward(std::uint64_t question) {
  upward_question_ = question;
  upward_nonce_ = dependencies_.random->Next() | (1ULL << 63);
  upward_at_ = dependencies_.clock->Now();
  UpMessage message;
  message.mutable_verify()->set_nonce(upward_nonce_);
  if (link_->Send(message)) return;
  upward_nonce_ = 0;
  Post([question](Core* self) { self->fanout_->Verified(question, false, Version()); });
}

std::vector<std::string> NodeSpread::Core::SomeAddresses() {
  std::vector<std::string> addresses;
  for (const auto& [name, entry] : membership_->table().entries()) {
    if (addresses.size() == kAddressesPerAnswer) break;
    if (TakesPart(entry.member)) addresses.push_back(entry.member.gossip_address());
  }
  return addresses;
}

NodeAck NodeSpread::Core::MakeAck() const {
  const Member& self = membership_->self();
  NodeAck ack;
  ack.set_instance(identity_.instance);
  ack.set_incarnation(self.incarnation());
  ack.set_data_centre(identity_.data_centre);
  ack.set_stream_address(identity_.stream.ToString());
  ack.set_service(self.server().service());
  *ack.mutable_held() = configuration_.held();
  ack.set_state(self.state());
  if (refused_code_ != ResultCode::kOk && IsOlder(configuration_.held(), refused_)) {
    ack.set_refused_code(static_cast<std::uint32_t>(refused_code_));
    *ack.mutable_refused() = refused_;
  }
  return ack;
}

void NodeSpread::Core::TakeOwnAck() {
  book_.Take(MakeAck(), dependencies_.clock->Now());
  if (book_.has_changes()) SendAcksSoon();
}

void NodeSpread::Core::SendAcksSoon() {
  // A relay gathers what its subscribers report at about the same time.
  if (fanout_->sessions() == 0) {
    if (link_->open()) SendAcks(book_.Changed(false, dependencies_.clock->Now()));
    return;
  }
  if (ack_timer_ != nullptr) return;
  ack_timer_ = dependencies_.executor->After(kAckDelay, [weak = weak_from_this()] {
    auto core = weak.lock();
    if (core == nullptr || core->stopped_) return;
    core->ack_timer_.reset();
    if (core->link_->open()) {
      core->SendAcks(core->book_.Changed(false, core->dependencies_.clock->Now()));
    }
  });
}

void NodeSpread::Core::SendAcks(const Acks& acks) {
  if (acks.acks_size() == 0) return;
  UpMessage message;
  *message.mutable_acks() = acks;
  link_->Send(message);
}

void NodeSpread::Core::TickAcks() {
  const SteadyTime now = dependencies_.clock->Now();
  if (upward_nonce_ != 0 && now - upward_at_ > kUpwardTimeout) {
    upward_nonce_ = 0;
    fanout_->Verified(upward_question_, false, Version());
  }
  if (now < next_ack_) return;
  next_ack_ = now + settings_.ack_period;
  TakeOwnAck();
  book_.Forget(3 * settings_.ack_period, now);
  book_.ForgetUnknown(membership_->table());
  if (link_->open()) SendAcks(book_.Ages(now));
}

}  // namespace quetzal
