#ifndef QUETZAL_PLUGINS_ADMIN_CPPREST_CPPREST_ADMIN_SERVER_H_
#define QUETZAL_PLUGINS_ADMIN_CPPREST_CPPREST_ADMIN_SERVER_H_

#include <memory>

#include "net/admin_server.h"

namespace quetzal {

/// Admin server that uses the HTTP listener of cpprestsdk.
class CpprestAdminServer final : public AdminServer {
 public:
  CpprestAdminServer();
  ~CpprestAdminServer() override;

  Endpoint Listen(const Endpoint& endpoint, AdminHandler handler) override;
  void Stop() override;

 private:
  class Listener;
  std::unique_ptr<Listener> listener_;
};

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_ADMIN_CPPREST_CPPREST_ADMIN_SERVER_H_
