// A data folder whose disk is full for a while, at any call and for any number of calls.
#include <algorithm>
#include <filesystem>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <xxhash.h>

#include "agreement/faulty_disk.h"
#include "agreement/temporary_folder.h"
#include "base/result_code.h"
#include "plugins/log_file/file_log.h"

namespace quetzal::testing {
namespace {

namespace fs = std::filesystem;

using Batch = std::vector<LogWrite>;

LogWrite MakeWrite(std::uint64_t term, std::uint64_t first, int count,
                   std::uint64_t drop_from = 0) {
  LogWrite write;
  write.hard_state.emplace();
  write.hard_state->set_term(term);
  write.drop_from = drop_from;
  for (int n = 0; n < count; ++n) {
    LogEntry entry;
    entry.set_term(term);
    entry.set_index(first + static_cast<std::uint64_t>(n));
    entry.set_kind(LOG_ENTRY_COMMAND);
    entry.set_payload("entry " + std::to_string(n));
    write.entries.push_back(entry);
  }
  return write;
}

LogWrite MakeSnapshotWrite(std::uint64_t term, std::uint64_t index) {
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->data = "state " + std::to_string(index);
  snapshot->info.set_index(index);
  snapshot->info.set_term(term);
  snapshot->info.set_bytes(snapshot->data.size());
  snapshot->info.set_checksum(XXH64(snapshot->data.data(), snapshot->data.size(), 0));
  LogWrite write = MakeWrite(term, index + 1, 2);
  write.snapshot = snapshot;
  return write;
}

/// Entries, replaced entries, a term alone, snapshots, and several writes at once.
const std::vector<Batch>& Batches() {
  static const std::vector<Batch> batches = {
      {MakeWrite(1, 1, 3)},
      {MakeWrite(1, 4, 1), MakeWrite(1, 5, 20)},
      {MakeWrite(2, 6, 2, 6)},
      {MakeWrite(3, 0, 0)},
      {MakeWrite(3, 8, 1), MakeSnapshotWrite(3, 8), MakeWrite(3, 11, 1)},
      {MakeWrite(3, 12, 1)},
      {MakeSnapshotWrite(3, 12)},
      {MakeWrite(4, 14, 2, 14)},
  };
  return batches;
}

std::string Describe(const StoredLog& stored) {
  std::string text = "term " + std::to_string(stored.hard_state.term());
  if (stored.snapshot) text += ", " + stored.snapshot->data;
  for (const LogEntry& entry : stored.entries) {
    text += ", " + std::to_string(entry.term()) + '/' + std::to_string(entry.index());
  }
  return text;
}

/// What a process would read that starts now.
std::string DescribeCopy(const std::string& folder) {
  TemporaryFolder copy;
  fs::copy(folder, copy.path(), fs::copy_options::recursive);
  return Describe(FileLog(copy.path()).Load());
}

/// States of the log before the first batch and after each one.
const std::vector<std::string>& States() {
  static const std::vector<std::string> states = [] {
    TemporaryFolder folder;
    FileLog log(folder.path());
    log.Load();
    std::vector<std::string> list = {DescribeCopy(folder.path())};
    for (const Batch& batch : Batches()) {
      log.Write(batch);
      list.push_back(DescribeCopy(folder.path()));
    }
    return list;
  }();
  return states;
}

/// True for a state between two batches or, as a failed call may leave it, within
/// `batch`.
bool MayBeLeft(const std::string& state, std::size_t batch) {
  if (state == States()[batch]) return true;
  TemporaryFolder folder;
  FileLog log(folder.path());
  log.Load();
  for (std::size_t n = 0; n < batch; ++n) log.Write(Batches()[n]);
  const Batch& writes = Batches()[batch];
  return std::any_of(writes.begin(), writes.end(), [&](const LogWrite& write) {
    log.Write({write});
    return DescribeCopy(folder.path()) == state;
  });
}

class FullDiskTest : public ::testing::TestWithParam<bool> {
 protected:
  FullDiskTest() { disk_.set_writes_part(GetParam()); }

  /// False when the disk refused the write.
  bool Write(std::size_t batch) {
    try {
      log_.Write(Batches()[batch]);
      return true;
    } catch (const Error& error) {
      EXPECT_EQ(error.code(), ResultCode::kDiskFull) << error.what();
      return false;
    }
  }

  TemporaryFolder folder_;
  FaultyDisk disk_;
  FileLog log_{folder_.path(), &disk_};
};

// Guards against a writer that ends for good after a fault that passes, and against
// records that are written twice or lost.
TEST_P(FullDiskTest, EachCallMayBeRefused) {
  constexpr int kMostCalls = 80;
  for (int count = 1; count <= 6; ++count) {
    for (int after = 0; after < kMostCalls; ++after) {
      TemporaryFolder folder;
      FaultyDisk disk;
      disk.set_writes_part(GetParam());
      FileLog log(folder.path(), &disk);
      log.Load();
      disk.RefuseLater(after, count);
      for (std::size_t n = 0; n < Batches().size(); ++n) {
        for (int failures = 0;; ++failures) {
          ASSERT_LE(failures, count) << "call " << after << ", " << count << " refused";
          try {
            log.Write(Batches()[n]);
            break;
          } catch (const Error& error) {
            EXPECT_EQ(error.code(), ResultCode::kDiskFull) << error.what();
          }
          const std::string state = DescribeCopy(folder.path());
          EXPECT_TRUE(MayBeLeft(state, n))
              << "call " << after << ", " << count << " refused: " << state;
        }
        ASSERT_EQ(DescribeCopy(folder.path()), States()[n + 1])
            << "call " << after << ", " << count << " refused";
      }
      if (count == 1 && after == kMostCalls - 1) {
        EXPECT_LT(disk.calls(), kMostCalls) << "calls that were not refused";
      }
    }
  }
}

// A disk that is full before each batch, for some attempts.
TEST_P(FullDiskTest, AFullDiskIsUsedAgainOnceThereIsRoom) {
  log_.Load();
  for (std::size_t n = 0; n < Batches().size(); ++n) {
    disk_.set_full(true);
    for (int failures = 0; failures < 3; ++failures) {
      EXPECT_FALSE(Write(n));
      EXPECT_EQ(DescribeCopy(folder_.path()), States()[n]);
    }
    disk_.set_full(false);
    EXPECT_TRUE(Write(n));
    EXPECT_EQ(DescribeCopy(folder_.path()), States()[n + 1]);
  }
}

// The retry may come with further writes.
TEST_P(FullDiskTest, AWriteThatGrowsWhileTheDiskIsFullIsWrittenOnce) {
  log_.Load();
  Batch batch;
  disk_.set_full(true);
  for (std::size_t n = 0; n < 3; ++n) {
    batch.insert(batch.end(), Batches()[n].begin(), Batches()[n].end());
    EXPECT_THROW(log_.Write(batch), Error);
  }
  disk_.set_full(false);
  log_.Write(batch);
  EXPECT_EQ(DescribeCopy(folder_.path()), States()[3]);
}

// Guards against a process that ends at its start since an incomplete record cannot be
// cut off.
TEST_P(FullDiskTest, AnInstanceStartsWhileItsDiskIsFull) {
  TemporaryFolder folder;
  {
    FileLog log(folder.path(), &disk_);
    log.Load();
    log.Write(Batches()[0]);
    disk_.set_full(true);
    EXPECT_THROW(log.Write(Batches()[1]), Error);
  }
  FileLog log(folder.path(), &disk_);
  EXPECT_EQ(Describe(log.Load()), States()[1]);
  EXPECT_THROW(log.Write(Batches()[1]), Error);
  disk_.set_full(false);
  log.Write(Batches()[1]);
  EXPECT_EQ(DescribeCopy(folder.path()), States()[2]);
}

// Guards against a record that is acknowledged after a restart, and lost with the power:
// the process ended between the write and its sync, or the sync had failed.
TEST_P(FullDiskTest, ARecordWithoutItsSyncIsMadeDurableAtTheStart) {
  TemporaryFolder folder;
  {
    FileLog log(folder.path(), &disk_);
    log.Load();
    log.Write(Batches()[0]);
    disk_.RefuseLater(1, 1);
    EXPECT_THROW(log.Write(Batches()[1]), Error) << "the sync";
  }
  const int before = disk_.file_syncs();
  EXPECT_EQ(Describe(FileLog(folder.path(), &disk_).Load()), States()[2]);
  EXPECT_GE(disk_.file_syncs(), before + 2) << "a new journal and its folder";
  EXPECT_EQ(DescribeCopy(folder.path()), States()[2]);
  const int after = disk_.file_syncs();
  EXPECT_EQ(Describe(FileLog(folder.path(), &disk_).Load()), States()[2]);
  EXPECT_EQ(disk_.file_syncs(), after) << "once";
}

INSTANTIATE_TEST_SUITE_P(WritesPart, FullDiskTest, ::testing::Bool());

}  // namespace
}  // namespace quetzal::testing
