#ifndef QUETZAL_CALLS_REQUEST_BODY_H_
#define QUETZAL_CALLS_REQUEST_BODY_H_

#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "net/stream.h"

namespace quetzal {

/// Forwards the body of a caller's request to an attempt. A body up to a limit is kept,
/// so that another attempt can resend it. Beyond the limit only one attempt is possible,
/// and flow control slows the caller to the speed of that attempt.
class RequestBody {
 public:
  RequestBody(std::size_t keep_limit, std::shared_ptr<Stream> caller)
      : keep_limit_(keep_limit), caller_(std::move(caller)) {}

  void Append(std::string bytes, Stream* attempt);
  void End(Stream* attempt);

  /// Sends the bytes received so far to a new attempt. A stream for an empty body that
  /// has ended must be opened with its end set.
  void SendKept(Stream* attempt);

  /// Returns flow-control credit to the caller for bytes that were sent on or are kept.
  void ReturnCredit(const Stream* attempt);

  /// Releases the caller's stream.
  void Close() { caller_.reset(); }

  /// Must be called before the first byte.
  void set_keep_limit(std::size_t keep_limit) { keep_limit_ = keep_limit; }

  bool ended() const { return ended_; }
  bool replayable() const { return replayable_; }
  bool empty() const { return size_ == 0; }

  /// The chunks kept; the complete body once it has ended and is replayable.
  const std::vector<std::string>& kept() const { return kept_; }

 private:
  std::size_t keep_limit_;
  std::shared_ptr<Stream> caller_;
  std::vector<std::string> kept_;
  std::size_t size_ = 0;
  std::size_t withheld_credit_ = 0;  ///< Bytes whose credit is not returned yet.
  bool ended_ = false;
  bool replayable_ = true;
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_REQUEST_BODY_H_
