#ifndef QUETZAL_PLUGINS_STREAM_NGHTTP2_HTTP2_STREAM_H_
#define QUETZAL_PLUGINS_STREAM_NGHTTP2_HTTP2_STREAM_H_

#include <cstdint>
#include <memory>
#include <string>

#include "net/queued_stream.h"
#include "plugins/stream_nghttp2/http2_options.h"

namespace quetzal {

/// One stream of an HTTP/2 connection. Its members belong to the connection's strand.
class Http2Stream final : public QueuedStream {
 public:
  explicit Http2Stream(const Http2Options& options)
      : QueuedStream(options.max_buffered_bytes, options.low_mark_bytes) {}

  std::shared_ptr<StreamHandler> handler;
  std::string path;
  StreamHeaders headers;  ///< The request's on an opened stream, else those received.
  std::size_t header_bytes = 0;
  std::size_t held_bytes = 0;  ///< Received and not consumed.
  std::int32_t id = -1;
  int attempts = 0;
  bool accepted = false;
  bool request_ended = false;  ///< The request has no body.
  bool answered = false;       ///< The answer's headers were submitted.
  bool headers_sent = false;
  bool awaits_answer = false;  ///< Interim headers came; those of the answer follow.
  bool deferred = false;
  bool end_sent = false;
  bool end_received = false;
  bool dead = false;  ///< The handler hears no more.
};

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_STREAM_NGHTTP2_HTTP2_STREAM_H_
