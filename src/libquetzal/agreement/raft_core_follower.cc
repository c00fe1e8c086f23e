#include <algorithm>
#include <utility>

#include <xxhash.h>

#include "agreement/raft_core.h"
#include "agreement/replica_set.h"

namespace quetzal {
namespace {

bool IsReplicaSet(const std::string& payload) {
  ReplicaSet set;
  return set.ParseFromString(payload) && IsWellFormed(set);
}

}  // namespace

void RaftCore::RecordLeaderContact(const AgreementMessage& message) {
  if (role_ != RaftRole::kFollower) BecomeFollower(term(), 0, ResultCode::kOk);
  leader_ = message.from();
  leader_address_ = message.from_address();
  last_leader_contact_ = clock_->Now();
  had_leader_ = true;
  ResetElectionDeadline();
}

bool RaftCore::IsValidAppend(const AgreementMessage& message) const {
  const AppendRequest& request = message.append();
  std::uint64_t index = request.previous_index();
  std::uint64_t term = request.previous_term();
  for (const LogEntry& it : request.entries()) {
    if (it.index() != ++index || it.term() < term || it.term() > message.term()) {
      return false;
    }
    if (it.kind() == LOG_ENTRY_MEMBERSHIP && !IsReplicaSet(it.payload())) return false;
    // A message must never overwrite a committed entry.
    const auto local_term = log_.TermAt(index);
    if (index <= commit_ && local_term && *local_term != it.term()) return false;
    term = it.term();
  }
  return role_ != RaftRole::kLeader && term <= message.term();
}

void RaftCore::OnAppend(const AgreementMessage& message) {
  if (!IsValidAppend(message)) {
    ++refused_;
    return;
  }
  RecordLeaderContact(message);
  const AppendRequest& request = message.append();
  AgreementMessage out = MakeMessage(message.from());
  AppendReply* reply = out.mutable_append_reply();
  reply->set_sent_at_ns(request.sent_at_ns());
  const std::uint64_t previous = request.previous_index();
  const auto local_previous_term = log_.TermAt(previous);
  if (previous < log_.snapshot_index() ||
      local_previous_term == request.previous_term()) {
    const std::uint64_t match = MergeEntries(request);
    reply->set_accepted(true);
    reply->set_match_index(match);
    AdvanceCommit(std::min(request.commit_index(), match));
  } else {
    std::uint64_t hint = std::min(previous - 1, log_.last_index());
    while (local_previous_term && hint > commit_ &&
           log_.TermAt(hint) == local_previous_term)
      --hint;
    reply->set_last_index(std::max(hint, commit_));
  }
  if (MayAckContactBeforeSync()) SendContactAck(message);
  SendAfterSync(std::move(out), message.from_address());
}

/// A slow disk delays replies, and the leader would lose its lease without an earlier
/// acknowledgement of contact. It is safe once the term is durable: after a crash, a
/// replica with a stored term grants no vote for an election timeout.
bool RaftCore::MayAckContactBeforeSync() const {
  return synced_number_ < write_number_ && synced_number_ >= term_write_;
}

void RaftCore::SendContactAck(const AgreementMessage& message) {
  AgreementMessage out = MakeMessage(message.from());
  AppendReply* reply = out.mutable_append_reply();
  reply->set_heard_only(true);
  reply->set_sent_at_ns(message.append().sent_at_ns());
  Send(std::move(out), message.from_address());
}

/// Appends new entries and replaces conflicting ones. Returns the index up to which the
/// log matches the leader's.
std::uint64_t RaftCore::MergeEntries(const AppendRequest& request) {
  const std::uint64_t match = request.previous_index() + request.entries_size();
  std::uint64_t drop_from = 0;
  std::vector<LogEntry> added;
  for (const LogEntry& it : request.entries()) {
    if (it.index() <= log_.snapshot_index()) continue;
    if (added.empty() && log_.TermAt(it.index()) == it.term()) continue;
    if (added.empty() && it.index() <= log_.last_index()) {
      drop_from = it.index();
      log_.DropFrom(drop_from);
      synced_index_ = std::min(synced_index_, drop_from - 1);
      for (auto& [number, last] : unsynced_) last = std::min(last, drop_from - 1);
    }
    log_.Append(it);
    added.push_back(it);
  }
  if (!added.empty()) {
    LogWrite& write = NewWrite();
    write.drop_from = drop_from;
    write.entries = std::move(added);
  }
  return match;
}

void RaftCore::AdvanceCommit(std::uint64_t index) {
  commit_ = std::max(commit_, std::min(index, log_.last_index()));
  while (applied_ < commit_) output_.committed.push_back(log_.At(++applied_));
}

void RaftCore::OnSnapshot(const AgreementMessage& message) {
  const SnapshotChunk& chunk = message.snapshot();
  const SnapshotInfo& info = chunk.info();
  const bool valid = role_ != RaftRole::kLeader && info.index() > 0 &&
                     info.term() <= message.term() &&
                     info.bytes() <= options_.snapshot_bytes_max &&
                     chunk.data().size() <= info.bytes() &&
                     chunk.offset() <= info.bytes() - chunk.data().size();
  if (!valid) {
    ++refused_;
    return;
  }
  RecordLeaderContact(message);
  AgreementMessage out = MakeMessage(message.from());
  SnapshotReply* reply = out.mutable_snapshot_reply();
  reply->set_index(info.index());
  reply->set_sent_at_ns(chunk.sent_at_ns());
  if (info.index() <= commit_) {
    reply->set_installed(true);
    return SendAfterSync(std::move(out), message.from_address());
  }
  if (!assembly_ || assembly_->info.index() != info.index() ||
      assembly_->info.checksum() != info.checksum()) {
    assembly_ = SnapshotAssembly{info, ""};
  }
  if (chunk.offset() == assembly_->data.size()) assembly_->data += chunk.data();
  reply->set_received(assembly_->data.size());
  if (assembly_->data.size() >= info.bytes()) {
    SnapshotAssembly whole = std::move(*assembly_);
    assembly_.reset();
    if (XXH64(whole.data.data(), whole.data.size(), 0) == info.checksum()) {
      InstallSnapshot(std::move(whole));
      reply->set_installed(true);
    } else {
      ++refused_;
      reply->set_received(0);
    }
  }
  SendAfterSync(std::move(out), message.from_address());
}

void RaftCore::InstallSnapshot(SnapshotAssembly assembly) {
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->info = std::move(assembly.info);
  snapshot->data = std::move(assembly.data);
  const std::uint64_t index = snapshot->info.index();
  log_.Compact(snapshot);
  commit_ = index;
  applied_ = index;
  synced_index_ = std::min(synced_index_, log_.last_index());
  for (auto& [number, last] : unsynced_) last = std::min(last, log_.last_index());
  LogWrite& write = NewWrite();
  write.snapshot = snapshot;
  for (std::uint64_t n = index + 1; n <= log_.last_index(); ++n) {
    write.entries.push_back(log_.At(n));
  }
  output_.restore = snapshot;
  Report(CoreEventKind::kSnapshotInstalled);
}

void RaftCore::OnReadReply(const AgreementMessage& message) {
  const ReadReply& reply = message.read_reply();
  auto it = std::find_if(reads_.begin(), reads_.end(), [&reply](const PendingRead& read) {
    return read.id == reply.id();
  });
  if (it == reads_.end()) return;
  if (reply.confirmed()) {
    it->index = reply.index();
    return;
  }
  output_.reads.push_back({it->id, ResultCode::kNoQuorum});
  reads_.erase(it);
}

}  // namespace quetzal
