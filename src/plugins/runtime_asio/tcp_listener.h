#ifndef QUETZAL_PLUGINS_RUNTIME_ASIO_TCP_LISTENER_H_
#define QUETZAL_PLUGINS_RUNTIME_ASIO_TCP_LISTENER_H_

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "base/settings.h"

namespace quetzal {

/// Accepts TCP connections until it is closed. Each connection gets its own strand.
class TcpListener : public std::enable_shared_from_this<TcpListener> {
 public:
  using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;
  using Socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, Strand>;
  using ConnectionHandler = std::function<void(Socket socket)>;

  TcpListener(boost::asio::io_context& context, ConnectionHandler on_connection);

  /// Binds the address without listening: connections are refused until Start(). Returns
  /// the bound address, with the chosen port when it was 0. Throws Error(kPortTaken).
  Endpoint Bind(const Endpoint& endpoint);

  /// Starts to accept at the bound address; does nothing after Close(). Throws
  /// Error(kPortTaken).
  void Start();

  /// Calls Bind() and Start().
  Endpoint Listen(const Endpoint& endpoint);

  /// Stops accepting; connections are refused once this returns. Those that the kernel
  /// had established before are still passed on. Safe from any thread.
  void Close();

 private:
  void Accept();
  std::vector<Socket> AcceptPending();
  void Accepted(const boost::system::error_code& ec, Socket socket);

  std::mutex mutex_;  ///< Guards the flags and the closing of acceptor_. Innermost lock.
  bool closed_ = false;
  bool listening_ = false;

  boost::asio::io_context& context_;
  ConnectionHandler on_connection_;
  Strand strand_;
  Endpoint bound_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_timer_;
};

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_RUNTIME_ASIO_TCP_LISTENER_H_
