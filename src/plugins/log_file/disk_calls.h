#ifndef QUETZAL_PLUGINS_LOG_FILE_DISK_CALLS_H_
#define QUETZAL_PLUGINS_LOG_FILE_DISK_CALLS_H_

#include <sys/types.h>

#include <cstddef>

namespace quetzal {

/// The system calls that a full or faulty disk may refuse. Each returns -1 and sets errno
/// on failure.
class DiskCalls {
 public:
  virtual ~DiskCalls() = default;

  virtual int Create(const char* path);  ///< Opens an empty file for writing.
  virtual ssize_t Write(int fd, const void* bytes, std::size_t size, off_t offset);
  virtual int Sync(int fd);
  virtual int SyncData(int fd);
  virtual int Truncate(int fd, off_t size);
  virtual int Rename(const char* from, const char* to);

  static DiskCalls* System();
};

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_LOG_FILE_DISK_CALLS_H_
