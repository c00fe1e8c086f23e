#ifndef QUETZAL_PLUGINS_LOG_FILE_DATA_FOLDER_H_
#define QUETZAL_PLUGINS_LOG_FILE_DATA_FOLDER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "plugins/log_file/disk_calls.h"

namespace quetzal {

/// Owns a file descriptor and closes it on destruction.
class FileHandle {
 public:
  FileHandle() = default;
  explicit FileHandle(int fd) : fd_(fd) {}
  ~FileHandle();
  FileHandle(FileHandle&& other) noexcept;
  FileHandle& operator=(FileHandle&& other) noexcept;

  int fd() const { return fd_; }

 private:
  int fd_ = -1;
};

/// A locked folder with atomic file replacement: after a crash a file has either its old
/// or its new content. Failures throw Error(kDiskFull) when the disk is full, otherwise
/// Error(kDiskFailed).
class DataFolder {
 public:
  /// Throws Error(kFolderMissing) when the folder cannot be used or another process has
  /// locked it.
  explicit DataFolder(std::string path, DiskCalls* calls = DiskCalls::System());

  std::vector<std::string> FileNames() const;
  bool Exists(const std::string& name) const;
  std::string Read(const std::string& name) const;

  /// Replaces a file atomically: writes and syncs a temporary file, renames it and syncs
  /// the folder. After a failure the file has its old or its new content.
  void Replace(const std::string& name, std::string_view bytes);
  void Remove(const std::string& name);

  /// Opens an existing file for writing.
  FileHandle Open(const std::string& name) const;
  std::string PathOf(const std::string& name) const { return path_ + "/" + name; }

  /// Writes all of `bytes` at `offset` of a file; `name` appears in error texts, here and
  /// below.
  void WriteAt(const FileHandle& file, std::uint64_t offset, std::string_view bytes,
               const std::string& name) const;
  void SyncData(const FileHandle& file, const std::string& name) const;
  void Truncate(const FileHandle& file, std::uint64_t size,
                const std::string& name) const;

 private:
  std::string path_;
  DiskCalls* calls_;
  FileHandle folder_;
  FileHandle lock_;
};

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_LOG_FILE_DATA_FOLDER_H_
