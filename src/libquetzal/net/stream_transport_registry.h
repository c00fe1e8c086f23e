#ifndef QUETZAL_NET_STREAM_TRANSPORT_REGISTRY_H_
#define QUETZAL_NET_STREAM_TRANSPORT_REGISTRY_H_

#include <cstddef>
#include <optional>

#include "base/clock.h"
#include "kernel/plugin_registry.h"
#include "kernel/runtime.h"
#include "net/stream.h"

namespace quetzal {

/// Limits that a program sets for a transport; an unset limit keeps the transport's
/// default.
struct StreamTransportOptions {
  std::optional<std::size_t> max_accepted_connections;

  /// Time limit for receiving the whole head of a request. Has no effect in protocols
  /// that send the head in one frame.
  std::optional<Duration> head_timeout;

  /// HTTP/1.1 only: true when a caller that shuts down its sending side before it has the
  /// answer counts as disconnected, so that its request is cancelled.
  std::optional<bool> half_close_cancels;
};

/// Transports by name. The runtime must outlive the transport and be stopped before the
/// transport is destroyed.
using StreamTransportRegistry =
    PluginRegistry<StreamTransport, Runtime*, const StreamTransportOptions&>;

}  // namespace quetzal

#endif  // QUETZAL_NET_STREAM_TRANSPORT_REGISTRY_H_
