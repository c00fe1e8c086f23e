#include "plugins/datagram_asio/asio_datagram_socket.h"

#include <array>
#include <utility>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include "base/result_code.h"

namespace quetzal {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using Strand = asio::strand<asio::io_context::executor_type>;

constexpr std::size_t kMaxDatagramBytes = 64UL * 1024;

const PluginRegistration<DatagramSocketRegistry> registration(
    "udp", [](Runtime* runtime) {
      return std::make_unique<AsioDatagramSocket>(WorkerPool::Of(runtime));
    });

}  // namespace

class AsioDatagramSocket::Socket : public std::enable_shared_from_this<Socket> {
 public:
  explicit Socket(asio::io_context& context)
      : strand_(asio::make_strand(context)), socket_(strand_) {}

  Endpoint Bind(const Endpoint& endpoint, Receiver receiver) {
    receiver_ = std::move(receiver);
    const udp::endpoint address(asio::ip::make_address(endpoint.address), endpoint.port);
    boost::system::error_code ec;
    socket_.open(address.protocol(), ec);
    if (!ec) socket_.bind(address, ec);
    if (ec) {
      throw Error(ResultCode::kPortTaken,
                  "cannot bind " + endpoint.ToString() + ": " + ec.message());
    }
    socket_.non_blocking(true, ec);
    Endpoint bound{endpoint.address, socket_.local_endpoint().port()};
    asio::post(strand_, [self = shared_from_this()] { self->WaitReadable(); });
    return bound;
  }

  void Send(const Endpoint& to, std::string bytes) {
    asio::post(strand_, [self = shared_from_this(), to, bytes = std::move(bytes)] {
      boost::system::error_code ec;
      const auto address = asio::ip::make_address(to.address, ec);
      if (!ec) {
        self->socket_.send_to(asio::buffer(bytes), udp::endpoint(address, to.port), 0,
                              ec);
      }
    });
  }

  void Close() {
    asio::post(strand_, [self = shared_from_this()] {
      boost::system::error_code ec;
      self->socket_.close(ec);
      self->receiver_ = nullptr;
    });
  }

 private:
  void WaitReadable() {
    socket_.async_wait(udp::socket::wait_read,
                       [self = shared_from_this()](const boost::system::error_code& ec) {
                         if (!ec && self->receiver_) self->ReceiveAll();
                       });
  }

  void ReceiveAll() {
    static thread_local std::array<char, kMaxDatagramBytes> buf;
    for (;;) {
      udp::endpoint from;
      boost::system::error_code ec;
      const std::size_t n = socket_.receive_from(asio::buffer(buf), from, 0, ec);
      // An ICMP error for an earlier datagram to a closed port is reported here.
      if (ec == asio::error::connection_refused) continue;
      if (ec) break;
      receiver_({from.address().to_string(), from.port()}, std::string(buf.data(), n));
      if (!receiver_) return;
    }
    WaitReadable();
  }

  Strand strand_;
  udp::socket socket_;
  Receiver receiver_;
};

AsioDatagramSocket::AsioDatagramSocket(WorkerPool* workers)
    : socket_(std::make_shared<Socket>(workers->context())) {}

AsioDatagramSocket::~AsioDatagramSocket() { socket_->Close(); }

Endpoint AsioDatagramSocket::Bind(const Endpoint& endpoint, Receiver receiver) {
  return socket_->Bind(endpoint, std::move(receiver));
}

void AsioDatagramSocket::Send(const Endpoint& to, std::string bytes) {
  socket_->Send(to, std::move(bytes));
}

}  // namespace quetzal
