#ifndef QUETZAL_NODE_SERVER_INTERFACE_H_
#define QUETZAL_NODE_SERVER_INTERFACE_H_

#include <functional>

#include "kernel/plugin_registry.h"
#include "net/admin_server.h"
#include "node/backend_server_watch.h"

namespace quetzal {

/// A form in which backend servers announce themselves to their node, and in which it is
/// asked whether it takes callers. It decodes and encodes; the node decides.
class ServerInterface {
 public:
  virtual ~ServerInterface() = default;

  /// May be called on several threads at once.
  virtual void HandleServer(const AdminRequest& request, const AdminReply& reply) = 0;
  virtual void HandleReadiness(const AdminRequest& request, const AdminReply& reply) = 0;
};

/// What a server interface works with; all of it outlives the interface.
struct ServerInterfaceDependencies {
  BackendServerWatch* backend = nullptr;
  std::string service;             ///< The only one that may be announced.
  std::function<bool()> is_ready;  ///< Whether the node takes callers.
};

/// Server interfaces by name.
using ServerInterfaceRegistry =
    PluginRegistry<ServerInterface, const ServerInterfaceDependencies&>;

}  // namespace quetzal

#endif  // QUETZAL_NODE_SERVER_INTERFACE_H_
