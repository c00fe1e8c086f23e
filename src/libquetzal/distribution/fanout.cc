#include "distribution/fanout.h"

#include <utility>

namespace quetzal {

namespace {

/// A source without a quorum usually regains it within one election.
constexpr std::uint64_t kNoQuorumRetryMs = 80;
constexpr std::uint64_t kNoQuorumRetryJitterMs = 120;

/// Spreads the retries of many subscribers that connect at once.
constexpr std::uint64_t kRetryAfterMs = 200;
constexpr std::uint64_t kRetryJitterMs = 800;
constexpr std::size_t kMaxReportsPerSession = 4096;

NodeAck Expand(const NodeAck& ack, const NodeAck& last) {
  NodeAck full = last;
  full.set_unchanged(false);
  full.set_age_ms(ack.age_ms());
  return full;
}

}  // namespace

Fanout::Fanout(FanoutSettings settings, std::string instance, const Clock* clock,
               Random* random, Callbacks callbacks)
    : settings_(settings),
      instance_(std::move(instance)),
      clock_(clock),
      random_(random),
      callbacks_(std::move(callbacks)),
      history_(settings.history_bytes, settings.history_entries),
      admissions_(settings.admissions_per_second, settings.admission_burst,
                  settings.admission_burst, clock->Now()) {}

Fanout::SessionId Fanout::Open(std::shared_ptr<MessageChannel> channel) {
  const SessionId id = next_id_++;
  sessions_[id].channel = std::move(channel);
  return id;
}

void Fanout::OnClosed(SessionId id) { sessions_.erase(id); }

void Fanout::OnMessage(SessionId id, const std::string& bytes) {
  auto it = sessions_.find(id);
  if (it == sessions_.end()) return;
  UpMessage message;
  if (!message.ParseFromString(bytes)) return Refuse(id, ResultCode::kMessageMalformed);
  Session& session = it->second;
  if (message.has_subscribe()) return OnSubscribe(id, message.subscribe());
  if (!session.subscribed) return Refuse(id, ResultCode::kMessageMalformed);
  switch (message.kind_case()) {
    case UpMessage::kAcks:
      return OnAcks(&session, message.acks());
    case UpMessage::kVerify:
      session.waiting.push_back(message.verify().nonce());
      return AskUpstream();
    case UpMessage::kResync:
      session.sent = message.resync().held();
      session.sent_digest = 0;
      return SendUpdate(&session);
    default:
      return;
  }
}

void Fanout::OnSubscribe(SessionId id, const Subscribe& subscribe) {
  if (sessions_.size() > settings_.max_sessions || !admissions_.Take(clock_->Now()) ||
      BufferedBytes() > settings_.max_buffered_bytes) {
    return Refuse(id, ResultCode::kOverloaded);
  }
  const ResultCode code = callbacks_.admit(subscribe);
  if (code != ResultCode::kOk) return Refuse(id, code);
  Session& session = sessions_[id];
  session.subscribed = true;
  session.instance = subscribe.instance();
  session.incarnation = subscribe.incarnation();
  session.gossip_address = subscribe.gossip_address();
  session.sent = subscribe.held();
  session.sent_digest = subscribe.held_digest();
  DownMessage welcome;
  for (std::string& address : callbacks_.gossip_addresses()) {
    welcome.mutable_welcome()->add_gossip_addresses(std::move(address));
  }
  welcome.mutable_welcome()->set_hops(static_cast<std::uint32_t>(path_.size()));
  SendTo(&session, welcome);
  SendUpdate(&session);
  SendTo(&session, MakeHeartbeat());
}

void Fanout::Refuse(SessionId id, ResultCode code) {
  ++refusals_;
  Session& session = sessions_[id];
  DownMessage message;
  Refused* refused = message.mutable_refused();
  refused->set_code(static_cast<std::uint32_t>(code));
  refused->set_retry_after_ms(code == ResultCode::kNotRooted
                                  ? kNoQuorumRetryMs +
                                        random_->Below(kNoQuorumRetryJitterMs)
                                  : kRetryAfterMs + random_->Below(kRetryJitterMs));
  for (std::string& address : callbacks_.gossip_addresses()) {
    refused->add_gossip_addresses(std::move(address));
  }
  SendTo(&session, message);
  const std::shared_ptr<MessageChannel> channel = session.channel;
  sessions_.erase(id);
  channel->Close();
}

void Fanout::OnAcks(Session* session, const Acks& acks) {
  for (const NodeAck& ack : acks.acks()) {
    auto it = session->last.find(ack.instance());
    if (ack.unchanged()) {
      if (it == session->last.end() || it->second.incarnation() != ack.incarnation()) {
        continue;
      }
      callbacks_.on_ack(Expand(ack, it->second));
      continue;
    }
    if (it == session->last.end() && session->last.size() >= kMaxReportsPerSession) {
      continue;
    }
    session->last[ack.instance()] = ack;
    callbacks_.on_ack(ack);
  }
}

void Fanout::Publish(const Version& version, MeasuredConfiguration configuration) {
  if (!history_.Add(version, std::move(configuration))) return;
  for (auto& [id, session] : sessions_) {
    if (session.subscribed) SendUpdate(&session);
  }
}

void Fanout::SendUpdate(Session* session) {
  if (session->channel->buffered_bytes() > settings_.max_session_buffered_bytes) return;
  const std::string& bytes = history_.UpdateFrom(session->sent, session->sent_digest);
  if (bytes.empty()) return;
  SendBytes(session, bytes);
  session->sent = history_.version();
  session->sent_digest = history_.digest();
}

void Fanout::SetSource(bool quorum_backed, std::vector<std::string> path) {
  const bool changed = quorum_backed != quorum_backed_ || path != path_;
  quorum_backed_ = quorum_backed;
  path_ = std::move(path);
  if (changed) SendHeartbeats();
}

DownMessage Fanout::MakeHeartbeat() const {
  DownMessage message;
  quetzal::Beat* heartbeat = message.mutable_beat();
  *heartbeat->mutable_committed() = history_.version();
  heartbeat->set_rooted(quorum_backed_);
  for (const std::string& name : path_) heartbeat->add_path(name);
  heartbeat->add_path(instance_);
  return message;
}

void Fanout::SendHeartbeats() {
  const std::string heartbeat = MakeHeartbeat().SerializeAsString();
  for (auto& [id, session] : sessions_) {
    if (!session.subscribed) continue;
    SendUpdate(&session);
    SendBytes(&session, heartbeat);
  }
}

void Fanout::AskUpstream() {
  if (asking_) return;
  for (auto& [id, session] : sessions_) {
    session.asked = std::exchange(session.waiting, {});
  }
  asking_ = true;
  callbacks_.verify(++question_);
}

void Fanout::AnswerQuestion(std::uint64_t nonce, bool quorum_backed,
                            const Version& committed) {
  if (!asking_ || nonce != question_) return;
  asking_ = false;
  bool more = false;
  for (auto& [id, session] : sessions_) {
    for (const std::uint64_t asked : std::exchange(session.asked, {})) {
      if (!quorum_backed) continue;
      DownMessage message;
      message.mutable_verified()->set_nonce(asked);
      *message.mutable_verified()->mutable_committed() = committed;
      SendTo(&session, message);
    }
    more = more || !session.waiting.empty();
  }
  if (more) AskUpstream();
}

void Fanout::CloseAll() {
  std::map<SessionId, Session> sessions;
  sessions.swap(sessions_);
  for (auto& [id, session] : sessions) session.channel->Close();
}

void Fanout::SendTo(Session* session, const DownMessage& message) {
  SendBytes(session, message.SerializeAsString());
}

void Fanout::SendBytes(Session* session, const std::string& bytes) {
  bytes_sent_ += bytes.size();
  session->channel->Send(bytes);
}

std::size_t Fanout::BufferedBytes() const {
  std::size_t bytes = 0;
  for (const auto& [id, session] : sessions_) bytes += session.channel->buffered_bytes();
  return bytes;
}

std::size_t Fanout::BytesPerSession() const {
  if (sessions_.empty()) return 0;
  constexpr std::size_t kMapNodeBytes = 48;
  std::size_t bytes = 0;
  for (const auto& [id, session] : sessions_) {
    bytes += sizeof(Session) + kMapNodeBytes + session.instance.capacity() +
             session.gossip_address.capacity();
    for (const auto& [name, ack] : session.last) {
      bytes += kMapNodeBytes + sizeof(std::string) + ack.SpaceUsedLong();
    }
  }
  return bytes / sessions_.size();
}

}  // namespace quetzal
