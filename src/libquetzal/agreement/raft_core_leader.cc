#include <algorithm>
#include <chrono>
#include <utility>

#include <xxhash.h>

#include "agreement/raft_core.h"
#include "agreement/replica_set.h"

namespace quetzal {
namespace {

std::int64_t ToNanos(SteadyTime time) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch())
      .count();
}

}  // namespace

void RaftCore::LeaderTick() {
  StepDownWithoutQuorum();
  if (role_ != RaftRole::kLeader) return;
  for (const Replica& it : Participants(log_.replicas())) {
    auto peer = progress_.find(it.replica());
    if (peer == progress_.end()) continue;
    if (clock_->Now() < peer->second.sent_at + options_.heartbeat_period) continue;
    SendAppend(it, &peer->second, true);
  }
  SendHelloToNewInstance();
  PromoteLearner();
}

ProposeAnswer RaftCore::Propose(std::string payload) {
  if (storage_state_ != ResultCode::kOk) return {storage_state_};
  if (role_ == RaftRole::kLeader) StepDownWithoutQuorum();
  if (role_ != RaftRole::kLeader) return {ResultCode::kNotLeader};
  if (payload.size() > options_.entry_bytes_max) return {ResultCode::kIntentTooLarge};
  const std::uint64_t index = AppendAsLeader(LOG_ENTRY_COMMAND, std::move(payload));
  return {ResultCode::kOk, term(), index};
}

std::uint64_t RaftCore::AppendAsLeader(LogEntryKind kind, std::string payload) {
  LogEntry entry;
  entry.set_term(term());
  entry.set_index(log_.last_index() + 1);
  entry.set_kind(kind);
  entry.set_payload(std::move(payload));
  log_.Append(entry);
  NewWrite().entries.push_back(std::move(entry));
  has_unsent_updates_ = true;
  return log_.last_index();
}

void RaftCore::SendAppends() {
  for (const Replica& it : Participants(log_.replicas())) {
    auto peer = progress_.find(it.replica());
    if (peer != progress_.end()) SendAppend(it, &peer->second, false);
  }
}

void RaftCore::SendAppend(const Replica& peer, Progress* progress, bool heartbeat) {
  if (progress->next <= log_.snapshot_index()) {
    return SendSnapshot(peer, progress, heartbeat);
  }
  const std::uint64_t previous = progress->next - 1;
  std::vector<LogEntry> entries;
  // An unresponsive peer receives heartbeats without entries until it responds.
  const bool unresponsive = progress->probing && progress->waiting;
  if (unresponsive && !heartbeat) return;
  if (!unresponsive && previous < progress->match + options_.append_window) {
    entries = log_.Slice(progress->next, options_.append_bytes);
  }
  if (entries.empty() && !heartbeat && progress->sent_commit >= commit_) return;

  AgreementMessage message = MakeMessage(peer.replica());
  AppendRequest* request = message.mutable_append();
  request->set_previous_index(previous);
  request->set_previous_term(*log_.TermAt(previous));
  request->set_commit_index(commit_);
  request->set_sent_at_ns(ToNanos(clock_->Now()));
  for (LogEntry& it : entries) *request->add_entries() = std::move(it);
  progress->sent_at = clock_->Now();
  progress->sent_commit = commit_;
  if (progress->probing) {
    progress->waiting = true;
  } else {
    progress->next += request->entries_size();
  }
  Send(std::move(message), peer.address());
}

void RaftCore::SendSnapshot(const Replica& peer, Progress* progress, bool heartbeat) {
  if (progress->snapshot_index != log_.snapshot_index()) {
    progress->snapshot_index = log_.snapshot_index();
    progress->snapshot_offset = 0;
    SendChunk(peer, progress);
  } else if (clock_->Now() >= progress->chunk_sent_at + options_.message_timeout) {
    SendChunk(peer, progress);
  }
  if (!heartbeat) return;
  AgreementMessage message = MakeMessage(peer.replica());
  message.mutable_append()->set_sent_at_ns(ToNanos(clock_->Now()));
  progress->sent_at = clock_->Now();
  Send(std::move(message), peer.address());
}

void RaftCore::SendChunk(const Replica& peer, Progress* progress) {
  const Snapshot& snapshot = *log_.snapshot();
  AgreementMessage message = MakeMessage(peer.replica());
  SnapshotChunk* chunk = message.mutable_snapshot();
  *chunk->mutable_info() = snapshot.info;
  chunk->set_offset(progress->snapshot_offset);
  chunk->set_data(snapshot.data.substr(progress->snapshot_offset, options_.chunk_bytes));
  chunk->set_sent_at_ns(ToNanos(clock_->Now()));
  progress->chunk_sent_at = clock_->Now();
  Send(std::move(message), peer.address());
}

RaftCore::Progress* RaftCore::ProgressOf(const AgreementMessage& message) {
  auto it = progress_.find(message.from());
  if (role_ != RaftRole::kLeader || it == progress_.end()) return nullptr;
  return &it->second;
}

/// The lease counts from the send time, so it expires before the follower may vote for
/// another candidate. Returns false for a send time in the future.
bool RaftCore::RecordAck(Progress* progress, std::int64_t sent_at_ns) {
  const SteadyTime sent_at{std::chrono::nanoseconds(sent_at_ns)};
  if (sent_at > clock_->Now()) {
    ++refused_;
    return false;
  }
  progress->acked_sent_at = std::max(progress->acked_sent_at, sent_at);
  return true;
}

void RaftCore::OnAppendReply(const AgreementMessage& message) {
  Progress* progress = ProgressOf(message);
  if (progress == nullptr) return;
  const AppendReply& reply = message.append_reply();
  if (reply.match_index() > log_.last_index()) {
    ++refused_;
    return;
  }
  if (!RecordAck(progress, reply.sent_at_ns()) || reply.heard_only()) return;
  if (progress->next <= log_.snapshot_index()) return;
  const Replica peer = *FindParticipant(log_.replicas(), message.from());
  progress->waiting = false;
  if (reply.accepted()) {
    progress->match = std::max(progress->match, reply.match_index());
    progress->next = std::max(progress->next, progress->match + 1);
    progress->probing = false;
    CommitByQuorum();
  } else {
    const std::uint64_t next = std::min(progress->next, reply.last_index() + 1);
    progress->next = std::max(progress->match + 1, next);
    progress->probing = true;
  }
  if (progress_.count(message.from()) > 0) SendAppend(peer, progress, false);
}

void RaftCore::OnSnapshotReply(const AgreementMessage& message) {
  Progress* progress = ProgressOf(message);
  if (progress == nullptr) return;
  const SnapshotReply& reply = message.snapshot_reply();
  if (!RecordAck(progress, reply.sent_at_ns())) return;
  if (reply.index() != progress->snapshot_index || progress->snapshot_index == 0) return;
  const Replica peer = *FindParticipant(log_.replicas(), message.from());
  if (reply.installed()) {
    progress->match = std::max(progress->match, reply.index());
    progress->next = progress->match + 1;
    progress->snapshot_index = 0;
    progress->probing = false;
    CommitByQuorum();
    if (progress_.count(message.from()) > 0) SendAppend(peer, progress, false);
    return;
  }
  if (reply.index() != log_.snapshot_index()) return SendSnapshot(peer, progress, false);
  if (reply.received() > log_.snapshot()->info.bytes()) {
    ++refused_;
    return;
  }
  progress->snapshot_offset = reply.received();
  SendChunk(peer, progress);
}

void RaftCore::CommitByQuorum() {
  const std::function<std::uint64_t(std::uint64_t)> match_of = [this](std::uint64_t id) {
    return id == replica_ ? synced_index_ : progress_[id].match;
  };
  const std::uint64_t index = QuorumValue(log_.replicas(), term_lost_, match_of);
  if (index <= commit_ || log_.TermAt(index) != term()) return;
  AdvanceCommit(index);
  has_unsent_updates_ = true;
  if (!MembershipChangeBlocked() && !IsVoter(log_.replicas(), replica_)) {
    SendAppends();
    Handover();
  }
}

SteadyTime RaftCore::QuorumAckTime() const {
  const std::function<SteadyTime(std::uint64_t)> acked_at = [this](std::uint64_t id) {
    if (id == replica_) return clock_->Now();
    auto peer = progress_.find(id);
    return peer == progress_.end() ? SteadyTime() : peer->second.acked_sent_at;
  };
  return QuorumValue(log_.replicas(), term_lost_, acked_at);
}

SteadyTime RaftCore::lease_until() const {
  if (role_ != RaftRole::kLeader) return SteadyTime();
  const SteadyTime quorum_acked_at = QuorumAckTime();
  return quorum_acked_at == SteadyTime() ? quorum_acked_at
                                         : quorum_acked_at + options_.lease;
}

SteadyTime RaftCore::last_quorum_contact() const {
  return role_ == RaftRole::kLeader ? QuorumAckTime() : last_leader_contact_;
}

bool RaftCore::LeaseValid() const { return clock_->Now() < lease_until(); }

bool RaftCore::TermCommitted() const { return commit_ >= term_start_; }

void RaftCore::StepDownWithoutQuorum() {
  if (clock_->Now() < std::max(QuorumAckTime(), leader_since_) + options_.lease) return;
  BecomeFollower(term(), 0, ResultCode::kNoQuorum);
}

void RaftCore::Handover() {
  if (role_ != RaftRole::kLeader) return;
  const Replica* successor = nullptr;
  std::uint64_t best = 0;
  for (const Replica& it : log_.replicas().replicas()) {
    auto peer = progress_.find(it.replica());
    if (!it.voter() || peer == progress_.end() || peer->second.match < best) continue;
    successor = &it;
    best = peer->second.match;
  }
  if (successor != nullptr) {
    AgreementMessage message = MakeMessage(successor->replica());
    message.mutable_handover();
    Send(std::move(message), successor->address());
  }
  // Gives up the lease, because the successor's election does not wait for its end.
  BecomeFollower(term(), 0, ResultCode::kOk);
}

void RaftCore::Compact(std::string data) {
  if (applied_ <= log_.snapshot_index()) return;
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->info.set_index(applied_);
  snapshot->info.set_term(*log_.TermAt(applied_));
  *snapshot->info.mutable_replicas() = log_.ReplicasAt(applied_);
  snapshot->info.set_bytes(data.size());
  snapshot->info.set_checksum(XXH64(data.data(), data.size(), 0));
  snapshot->data = std::move(data);
  log_.Compact(snapshot);
  LogWrite& write = NewWrite();
  write.snapshot = snapshot;
  for (std::uint64_t n = applied_ + 1; n <= log_.last_index(); ++n) {
    write.entries.push_back(log_.At(n));
  }
}

void RaftCore::BeginRead(std::uint64_t id) {
  if (role_ == RaftRole::kLeader) StepDownWithoutQuorum();
  if (leader_ == 0) {
    output_.reads.push_back({id, ResultCode::kNoQuorum});
    return;
  }
  reads_.push_back({id, clock_->Now(), std::nullopt});
  if (role_ != RaftRole::kLeader) {
    AgreementMessage message = MakeMessage(leader_);
    message.mutable_read()->set_id(id);
    Send(std::move(message), leader_address_);
  }
  ResolveReads();
}

void RaftCore::OnRead(const AgreementMessage& message) {
  AgreementMessage out = MakeMessage(message.from());
  ReadReply* reply = out.mutable_read_reply();
  reply->set_id(message.read().id());
  reply->set_confirmed(LeaseValid() && TermCommitted());
  reply->set_index(commit_);
  Send(std::move(out), message.from_address());
}

void RaftCore::ResolveReads() {
  reads_.erase(std::remove_if(reads_.begin(), reads_.end(),
                              [this](PendingRead& it) { return ResolveRead(&it); }),
               reads_.end());
}

bool RaftCore::ResolveRead(PendingRead* read) {
  if (!read->index && LeaseValid() && TermCommitted()) read->index = commit_;
  if (read->index && *read->index <= applied_) {
    output_.reads.push_back({read->id, ResultCode::kOk});
    return true;
  }
  if (clock_->Now() < read->started + options_.read_timeout) return false;
  output_.reads.push_back({read->id, ResultCode::kNoQuorum});
  return true;
}

}  // namespace quetzal
