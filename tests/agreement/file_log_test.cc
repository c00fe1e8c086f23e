#include "plugins/log_file/file_log.h"

#include <sys/resource.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <xxhash.h>

#include "agreement/temporary_folder.h"
#include "base/result_code.h"
#include "plugins/log_file/journal_frame.h"

namespace quetzal::testing {
namespace {

namespace fs = std::filesystem;

LogEntry MakeEntry(std::uint64_t term, std::uint64_t index, const std::string& payload) {
  LogEntry entry;
  entry.set_term(term);
  entry.set_index(index);
  entry.set_kind(LOG_ENTRY_COMMAND);
  entry.set_payload(payload);
  return entry;
}

LogWrite MakeWrite(std::uint64_t term, std::uint64_t first, int count,
                   std::uint64_t drop_from = 0) {
  LogWrite write;
  write.hard_state.emplace();
  write.hard_state->set_term(term);
  write.drop_from = drop_from;
  for (int n = 0; n < count; ++n) {
    write.entries.push_back(MakeEntry(term, first + n, "entry " + std::to_string(n)));
  }
  return write;
}

LogWrite MakeSnapshotWrite(std::uint64_t index, const std::string& data) {
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->info.set_index(index);
  snapshot->info.set_term(1);
  snapshot->info.set_bytes(data.size());
  snapshot->info.set_checksum(XXH64(data.data(), data.size(), 0));
  snapshot->data = data;
  LogWrite write = MakeWrite(2, index + 1, 1);
  write.snapshot = snapshot;
  return write;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

void WriteFile(const std::string& path, const std::string& bytes) {
  std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}

/// Writes three records with 3, 2 and 1 entries; the last record replaces entry 5.
void FillFolder(const std::string& folder) {
  FileLog log(folder);
  log.Load();
  log.Write({MakeWrite(1, 1, 3)});
  log.Write({MakeWrite(1, 4, 1), MakeWrite(1, 5, 1)});
  log.Write({MakeWrite(2, 5, 1, 5)});
}

StoredLog LoadFolder(const std::string& folder) { return FileLog(folder).Load(); }

TEST(FileLog, KeepsEverythingAcrossARestart) {
  TemporaryFolder folder;
  FillFolder(folder.path());
  const StoredLog first = LoadFolder(folder.path());
  const StoredLog log = LoadFolder(folder.path());
  EXPECT_NE(log.replica, 0u);
  EXPECT_EQ(log.replica, first.replica);
  EXPECT_EQ(log.hard_state.term(), 2u);
  ASSERT_EQ(log.entries.size(), 5u);
  EXPECT_EQ(log.entries[4].term(), 2u);
  EXPECT_EQ(log.snapshot, nullptr);
}

TEST(FileLog, TruncatesAnIncompleteRecordOfAnyLength) {
  TemporaryFolder folder;
  FillFolder(folder.path());
  const std::string journal = folder.path() + "/journal-1";
  const std::string whole = ReadFile(journal);
  const auto frames = ScanJournal(whole, 1, journal).frames;
  ASSERT_EQ(frames.size(), 4u);
  for (std::size_t size = frames[3].offset; size < whole.size(); ++size) {
    const std::size_t last_end =
        frames[3].offset + kFrameHeaderBytes + frames[3].payload.size();
    WriteFile(journal, whole.substr(0, size));
    const StoredLog log = LoadFolder(folder.path());
    ASSERT_EQ(log.entries.size(), 5u) << size;
    ASSERT_EQ(log.entries[4].term(), size < last_end ? 1u : 2u) << size;
  }
}

TEST(FileLog, AppendsAfterAnIncompleteRecord) {
  TemporaryFolder folder;
  FillFolder(folder.path());
  const std::string journal = folder.path() + "/journal-1";
  const std::string whole = ReadFile(journal);
  WriteFile(journal, whole.substr(0, whole.size() - kFrameHeaderBytes - 1));
  {
    FileLog log(folder.path());
    log.Load();
    log.Write({MakeWrite(3, 6, 2)});
  }
  EXPECT_EQ(LoadFolder(folder.path()).entries.size(), 7u);
}

TEST(FileLog, AcceptsALostSyncMark) {
  TemporaryFolder folder;
  FillFolder(folder.path());
  const std::string journal = folder.path() + "/journal-1";
  std::string bytes = ReadFile(journal);
  const auto frames = ScanJournal(bytes, 1, journal).frames;
  bytes.replace(frames[2].offset - kFrameHeaderBytes, kFrameHeaderBytes,
                kFrameHeaderBytes, '\0');
  WriteFile(journal, bytes);
  EXPECT_EQ(LoadFolder(folder.path()).entries.size(), 5u);
}

TEST(FileLog, RefusesAnyFlippedByteOfASyncedRecord) {
  TemporaryFolder folder;
  FillFolder(folder.path());
  const std::string journal = folder.path() + "/journal-1";
  const std::string whole = ReadFile(journal);
  const auto frames = ScanJournal(whole, 1, journal).frames;
  rc::check("a flipped byte is reported with the offset of its frame", [&] {
    const JournalFrame frame = frames[*rc::gen::inRange<std::size_t>(0, frames.size())];
    const auto n =
        *rc::gen::inRange<std::size_t>(0, kFrameHeaderBytes + frame.payload.size());
    const auto flip = *rc::gen::inRange(1, 256);
    std::string bytes = whole;
    bytes[frame.offset + n] = static_cast<char>(bytes[frame.offset + n] ^ flip);
    WriteFile(journal, bytes);
    std::optional<Error> error;
    try {
      LoadFolder(folder.path());
    } catch (const Error& caught) {
      error = caught;
    }
    RC_ASSERT(error.has_value());
    RC_ASSERT(error->code() == ResultCode::kLogCorrupt);
    const std::string offset = "offset " + std::to_string(frame.offset);
    RC_ASSERT(std::string(error->what()).find(offset) != std::string::npos);
  });
}

TEST(FileLog, ReadsNoFramesFromArbitraryBytes) {
  rc::check("arbitrary bytes are truncated or refused", [](const std::string& bytes) {
    try {
      const JournalScan scan = ScanJournal(bytes, 1, "journal");
      RC_ASSERT(scan.valid_bytes <= bytes.size());
      RC_ASSERT(scan.frames.empty());
    } catch (const Error& error) {
      RC_ASSERT(error.code() == ResultCode::kLogCorrupt);
    }
  });
}

TEST(FileLog, StartsANewJournalWithASnapshot) {
  TemporaryFolder folder;
  FillFolder(folder.path());
  {
    FileLog log(folder.path());
    log.Load();
    log.Write({MakeWrite(2, 6, 1), MakeSnapshotWrite(6, "state"), MakeWrite(2, 8, 1)});
  }
  const StoredLog log = LoadFolder(folder.path());
  ASSERT_NE(log.snapshot, nullptr);
  EXPECT_EQ(log.snapshot->data, "state");
  ASSERT_EQ(log.entries.size(), 2u);
  EXPECT_EQ(log.entries[0].index(), 7u);
  EXPECT_FALSE(fs::exists(folder.path() + "/journal-1"));
}

TEST(FileLog, LoadsAfterACrashDuringJournalRotation) {
  TemporaryFolder folder;
  FillFolder(folder.path());
  const std::string old = ReadFile(folder.path() + "/journal-1");
  {
    FileLog log(folder.path());
    log.Load();
    log.Write({MakeSnapshotWrite(5, "state")});
  }
  // Both journals exist: the crash came before the removal of the old one.
  WriteFile(folder.path() + "/journal-1", old);
  EXPECT_NE(LoadFolder(folder.path()).snapshot, nullptr);
  // The snapshot exists but not the new journal: the old journal is used.
  fs::remove(folder.path() + "/journal-2");
  WriteFile(folder.path() + "/journal-1", old);
  WriteFile(folder.path() + "/journal-2.tmp", "half");
  const StoredLog log = LoadFolder(folder.path());
  EXPECT_EQ(log.snapshot, nullptr);
  EXPECT_EQ(log.entries.size(), 5u);
}

ResultCode CodeOfLoad(const std::string& folder) {
  try {
    LoadFolder(folder);
  } catch (const Error& error) {
    return error.code();
  }
  return ResultCode::kOk;
}

TEST(FileLog, RefusesACorruptSnapshotOrAMissingIdentity) {
  TemporaryFolder folder;
  {
    FileLog log(folder.path());
    log.Load();
    log.Write({MakeSnapshotWrite(5, "state")});
  }
  WriteFile(folder.path() + "/snapshot-5-1", "stale");
  EXPECT_EQ(CodeOfLoad(folder.path()), ResultCode::kLogCorrupt);
  WriteFile(folder.path() + "/snapshot-5-1", "state");
  EXPECT_EQ(CodeOfLoad(folder.path()), ResultCode::kOk);
  fs::remove(folder.path() + "/identity");
  EXPECT_EQ(CodeOfLoad(folder.path()), ResultCode::kLogCorrupt);
}

TEST(FileLog, RefusesASecondProcessAndAMissingFolder) {
  TemporaryFolder folder;
  FileLog first(folder.path());
  EXPECT_THROW(FileLog second(folder.path()), Error);
  EXPECT_THROW(FileLog missing(folder.path() + "/none"), Error);
}

/// Limits the file size of this process to `bytes` during its lifetime.
class FileSizeLimit {
 public:
  explicit FileSizeLimit(rlim_t bytes) : handler_(std::signal(SIGXFSZ, SIG_IGN)) {
    getrlimit(RLIMIT_FSIZE, &before_);
    const rlimit limit{bytes, before_.rlim_max};
    setrlimit(RLIMIT_FSIZE, &limit);
  }
  ~FileSizeLimit() {
    setrlimit(RLIMIT_FSIZE, &before_);
    std::signal(SIGXFSZ, handler_);
  }

 private:
  rlimit before_{};
  void (*handler_)(int);
};

TEST(FileLog, KeepsNothingOfAWriteToAFullDiskAndRetriesIt) {
  TemporaryFolder folder;
  FileLog log(folder.path());
  log.Load();
  log.Write({MakeWrite(1, 1, 1)});
  const auto before = fs::file_size(folder.path() + "/journal-1");
  const std::vector<LogWrite> writes{MakeWrite(1, 2, 50)};
  {
    FileSizeLimit limit(before + 100);
    try {
      log.Write(writes);
      ADD_FAILURE() << "the write succeeded";
    } catch (const Error& error) {
      EXPECT_EQ(error.code(), ResultCode::kDiskFull);
    }
    EXPECT_EQ(fs::file_size(folder.path() + "/journal-1"), before);
    EXPECT_THROW(log.Write({MakeSnapshotWrite(1, std::string(1000, 's'))}), Error);
  }
  log.Write(writes);
  EXPECT_GT(fs::file_size(folder.path() + "/journal-1"), before);
}

}  // namespace
}  // namespace quetzal::testing
