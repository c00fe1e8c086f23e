#include "timeline/log_tail.h"

namespace quetzal {

std::vector<std::string> LogTail::NewLines() {
  std::vector<std::string> lines;
  if (!file_.is_open()) file_.open(path_);
  if (!file_.is_open()) return lines;
  file_.clear();
  char buf[16384];
  do {
    file_.read(buf, sizeof(buf));
    partial_.append(buf, static_cast<std::size_t>(file_.gcount()));
  } while (file_.gcount() > 0);
  std::size_t begin = 0;
  for (std::size_t end = partial_.find('\n'); end != std::string::npos;
       end = partial_.find('\n', begin)) {
    lines.push_back(partial_.substr(begin, end - begin));
    begin = end + 1;
  }
  partial_.erase(0, begin);
  return lines;
}

}  // namespace quetzal
