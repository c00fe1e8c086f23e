#ifndef QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_OPTIONS_H_
#define QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_OPTIONS_H_

#include <cstddef>

#include "base/clock.h"

namespace quetzal {

/// Limits of the HTTP/1.1 transport.
struct Http1Options {
  Duration connect_timeout = std::chrono::seconds(2);

  /// Time to receive the request line and header fields, from the first byte.
  Duration head_timeout = std::chrono::seconds(10);

  /// Time without progress while a request body is being received or an answer is being
  /// sent.
  Duration stall_timeout = std::chrono::seconds(30);

  /// Time after which an accepted connection without a request is closed.
  Duration keep_alive_timeout = std::chrono::seconds(60);

  /// Time that an idle opened connection is kept for reuse.
  Duration idle_timeout = std::chrono::seconds(15);

  /// True when a caller that shuts down its sending side before it has the answer counts
  /// as disconnected, so that its request is cancelled. Else it still gets the answer.
  bool half_close_cancels = false;

  std::size_t max_accepted_connections = 2048;
  std::size_t max_connections_per_peer = 512;
  std::size_t max_idle_per_peer = 32;
  std::size_t max_head_bytes = 16UL * 1024;
  std::size_t max_fields = 128;

  /// Received body bytes that may wait for Stream::Consume.
  std::size_t window_bytes = 64UL * 1024;

  /// The next SendData on a stream with more unsent bytes resets it with kOverloaded.
  std::size_t max_buffered_bytes = 1024UL * 1024;
  std::size_t low_mark_bytes = 64UL * 1024;
};

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_OPTIONS_H_
