#ifndef QUETZAL_NET_DATAGRAM_H_
#define QUETZAL_NET_DATAGRAM_H_

#include <functional>
#include <string>

#include "base/settings.h"
#include "kernel/plugin_registry.h"
#include "kernel/runtime.h"

namespace quetzal {

/// Sends and receives UDP datagrams. Delivery is not guaranteed.
class DatagramSocket {
 public:
  using Receiver = std::function<void(const Endpoint& from, std::string bytes)>;

  virtual ~DatagramSocket() = default;

  /// Returns the bound address; port 0 selects a free port. Throws Error(kPortTaken).
  virtual Endpoint Bind(const Endpoint& endpoint, Receiver receiver) = 0;
  virtual void Send(const Endpoint& to, std::string bytes) = 0;
};

/// Datagram sockets by name. The runtime must outlive the socket and be stopped before
/// the socket is destroyed.
using DatagramSocketRegistry = PluginRegistry<DatagramSocket, Runtime*>;

}  // namespace quetzal

#endif  // QUETZAL_NET_DATAGRAM_H_
