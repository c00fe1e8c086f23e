#ifndef QUETZAL_CALLS_LOCAL_STREAM_H_
#define QUETZAL_CALLS_LOCAL_STREAM_H_

#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "net/stream.h"

namespace quetzal {

/// Streams between two parts of the same process. Bytes are passed from one handler to
/// the other without a copy. Safe for use from several threads.
class LocalStreams {
 public:
  ~LocalStreams() { CloseAll(); }

  /// Opens a stream to an acceptor of the same process. Returns null when the acceptor
  /// refuses.
  std::shared_ptr<Stream> Open(const StreamAcceptor& acceptor, const std::string& path,
                               const StreamHeaders& headers, bool end,
                               const std::shared_ptr<StreamHandler>& handler);

  /// Releases the handlers of all open streams without calling them.
  void CloseAll();

 private:
  struct Pair;
  class Side;
  class Local;

  void Track(const std::shared_ptr<Pair>& pair);

  std::mutex mutex_;
  std::vector<std::weak_ptr<Pair>> open_;
  std::size_t prune_at_ = 0;  ///< Size of open_ at which ended streams are removed.
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_LOCAL_STREAM_H_
