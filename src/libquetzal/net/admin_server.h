#ifndef QUETZAL_NET_ADMIN_SERVER_H_
#define QUETZAL_NET_ADMIN_SERVER_H_

#include <functional>
#include <map>
#include <string>

#include "base/settings.h"
#include "kernel/plugin_registry.h"
#include "kernel/runtime.h"

namespace quetzal {

/// A request to the admin interface: operators' requests, announcements of backend
/// servers and metrics.
struct AdminRequest {
  std::string method;
  std::string path;  ///< Without the query, decoded.
  std::map<std::string, std::string> query;
  std::string body;
};

struct AdminResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

/// Must be called exactly once; any thread may call it.
using AdminReply = std::function<void(AdminResponse)>;

/// May be called on several threads at once.
using AdminHandler = std::function<void(const AdminRequest& request, AdminReply reply)>;

/// HTTP server of the admin interface.
class AdminServer {
 public:
  virtual ~AdminServer() = default;

  /// Returns the bound address; port 0 selects a free port. Throws Error(kPortTaken).
  virtual Endpoint Listen(const Endpoint& endpoint, AdminHandler handler) = 0;

  /// Stops accepting requests and waits for those in progress.
  virtual void Stop() = 0;
};

/// Admin servers by name. The runtime must outlive the server and be stopped before the
/// server is destroyed.
using AdminServerRegistry = PluginRegistry<AdminServer, Runtime*>;

}  // namespace quetzal

#endif  // QUETZAL_NET_ADMIN_SERVER_H_
