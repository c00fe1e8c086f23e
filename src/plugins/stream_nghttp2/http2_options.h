#ifndef QUETZAL_PLUGINS_STREAM_NGHTTP2_HTTP2_OPTIONS_H_
#define QUETZAL_PLUGINS_STREAM_NGHTTP2_HTTP2_OPTIONS_H_

#include <cstddef>
#include <cstdint>

#include "base/clock.h"

namespace quetzal {

/// Limits of the HTTP/2 transport.
struct Http2Options {
  Duration connect_timeout = std::chrono::milliseconds(800);

  /// Time without received bytes after which a connection with open streams sends a ping.
  Duration ping_after = std::chrono::milliseconds(700);

  /// Time without received bytes after a ping until the connection counts as lost.
  Duration ping_timeout = std::chrono::milliseconds(1500);

  /// Time without streams after which an opened connection is closed.
  Duration idle_timeout = std::chrono::seconds(30);

  std::size_t max_pooled_peers = 64;
  std::size_t max_accepted_connections = 512;
  std::uint32_t max_concurrent_streams = 256;
  std::uint32_t stream_window_bytes = 64 * 1024;
  std::size_t max_header_bytes = 64UL * 1024;

  /// Received bytes of all connections that may wait for Stream::Consume. Above it,
  /// connections no longer return connection-level credit at once.
  std::size_t max_unconsumed_bytes = 4UL * 1024 * 1024;

  /// The next SendData on a stream with more unsent bytes resets it with kOverloaded.
  std::size_t max_buffered_bytes = 1024UL * 1024;
  std::size_t low_mark_bytes = 64UL * 1024;
};

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_STREAM_NGHTTP2_HTTP2_OPTIONS_H_
