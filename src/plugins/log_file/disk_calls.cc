#include "plugins/log_file/disk_calls.h"

#include <fcntl.h>
#include <unistd.h>

#include <cstdio>

namespace quetzal {
namespace {

constexpr mode_t kFileMode = 0640;

}  // namespace

int DiskCalls::Create(const char* path) {
  return open(path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode);
}

ssize_t DiskCalls::Write(int fd, const void* bytes, std::size_t size, off_t offset) {
  return pwrite(fd, bytes, size, offset);
}

int DiskCalls::Sync(int fd) { return fsync(fd); }

int DiskCalls::SyncData(int fd) { return fdatasync(fd); }

int DiskCalls::Truncate(int fd, off_t size) { return ftruncate(fd, size); }

int DiskCalls::Rename(const char* from, const char* to) { return rename(from, to); }

DiskCalls* DiskCalls::System() {
  static DiskCalls calls;
  return &calls;
}

}  // namespace quetzal
