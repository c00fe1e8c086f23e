#ifndef QUETZAL_PLUGINS_LOG_FILE_FILE_LOG_H_
#define QUETZAL_PLUGINS_LOG_FILE_FILE_LOG_H_

#include <cstdint>
#include <string>
#include <vector>

#include "agreement/log_storage.h"
#include "plugins/log_file/data_folder.h"

namespace quetzal {

/// Log storage in one folder with the files `identity`, `journal-N` (records with
/// checksums) and `snapshot-INDEX-TERM`. A snapshot starts a new journal, and so does the
/// first write after a failure that left the end of the journal unclear; the old files
/// are removed once the new ones are durable.
class FileLog final : public LogStorage {
 public:
  /// Throws Error(kFolderMissing).
  explicit FileLog(const std::string& folder, DiskCalls* calls = DiskCalls::System());

  StoredLog Load() override;
  void Write(const std::vector<LogWrite>& writes) override;

 private:
  std::uint64_t LoadIdentity(bool journal_exists);
  void LoadJournal(StoredLog* stored);
  void LoadSnapshot(const SnapshotInfo& info, StoredLog* stored);
  void ApplyRecord(const JournalRecord& record, std::uint64_t offset, StoredLog* stored);
  void CreateJournal(std::uint64_t generation, const JournalRecord& head);
  void Rotate(const LogWrite& write);
  /// Writes the records that are known to be durable to a new journal.
  void RewriteJournal();
  void OpenJournal(std::uint64_t generation, std::uint64_t bytes, std::uint64_t records);
  /// Cuts off what follows the last durable record; false if the disk refuses that.
  bool CutTail();
  void AppendRecord(const JournalRecord& record);
  void RemoveStaleFiles();

  DataFolder folder_;
  std::uint64_t generation_ = 0;
  std::string journal_name_;
  std::string snapshot_name_;
  FileHandle journal_;
  std::uint64_t offset_ = 0;  ///< Up to here the journal is durable.
  std::uint64_t next_number_ = 0;
  bool unclear_tail_ = false;  ///< What follows offset_ may become durable or not.
};

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_LOG_FILE_FILE_LOG_H_
