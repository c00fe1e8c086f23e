#include "plugins/log_file/file_log.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <xxhash.h>

#include "base/random.h"
#include "base/result_code.h"
#include "plugins/log_file/journal_frame.h"

namespace quetzal {
namespace {

constexpr char kIdentityName[] = "identity";
constexpr char kJournalPrefix[] = "journal-";
constexpr char kSnapshotPrefix[] = "snapshot-";
constexpr std::uint64_t kIdentitySeed = 1;

const LogStorageRegistry::Factory factory = [](const std::string& folder) {
  return std::make_unique<FileLog>(folder);
};
const PluginRegistration<LogStorageRegistry> registration("file", factory);

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

std::string JournalName(std::uint64_t generation) {
  return kJournalPrefix + std::to_string(generation);
}

std::string SnapshotName(const SnapshotInfo& info) {
  return kSnapshotPrefix + std::to_string(info.index()) + "-" +
         std::to_string(info.term());
}

/// Generation in a journal's file name; 0 for any other name.
std::uint64_t GenerationOf(const std::string& name) {
  std::uint64_t generation = 0;
  const std::size_t prefix = sizeof(kJournalPrefix) - 1;
  if (!StartsWith(name, kJournalPrefix)) return 0;
  const char* end = name.data() + name.size();
  auto [last, ec] = std::from_chars(name.data() + prefix, end, generation);
  return ec == std::errc() && last == end ? generation : 0;
}

[[noreturn]] void ThrowCorrupt(const std::string& file, std::uint64_t offset,
                               const std::string& why) {
  throw Error(ResultCode::kLogCorrupt,
              file + " is damaged at offset " + std::to_string(offset) + ": " + why);
}

void AddWrite(const LogWrite& write, JournalRecord* record) {
  JournalWrite* out = record->add_writes();
  if (write.hard_state) *out->mutable_hard_state() = *write.hard_state;
  out->set_drop_from(write.drop_from);
  for (const LogEntry& it : write.entries) *out->add_entries() = it;
}

}  // namespace

FileLog::FileLog(const std::string& folder, DiskCalls* calls) : folder_(folder, calls) {}

StoredLog FileLog::Load() {
  StoredLog stored;
  for (const std::string& name : folder_.FileNames()) {
    generation_ = std::max(generation_, GenerationOf(name));
  }
  stored.replica = LoadIdentity(generation_ > 0);
  if (generation_ == 0) {
    JournalRecord head;
    head.set_head(true);
    CreateJournal(1, head);
  } else {
    LoadJournal(&stored);
  }
  RemoveStaleFiles();
  return stored;
}

std::uint64_t FileLog::LoadIdentity(bool journal_exists) {
  FolderIdentity identity;
  if (folder_.Exists(kIdentityName)) {
    const std::string path = folder_.PathOf(kIdentityName);
    const std::string bytes = folder_.Read(kIdentityName);
    const JournalScan scan = ScanJournal(bytes, kIdentitySeed, path);
    const bool valid = scan.frames.size() == 1 && scan.valid_bytes == bytes.size() &&
                       identity.ParseFromString(std::string(scan.frames[0].payload));
    if (!valid || identity.replica() == 0) ThrowCorrupt(path, 0, "invalid identity");
    return identity.replica();
  }
  if (journal_exists) {
    ThrowCorrupt(folder_.PathOf(kIdentityName), 0, "missing although a journal exists");
  }
  identity.set_replica(SeedFromSystem() | 1);
  folder_.Replace(
      kIdentityName,
      EncodeFrame(FrameKind::kRecord, 0, identity.SerializeAsString(), kIdentitySeed));
  return identity.replica();
}

void FileLog::LoadJournal(StoredLog* stored) {
  journal_name_ = JournalName(generation_);
  const std::string path = folder_.PathOf(journal_name_);
  const std::string bytes = folder_.Read(journal_name_);
  const JournalScan scan = ScanJournal(bytes, generation_, path);
  if (scan.frames.empty()) ThrowCorrupt(path, 0, "no head record");
  for (const JournalFrame& frame : scan.frames) {
    JournalRecord record;
    if (!record.ParseFromArray(frame.payload.data(),
                               static_cast<int>(frame.payload.size())) ||
        record.head() != (frame.number == 0)) {
      ThrowCorrupt(path, frame.offset, "not a journal record");
    }
    ApplyRecord(record, frame.offset, stored);
  }
  OpenJournal(generation_, scan.valid_bytes, scan.frames.size());
  // The process may have ended before the last record was synced. It counts as durable
  // once it was read. The head record came with the file.
  if (!scan.synced && scan.frames.size() > 1) return RewriteJournal();
  if (scan.valid_bytes == bytes.size()) return;
  unclear_tail_ = true;
  if (!CutTail()) return;
  try {
    folder_.SyncData(journal_, path);
    unclear_tail_ = false;
  } catch (const Error&) {
    // The next write starts a new journal.
  }
}

void FileLog::ApplyRecord(const JournalRecord& record, std::uint64_t offset,
                          StoredLog* stored) {
  const std::string path = folder_.PathOf(journal_name_);
  if (record.has_snapshot()) LoadSnapshot(record.snapshot(), stored);
  const std::uint64_t base = stored->snapshot ? stored->snapshot->info.index() : 0;
  auto& entries = stored->entries;
  for (const JournalWrite& write : record.writes()) {
    if (write.has_hard_state()) stored->hard_state = write.hard_state();
    if (write.drop_from() > 0) {
      if (write.drop_from() <= base || write.drop_from() > base + entries.size()) {
        ThrowCorrupt(path, offset, "drops entries that the log does not contain");
      }
      entries.resize(write.drop_from() - base - 1);
    }
    for (const LogEntry& it : write.entries()) {
      if (it.index() != base + entries.size() + 1) {
        ThrowCorrupt(path, offset, "an entry is missing");
      }
      entries.push_back(it);
    }
  }
}

void FileLog::LoadSnapshot(const SnapshotInfo& info, StoredLog* stored) {
  snapshot_name_ = SnapshotName(info);
  const std::string path = folder_.PathOf(snapshot_name_);
  if (!folder_.Exists(snapshot_name_)) ThrowCorrupt(path, 0, "missing");
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->info = info;
  snapshot->data = folder_.Read(snapshot_name_);
  if (snapshot->data.size() != info.bytes()) {
    ThrowCorrupt(path, std::min<std::uint64_t>(snapshot->data.size(), info.bytes()),
                 "wrong length");
  }
  if (XXH64(snapshot->data.data(), snapshot->data.size(), 0) != info.checksum()) {
    ThrowCorrupt(path, 0, "wrong checksum");
  }
  stored->snapshot = std::move(snapshot);
}

void FileLog::CreateJournal(std::uint64_t generation, const JournalRecord& head) {
  const std::string frame =
      EncodeFrame(FrameKind::kRecord, 0, head.SerializeAsString(), generation);
  folder_.Replace(JournalName(generation), frame);
  OpenJournal(generation, frame.size(), 1);
}

void FileLog::OpenJournal(std::uint64_t generation, std::uint64_t bytes,
                          std::uint64_t records) {
  const std::string name = JournalName(generation);
  journal_ = folder_.Open(name);
  journal_name_ = name;
  generation_ = generation;
  offset_ = bytes;
  next_number_ = records;
  unclear_tail_ = false;
}

void FileLog::RewriteJournal() {
  const std::string path = folder_.PathOf(journal_name_);
  // The page cache may hold bytes behind offset_ that are not on the disk and that no
  // later sync of this file writes.
  const std::string bytes = folder_.Read(journal_name_).substr(0, offset_);
  const JournalScan scan = ScanJournal(bytes, generation_, path);
  if (scan.valid_bytes != offset_ || scan.frames.size() != next_number_) {
    throw Error(ResultCode::kDiskFailed, "cannot read " + path);
  }
  const std::uint64_t generation = generation_ + 1;
  std::string copy;
  for (const JournalFrame& frame : scan.frames) {
    copy += EncodeFrame(FrameKind::kRecord, frame.number, frame.payload, generation);
    copy += EncodeFrame(FrameKind::kSyncMark, frame.number, "", generation);
  }
  folder_.Replace(JournalName(generation), copy);
  OpenJournal(generation, copy.size(), scan.frames.size());
  RemoveStaleFiles();
}

bool FileLog::CutTail() {
  try {
    folder_.Truncate(journal_, offset_, folder_.PathOf(journal_name_));
    return true;
  } catch (const Error&) {
    return false;
  }
}

void FileLog::Write(const std::vector<LogWrite>& writes) {
  // A write with a snapshot replaces the whole log, so earlier writes are skipped.
  const auto last =
      std::find_if(writes.rbegin(), writes.rend(),
                   [](const LogWrite& write) { return write.snapshot != nullptr; });
  auto it = writes.begin();
  if (last != writes.rend()) {
    Rotate(*last);
    it = last.base();
  }
  JournalRecord record;
  for (; it != writes.end(); ++it) AddWrite(*it, &record);
  if (record.writes_size() == 0) return;
  if (unclear_tail_) RewriteJournal();
  AppendRecord(record);
}

void FileLog::Rotate(const LogWrite& write) {
  const std::string name = SnapshotName(write.snapshot->info);
  folder_.Replace(name, write.snapshot->data);
  JournalRecord head;
  head.set_head(true);
  *head.mutable_snapshot() = write.snapshot->info;
  AddWrite(write, &head);
  CreateJournal(generation_ + 1, head);
  snapshot_name_ = name;
  RemoveStaleFiles();
}

void FileLog::AppendRecord(const JournalRecord& record) {
  const std::string path = folder_.PathOf(journal_name_);
  const std::string frame = EncodeFrame(FrameKind::kRecord, next_number_,
                                        record.SerializeAsString(), generation_);
  unclear_tail_ = true;
  try {
    folder_.WriteAt(journal_, offset_, frame, path);
  } catch (const Error&) {
    unclear_tail_ = !CutTail();
    throw;
  }
  folder_.SyncData(journal_, path);
  offset_ += frame.size();
  const std::string mark =
      EncodeFrame(FrameKind::kSyncMark, next_number_, "", generation_);
  ++next_number_;
  try {
    folder_.WriteAt(journal_, offset_, mark, path);
    offset_ += mark.size();
    unclear_tail_ = false;
  } catch (const Error&) {
    // The record is durable. Without its sync mark, damage to it looks like an incomplete
    // write.
    unclear_tail_ = !CutTail();
  }
}

void FileLog::RemoveStaleFiles() {
  for (const std::string& name : folder_.FileNames()) {
    const bool journal = StartsWith(name, kJournalPrefix) && name != journal_name_;
    const bool snapshot = StartsWith(name, kSnapshotPrefix) && name != snapshot_name_;
    if (journal || snapshot) folder_.Remove(name);
  }
}

}  // namespace quetzal
