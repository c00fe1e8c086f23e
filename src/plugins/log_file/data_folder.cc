#include "plugins/log_file/data_folder.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>
#include <utility>

#include "base/result_code.h"

namespace quetzal {
namespace {

constexpr char kTemporarySuffix[] = ".tmp";
constexpr char kLockName[] = "lock";
constexpr mode_t kFileMode = 0640;

[[noreturn]] void ThrowDiskError(const std::string& action, int error_number) {
  const bool full =
      error_number == ENOSPC || error_number == EDQUOT || error_number == EFBIG;
  throw Error(full ? ResultCode::kDiskFull : ResultCode::kDiskFailed,
              action + ": " + std::generic_category().message(error_number));
}

}  // namespace

FileHandle::~FileHandle() {
  if (fd_ >= 0) close(fd_);
}

FileHandle::FileHandle(FileHandle&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}

FileHandle& FileHandle::operator=(FileHandle&& other) noexcept {
  std::swap(fd_, other.fd_);
  return *this;
}

DataFolder::DataFolder(std::string path, DiskCalls* calls)
    : path_(std::move(path)),
      calls_(calls),
      folder_(open(path_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC)) {
  if (folder_.fd() < 0) {
    throw Error(ResultCode::kFolderMissing, "cannot open the folder " + path_);
  }
  lock_ = FileHandle(
      open(PathOf(kLockName).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode));
  if (lock_.fd() < 0) {
    throw Error(ResultCode::kFolderMissing, "cannot write into the folder " + path_);
  }
  if (flock(lock_.fd(), LOCK_EX | LOCK_NB) != 0) {
    throw Error(ResultCode::kFolderMissing, "another process uses the folder " + path_);
  }
}

std::vector<std::string> DataFolder::FileNames() const {
  std::vector<std::string> names;
  for (const auto& it : std::filesystem::directory_iterator(path_)) {
    if (it.is_regular_file()) names.push_back(it.path().filename().string());
  }
  return names;
}

bool DataFolder::Exists(const std::string& name) const {
  return std::filesystem::exists(PathOf(name));
}

std::string DataFolder::Read(const std::string& name) const {
  std::ifstream file(PathOf(name), std::ios::binary);
  std::string bytes{std::istreambuf_iterator<char>(file), {}};
  if (!file.good() && !file.eof()) ThrowDiskError("cannot read " + PathOf(name), EIO);
  return bytes;
}

void DataFolder::Replace(const std::string& name, std::string_view bytes) {
  const std::string temporary = PathOf(name + kTemporarySuffix);
  try {
    FileHandle file(calls_->Create(temporary.c_str()));
    if (file.fd() < 0) ThrowDiskError("cannot create " + temporary, errno);
    WriteAt(file, 0, bytes, temporary);
    if (calls_->Sync(file.fd()) != 0) ThrowDiskError("cannot sync " + temporary, errno);
    if (calls_->Rename(temporary.c_str(), PathOf(name).c_str()) != 0) {
      ThrowDiskError("cannot rename to " + PathOf(name), errno);
    }
  } catch (const Error&) {
    unlink(temporary.c_str());
    throw;
  }
  if (calls_->Sync(folder_.fd()) != 0) {
    ThrowDiskError("cannot sync the folder " + path_, errno);
  }
}

void DataFolder::Remove(const std::string& name) { unlink(PathOf(name).c_str()); }

FileHandle DataFolder::Open(const std::string& name) const {
  FileHandle file(open(PathOf(name).c_str(), O_WRONLY | O_CLOEXEC));
  if (file.fd() < 0) ThrowDiskError("cannot open " + PathOf(name), errno);
  return file;
}

void DataFolder::WriteAt(const FileHandle& file, std::uint64_t offset,
                         std::string_view bytes, const std::string& name) const {
  while (!bytes.empty()) {
    const ssize_t n =
        calls_->Write(file.fd(), bytes.data(), bytes.size(), static_cast<off_t>(offset));
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) ThrowDiskError("cannot write " + name, errno);
    bytes.remove_prefix(static_cast<std::size_t>(n));
    offset += static_cast<std::uint64_t>(n);
  }
}

void DataFolder::SyncData(const FileHandle& file, const std::string& name) const {
  if (calls_->SyncData(file.fd()) != 0) ThrowDiskError("cannot sync " + name, errno);
}

void DataFolder::Truncate(const FileHandle& file, std::uint64_t size,
                          const std::string& name) const {
  if (calls_->Truncate(file.fd(), static_cast<off_t>(size)) != 0) {
    ThrowDiskError("cannot truncate " + name, errno);
  }
}

}  // namespace quetzal
