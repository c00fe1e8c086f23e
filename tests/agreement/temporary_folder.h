#ifndef QUETZAL_TESTS_AGREEMENT_TEMPORARY_FOLDER_H_
#define QUETZAL_TESTS_AGREEMENT_TEMPORARY_FOLDER_H_

#include <stdlib.h>

#include <filesystem>
#include <string>

namespace quetzal::testing {

/// An empty folder, removed on destruction.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string pattern = std::filesystem::temp_directory_path() / "quetzal-XXXXXX";
    path_ = mkdtemp(pattern.data());
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace quetzal::testing

#endif  // QUETZAL_TESTS_AGREEMENT_TEMPORARY_FOLDER_H_
