#ifndef QUETZAL_CONTROL_ORDER_INTERFACE_H_
#define QUETZAL_CONTROL_ORDER_INTERFACE_H_

#include "control/order_service.h"
#include "kernel/plugin_registry.h"
#include "net/admin_server.h"

namespace quetzal {

/// A protocol in which operators submit orders and read the current one. It only decodes
/// and encodes; OrderService accepts or refuses the orders.
class OrderInterface {
 public:
  virtual ~OrderInterface() = default;

  /// May be called on several threads at once.
  virtual void Handle(const AdminRequest& request, const AdminReply& reply) = 0;
};

/// Order interfaces by name; the service outlives the interface.
using OrderInterfaceRegistry = PluginRegistry<OrderInterface, OrderService*>;

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_ORDER_INTERFACE_H_
