#include "plugins/runtime_asio/tcp_listener.h"

#include <sys/socket.h>

#include <utility>

#include <boost/asio/post.hpp>

#include "base/result_code.h"

namespace quetzal {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::chrono::milliseconds kAcceptRetryDelay{100};

[[noreturn]] void ThrowPortTaken(const Endpoint& endpoint,
                                 const boost::system::error_code& ec) {
  throw Error(ResultCode::kPortTaken,
              "cannot listen on " + endpoint.ToString() + ": " + ec.message());
}

}  // namespace

TcpListener::TcpListener(asio::io_context& context, ConnectionHandler on_connection)
    : context_(context),
      on_connection_(std::move(on_connection)),
      strand_(asio::make_strand(context)),
      acceptor_(strand_),
      retry_timer_(strand_) {}

Endpoint TcpListener::Bind(const Endpoint& endpoint) {
  const tcp::endpoint address(asio::ip::make_address(endpoint.address), endpoint.port);
  boost::system::error_code ec;
  acceptor_.open(address.protocol(), ec);
  // With SO_REUSEADDR two sockets can bind the same address as long as neither listens.
  // So the option is set only if the bind fails without it, for example because
  // connections of an earlier process are still in TIME_WAIT.
  if (!ec) acceptor_.bind(address, ec);
  if (ec == asio::error::address_in_use) {
    acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
    acceptor_.bind(address, ec);
  }
  if (ec) ThrowPortTaken(endpoint, ec);
  bound_ = {endpoint.address, acceptor_.local_endpoint().port()};
  return bound_;
}

void TcpListener::Start() {
  // Another thread may call Close() during this call.
  std::lock_guard<std::mutex> lock(mutex_);
  if (closed_) return;
  boost::system::error_code ec;
  acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
  acceptor_.listen(asio::socket_base::max_listen_connections, ec);
  if (ec) ThrowPortTaken(bound_, ec);
  // AcceptPending() returns when no connection waits.
  acceptor_.non_blocking(true, ec);
  listening_ = true;
  asio::post(strand_, [self = shared_from_this()] { self->Accept(); });
}

Endpoint TcpListener::Listen(const Endpoint& endpoint) {
  Endpoint bound = Bind(endpoint);
  Start();
  return bound;
}

void TcpListener::Accept() {
  if (!acceptor_.is_open()) return;
  acceptor_.async_accept(
      asio::make_strand(context_),
      [self = shared_from_this()](const boost::system::error_code& ec, Socket socket) {
        self->Accepted(ec, std::move(socket));
      });
}

void TcpListener::Accepted(const boost::system::error_code& ec, Socket socket) {
  if (!acceptor_.is_open()) return;
  if (!ec) {
    on_connection_(std::move(socket));
    return Accept();
  }
  // Accepting fails when the process has no free file descriptors. The delay avoids a
  // busy loop.
  retry_timer_.expires_after(kAcceptRetryDelay);
  retry_timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& ec) {
        if (!ec) self->Accept();
      });
}

/// The kernel resets the connections in its queue when the socket stops listening,
/// although their peers may already have sent requests.
std::vector<TcpListener::Socket> TcpListener::AcceptPending() {
  std::vector<Socket> accepted;
  for (;;) {
    boost::system::error_code ec;
    Socket socket = acceptor_.accept(asio::make_strand(context_), ec);
    if (ec) return accepted;
    accepted.push_back(std::move(socket));
  }
}

void TcpListener::Close() {
  std::vector<Socket> pending;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    closed_ = true;
    if (listening_ && acceptor_.is_open()) pending = AcceptPending();
    // Refuses connections from now on, before the strand closes the socket.
    if (acceptor_.is_open()) ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
  }
  for (Socket& socket : pending) on_connection_(std::move(socket));
  asio::post(strand_, [self = shared_from_this()] {
    std::lock_guard<std::mutex> lock(self->mutex_);
    boost::system::error_code ec;
    self->acceptor_.close(ec);
    self->retry_timer_.cancel();
  });
}

}  // namespace quetzal
