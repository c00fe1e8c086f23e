#ifndef QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_OPTIONS_H_
#define QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_OPTIONS_H_

#include <cstddef>

#include "base/clock.h"

namespace quetzal {

/// Limits of the HTTP/1.1 transport.
struct Http1Options {
  Duration connect_timeout = std::chrono::seconds(2);

  /// Time for the whole head of a request, from its first byte.
  Duration head_timeout = std::chrono::seconds(10);

  /// Time without a byte while the body of a request is awaited, or while the caller
  /// takes nothing of its answer.
  Duration stall_timeout = std::chrono::seconds(30);

  /// Time that an accepted connection may wait for its next request.
  Duration keep_alive_timeout = std::chrono::seconds(60);

  /// Time that an opened connection is kept for reuse.
  Duration idle_timeout = std::chrono::seconds(15);

  /// What a caller means that ends its side amid an exchange: false: it still reads the
  /// answer; true: it has gone.
  bool half_close_cancels = false;

  std::size_t max_accepted_connections = 2048;
  std::size_t max_connections_per_peer = 512;
  std::size_t max_idle_per_peer = 32;
  std::size_t max_head_bytes = 16UL * 1024;
  std::size_t max_fields = 128;

  /// Bytes of a body that may wait for Stream::Consume.
  std::size_t window_bytes = 64UL * 1024;

  /// A stream with more than this waiting to leave is cut with kOverloaded at the next
  /// SendData.
  std::size_t max_buffered_bytes = 1024UL * 1024;
  std::size_t low_mark_bytes = 64UL * 1024;
};

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_OPTIONS_H_
