#ifndef QUETZAL_NODE_SERVER_INTERFACE_H_
#define QUETZAL_NODE_SERVER_INTERFACE_H_

#include <functional>

#include "kernel/plugin_registry.h"
#include "net/admin_server.h"
#include "node/server_reports.h"

namespace quetzal {

/// A protocol in which a backend server announces itself to its node, and in which
/// clients ask whether the node accepts callers. It only decodes and encodes; the node
/// decides.
class ServerInterface {
 public:
  virtual ~ServerInterface() = default;

  /// May be called on several threads at once.
  virtual void HandleServer(const AdminRequest& request, const AdminReply& reply) = 0;
  virtual void HandleReadiness(const AdminRequest& request, const AdminReply& reply) = 0;
};

/// Dependencies of a server interface, which they outlive.
struct ServerInterfaceDependencies {
  ServerReports* reports = nullptr;
  std::string service;             ///< The only service that may be announced.
  std::function<bool()> is_ready;  ///< Whether the node accepts callers.
};

/// Server interfaces by name.
using ServerInterfaceRegistry =
    PluginRegistry<ServerInterface, const ServerInterfaceDependencies&>;

}  // namespace quetzal

#endif  // QUETZAL_NODE_SERVER_INTERFACE_H_
