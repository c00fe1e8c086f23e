#include "agreement/raft_log.h"

#include <algorithm>
#include <string>

#include "agreement/replica_set.h"
#include "base/result_code.h"

namespace quetzal {

ReplicaSet ParseReplicaSet(const LogEntry& entry) {
  ReplicaSet set;
  if (!set.ParseFromString(entry.payload())) {
    throw Error(ResultCode::kMessageMalformed, "entry " + std::to_string(entry.index()) +
                                                   " does not contain a replica set");
  }
  return set;
}

RaftLog::RaftLog(std::shared_ptr<const Snapshot> snapshot, std::vector<LogEntry> entries)
    : snapshot_(std::move(snapshot)) {
  if (snapshot_ != nullptr) {
    snapshot_index_ = snapshot_->info.index();
    snapshot_term_ = snapshot_->info.term();
    replica_sets_.emplace_back(snapshot_index_, snapshot_->info.replicas());
  } else {
    replica_sets_.emplace_back(0, ReplicaSet());
  }
  for (LogEntry& it : entries) {
    if (it.index() != last_index() + 1 || it.term() < last_term()) {
      throw Error(ResultCode::kLogCorrupt,
                  "the log has no entry " + std::to_string(last_index() + 1));
    }
    Append(std::move(it));
  }
}

std::optional<std::uint64_t> RaftLog::TermAt(std::uint64_t index) const {
  if (index == snapshot_index_) return snapshot_term_;
  if (index < snapshot_index_ || index > last_index()) return std::nullopt;
  return At(index).term();
}

const LogEntry& RaftLog::At(std::uint64_t index) const {
  return entries_[index - snapshot_index_ - 1];
}

std::vector<LogEntry> RaftLog::Slice(std::uint64_t index, std::size_t max_bytes) const {
  std::vector<LogEntry> slice;
  std::size_t bytes = 0;
  for (std::uint64_t n = index; n <= last_index(); ++n) {
    bytes += At(n).payload().size();
    if (!slice.empty() && bytes > max_bytes) break;
    slice.push_back(At(n));
  }
  return slice;
}

void RaftLog::Append(LogEntry entry) {
  if (entry.kind() == LOG_ENTRY_MEMBERSHIP) {
    replica_sets_.emplace_back(entry.index(), ParseReplicaSet(entry));
  }
  entry_bytes_ += entry.payload().size();
  entries_.push_back(std::move(entry));
}

void RaftLog::DropFrom(std::uint64_t index) {
  while (last_index() >= index && !entries_.empty()) {
    entry_bytes_ -= entries_.back().payload().size();
    entries_.pop_back();
  }
  while (replica_sets_.size() > 1 && replica_sets_.back().first >= index) {
    replica_sets_.pop_back();
  }
}

void RaftLog::Compact(std::shared_ptr<const Snapshot> snapshot) {
  const std::uint64_t index = snapshot->info.index();
  if (TermAt(index) == snapshot->info.term()) {
    while (snapshot_index_ < index) {
      entry_bytes_ -= entries_.front().payload().size();
      entries_.pop_front();
      ++snapshot_index_;
    }
  } else {
    DropFrom(0);
  }
  snapshot_index_ = index;
  snapshot_term_ = snapshot->info.term();
  std::vector<std::pair<std::uint64_t, ReplicaSet>> sets;
  sets.emplace_back(index, snapshot->info.replicas());
  for (auto& it : replica_sets_) {
    if (it.first > index && !entries_.empty()) sets.push_back(std::move(it));
  }
  replica_sets_ = std::move(sets);
  snapshot_ = std::move(snapshot);
}

const ReplicaSet& RaftLog::ReplicasAt(std::uint64_t index) const {
  auto it = std::find_if(replica_sets_.rbegin(), replica_sets_.rend(),
                         [index](const auto& set) { return set.first <= index; });
  return it == replica_sets_.rend() ? replica_sets_.front().second : it->second;
}

bool RaftLog::KeptAllReplicas() const {
  return std::all_of(
      replica_sets_.begin(), replica_sets_.end(), [this](const auto& indexed) {
        const std::vector<Replica> all = Participants(indexed.second);
        return std::all_of(all.begin(), all.end(), [this](const Replica& it) {
          return FindReplica(replicas(), it.replica()) != nullptr;
        });
      });
}

}  // namespace quetzal
