#ifndef QUETZAL_PLUGINS_DATAGRAM_ASIO_ASIO_DATAGRAM_SOCKET_H_
#define QUETZAL_PLUGINS_DATAGRAM_ASIO_ASIO_DATAGRAM_SOCKET_H_

#include <memory>
#include <string>

#include "net/datagram.h"
#include "plugins/runtime_asio/worker_pool.h"

namespace quetzal {

/// UDP socket on Boost.Asio. The receiver is called on the socket's strand. Send is safe
/// from any thread and drops the datagram when the send buffer is full.
class AsioDatagramSocket final : public DatagramSocket {
 public:
  explicit AsioDatagramSocket(WorkerPool* workers);
  ~AsioDatagramSocket() override;

  Endpoint Bind(const Endpoint& endpoint, Receiver receiver) override;
  void Send(const Endpoint& to, std::string bytes) override;

 private:
  class Socket;

  std::shared_ptr<Socket> socket_;
};

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_DATAGRAM_ASIO_ASIO_DATAGRAM_SOCKET_H_
