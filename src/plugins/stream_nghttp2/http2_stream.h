#ifndef QUETZAL_PLUGINS_STREAM_NGHTTP2_HTTP2_STREAM_H_
#define QUETZAL_PLUGINS_STREAM_NGHTTP2_HTTP2_STREAM_H_

#include <cstdint>
#include <memory>
#include <string>

#include "net/queued_stream.h"
#include "plugins/stream_nghttp2/http2_options.h"

namespace quetzal {

/// One stream of an HTTP/2 connection. Its members are used on the connection's strand
/// only.
class Http2Stream final : public QueuedStream {
 public:
  explicit Http2Stream(const Http2Options& options)
      : QueuedStream(options.max_buffered_bytes, options.low_mark_bytes) {}

  std::shared_ptr<StreamHandler> handler;
  std::string path;
  StreamHeaders headers;  ///< To send on an opened stream; else received ones.
  std::size_t header_bytes = 0;
  std::size_t unconsumed_bytes = 0;  ///< Received, not yet consumed.
  std::int32_t id = -1;
  int attempts = 0;
  bool accepted = false;
  bool request_ended = false;  ///< The request has no body.
  bool answered = false;       ///< The answer's headers were submitted.
  bool headers_sent = false;
  bool awaits_answer = false;  ///< Received an interim answer; the final one follows.
  bool deferred = false;       ///< nghttp2 waits for more body bytes.
  bool end_sent = false;
  bool end_received = false;
  bool done = false;  ///< The handler gets no further calls.
};

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_STREAM_NGHTTP2_HTTP2_STREAM_H_
