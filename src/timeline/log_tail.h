#ifndef QUETZAL_TIMELINE_LOG_TAIL_H_
#define QUETZAL_TIMELINE_LOG_TAIL_H_

#include <fstream>
#include <string>
#include <utility>
#include <vector>

namespace quetzal {

/// Reads the complete lines of a file that another process may still append to.
class LogTail {
 public:
  explicit LogTail(std::string path) : path_(std::move(path)) {}

  /// Returns the lines completed since the last call; none while the file does not exist.
  std::vector<std::string> NewLines();

  const std::string& path() const { return path_; }
  bool opened() const { return file_.is_open(); }

 private:
  std::string path_;
  std::ifstream file_;
  std::string partial_;
};

}  // namespace quetzal

#endif  // QUETZAL_TIMELINE_LOG_TAIL_H_
