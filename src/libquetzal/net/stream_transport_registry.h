#ifndef QUETZAL_NET_STREAM_TRANSPORT_REGISTRY_H_
#define QUETZAL_NET_STREAM_TRANSPORT_REGISTRY_H_

#include <cstddef>
#include <optional>

#include "base/clock.h"
#include "kernel/plugin_registry.h"
#include "kernel/runtime.h"
#include "net/stream.h"

namespace quetzal {

/// Limits that a program sets for a transport; what is not set keeps the transport's own.
struct StreamTransportOptions {
  std::optional<std::size_t> max_accepted_connections;

  /// Time for the whole head of a request; of no effect where heads come in one frame.
  std::optional<Duration> head_timeout;

  /// A caller that ends its side amid an exchange has gone; of HTTP/1.1 only.
  std::optional<bool> half_close_cancels;
};

/// Transports by name. The runtime must outlive the transport and be stopped before it is
/// destroyed.
using StreamTransportRegistry =
    PluginRegistry<StreamTransport, Runtime*, const StreamTransportOptions&>;

}  // namespace quetzal

#endif  // QUETZAL_NET_STREAM_TRANSPORT_REGISTRY_H_
