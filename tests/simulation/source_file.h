#ifndef QUETZAL_TESTS_SIMULATION_SOURCE_FILE_H_
#define QUETZAL_TESTS_SIMULATION_SOURCE_FILE_H_

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>

#include <gtest/gtest.h>

namespace quetzal {

/// Absolute path of a file of the repository.
inline std::string SourcePath(const std::string& path) {
  return std::string(QUETZAL_SOURCE_DIR) + "/" + path;
}

/// Bytes of a file of the repository; empty when there is none.
inline std::string ReadSourceFile(const std::string& path) {
  std::ifstream file(SourcePath(path), std::ios::binary);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

/// Compares `text` with the golden file at `path`. When the environment variable
/// QUETZAL_WRITE_GOLDEN is set, writes the file first.
inline void ExpectGolden(const std::string& path, const std::string& text) {
  if (std::getenv("QUETZAL_WRITE_GOLDEN") != nullptr) {  // NOLINT(concurrency-mt-unsafe)
    std::ofstream(SourcePath(path), std::ios::binary) << text;
  }
  EXPECT_EQ(text, ReadSourceFile(path)) << path;
}

}  // namespace quetzal

#endif  // QUETZAL_TESTS_SIMULATION_SOURCE_FILE_H_
