#ifndef QUETZAL_PLUGINS_ADMIN_HTTP1_HTTP1_ADMIN_SERVER_H_
#define QUETZAL_PLUGINS_ADMIN_HTTP1_HTTP1_ADMIN_SERVER_H_

#include <memory>

#include "kernel/runtime.h"
#include "net/admin_server.h"
#include "net/stream.h"

namespace quetzal {

/// Admin server over the HTTP/1.1 transport. Bounds what it keeps of requests, whatever
/// their senders do: the head, the body, the bodies of all requests together and the
/// number of connections.
class Http1AdminServer final : public AdminServer {
 public:
  /// `runtime` must outlive the server and be stopped before it is destroyed.
  explicit Http1AdminServer(Runtime* runtime);
  ~Http1AdminServer() override;

  Endpoint Listen(const Endpoint& endpoint, AdminHandler handler) override;
  void Stop() override;

 private:
  class Requests;
  class Request;

  std::unique_ptr<StreamTransport> transport_;
  std::shared_ptr<Requests> requests_;
};

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_ADMIN_HTTP1_HTTP1_ADMIN_SERVER_H_
