#ifndef QUETZAL_TESTS_AGREEMENT_FAULTY_DISK_H_
#define QUETZAL_TESTS_AGREEMENT_FAULTY_DISK_H_

#include <atomic>
#include <cerrno>
#include <cstddef>

#include "plugins/log_file/disk_calls.h"

namespace quetzal::testing {

/// The calls of a disk that is full at times. It refuses all calls that need room or, as
/// some file systems do, give it back.
class FaultyDisk final : public DiskCalls {
 public:
  int Create(const char* path) override {
    return Refuses() ? -1 : DiskCalls::Create(path);
  }
  ssize_t Write(int fd, const void* bytes, std::size_t size, off_t offset) override {
    if (!Refuses()) return DiskCalls::Write(fd, bytes, size, offset);
    // The first refused call may have written a part.
    if (writes_part_) DiskCalls::Write(fd, bytes, size / 2, offset);
    errno = ENOSPC;
    return -1;
  }
  int Sync(int fd) override {
    if (Refuses()) return -1;
    ++file_syncs_;
    return DiskCalls::Sync(fd);
  }
  int SyncData(int fd) override { return Refuses() ? -1 : DiskCalls::SyncData(fd); }
  int Truncate(int fd, off_t size) override {
    return Refuses() ? -1 : DiskCalls::Truncate(fd, size);
  }
  int Rename(const char* from, const char* to) override {
    return Refuses() ? -1 : DiskCalls::Rename(from, to);
  }

  void set_full(bool full) { full_ = full; }
  void set_writes_part(bool writes_part) { writes_part_ = writes_part; }

  /// Refuses `count` calls, after the next `after` ones.
  void RefuseLater(int after, int count) {
    calls_ = 0;
    first_ = after;
    last_ = after + count;
  }
  int calls() const { return calls_; }
  int file_syncs() const { return file_syncs_; }  ///< Of new files and folders.

 private:
  bool Refuses() {
    const int call = calls_++;
    const bool refuses = full_ || (call >= first_ && call < last_);
    if (refuses) errno = ENOSPC;
    return refuses;
  }

  std::atomic<bool> full_{false};
  std::atomic<bool> writes_part_{false};
  std::atomic<int> calls_{0};
  std::atomic<int> first_{0};
  std::atomic<int> last_{0};
  std::atomic<int> file_syncs_{0};
};

}  // namespace quetzal::testing

#endif  // QUETZAL_TESTS_AGREEMENT_FAULTY_DISK_H_
