#ifndef QUETZAL_PLUGINS_STREAM_NGHTTP2_HTTP2_OPTIONS_H_
#define QUETZAL_PLUGINS_STREAM_NGHTTP2_HTTP2_OPTIONS_H_

#include <cstddef>
#include <cstdint>

#include "base/clock.h"

namespace quetzal {

/// Limits of the HTTP/2 transport.
struct Http2Options {
  Duration connect_timeout = std::chrono::milliseconds(800);

  /// Silence on a connection with open streams after which a ping is sent.
  Duration ping_after = std::chrono::milliseconds(700);

  /// Silence after a ping that counts as a lost connection.
  Duration ping_timeout = std::chrono::milliseconds(1500);

  /// Time without streams after which an opened connection is closed.
  Duration idle_timeout = std::chrono::seconds(30);

  std::size_t max_pooled_peers = 64;
  std::size_t max_accepted_connections = 512;
  std::uint32_t max_concurrent_streams = 256;
  std::uint32_t stream_window_bytes = 64 * 1024;
  std::size_t max_header_bytes = 64UL * 1024;

  /// Received bytes of all connections that may wait for Stream::Consume before
  /// connections stop giving credit.
  std::size_t max_held_bytes = 4UL * 1024 * 1024;

  /// A stream with more than this waiting to leave is cut with kOverloaded at the next
  /// SendData.
  std::size_t max_buffered_bytes = 1024UL * 1024;
  std::size_t low_mark_bytes = 64UL * 1024;
};

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_STREAM_NGHTTP2_HTTP2_OPTIONS_H_
