#ifndef QUETZAL_AGREEMENT_RAFT_LOG_H_
#define QUETZAL_AGREEMENT_RAFT_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "agreement/log_storage.h"

namespace quetzal {

/// In-memory log of one replica: the entries after its last snapshot.
class RaftLog {
 public:
  /// Throws Error(kLogCorrupt) when there is a gap after the snapshot or between entries.
  RaftLog(std::shared_ptr<const Snapshot> snapshot, std::vector<LogEntry> entries);

  std::uint64_t snapshot_index() const { return snapshot_index_; }
  std::uint64_t last_index() const { return snapshot_index_ + entries_.size(); }
  std::uint64_t last_term() const { return *TermAt(last_index()); }
  std::size_t entry_bytes() const { return entry_bytes_; }
  const std::shared_ptr<const Snapshot>& snapshot() const { return snapshot_; }

  /// Term of the entry at `index`, 0 for index 0. Nullopt when the log does not have it.
  std::optional<std::uint64_t> TermAt(std::uint64_t index) const;

  /// `index` must be after the snapshot and not after last_index().
  const LogEntry& At(std::uint64_t index) const;

  /// Entries from `index` on, up to `max_bytes` but at least one.
  std::vector<LogEntry> Slice(std::uint64_t index, std::size_t max_bytes) const;

  /// The index of `entry` must be last_index() + 1.
  void Append(LogEntry entry);
  void DropFrom(std::uint64_t index);

  /// Replaces all entries up to the snapshot's index. Keeps the later entries when the
  /// log contains the snapshot's last entry with the same term, and drops them otherwise.
  void Compact(std::shared_ptr<const Snapshot> snapshot);

  /// The group according to the last membership entry or the snapshot.
  const ReplicaSet& replicas() const { return replica_sets_.back().second; }

  /// Index of the membership entry behind replicas(), or of the snapshot.
  std::uint64_t replicas_index() const { return replica_sets_.back().first; }
  const ReplicaSet& ReplicasAt(std::uint64_t index) const;

  /// True when no group in the log, since the snapshot, had a replica that the last one
  /// does not have.
  bool KeptAllReplicas() const;

 private:
  std::shared_ptr<const Snapshot> snapshot_;
  std::uint64_t snapshot_index_ = 0;
  std::uint64_t snapshot_term_ = 0;
  std::deque<LogEntry> entries_;
  std::size_t entry_bytes_ = 0;
  std::vector<std::pair<std::uint64_t, ReplicaSet>> replica_sets_;
};

/// Parses the group in a membership entry. Throws Error(kMessageMalformed).
ReplicaSet ParseReplicaSet(const LogEntry& entry);

}  // namespace quetzal

#endif  // QUETZAL_AGREEMENT_RAFT_LOG_H_
