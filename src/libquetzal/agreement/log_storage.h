#ifndef QUETZAL_AGREEMENT_LOG_STORAGE_H_
#define QUETZAL_AGREEMENT_LOG_STORAGE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "agreement.pb.h"
#include "kernel/plugin_registry.h"

namespace quetzal {

/// Serialized state of the state machine after the entry `info.index`.
struct Snapshot {
  SnapshotInfo info;
  std::string data;
};

/// One change of the log. Changes take effect in the order of their numbers.
struct LogWrite {
  std::uint64_t number = 0;
  std::optional<HardState> hard_state;

  /// When set, this snapshot followed by `entries` replaces the whole log.
  std::shared_ptr<const Snapshot> snapshot;

  /// Entries from this index on are removed before `entries` are appended; 0: none.
  std::uint64_t drop_from = 0;
  std::vector<LogEntry> entries;
};

/// Content of a data folder.
struct StoredLog {
  std::uint64_t replica = 0;  ///< Random identity of the folder, set at its creation.
  HardState hard_state;
  std::shared_ptr<const Snapshot> snapshot;  ///< Null: the log starts at index 1.
  std::vector<LogEntry> entries;  ///< Consecutive, starting after the snapshot.
};

/// Durable log of one replica. Not thread-safe.
class LogStorage {
 public:
  virtual ~LogStorage() = default;

  /// Reads the whole log and truncates a write that a crash left incomplete. Creates an
  /// identity in an empty folder. Throws Error(kLogCorrupt) with file and offset in the
  /// text, kFolderMissing, kDiskFull or kDiskFailed.
  virtual StoredLog Load() = 0;

  /// Makes all `writes` durable with a single sync before it returns. Throws
  /// Error(kDiskFull) or Error(kDiskFailed): some of the writes may be durable, and the
  /// next call must repeat all of them, with or without further ones behind them.
  virtual void Write(const std::vector<LogWrite>& writes) = 0;
};

/// Log storage plugins by name. The factory argument is the path of the data folder.
using LogStorageRegistry = PluginRegistry<LogStorage, std::string>;

}  // namespace quetzal

#endif  // QUETZAL_AGREEMENT_LOG_STORAGE_H_
