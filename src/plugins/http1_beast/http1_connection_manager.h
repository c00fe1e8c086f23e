#ifndef QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_CONNECTION_MANAGER_H_
#define QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_CONNECTION_MANAGER_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "net/stream.h"
#include "plugins/http1_beast/http1_options.h"

namespace quetzal {

class Http1ClientConnection;
class Http1ClientStream;
class Http1ServerConnection;

/// Owns the connections of one transport: accepted ones, and opened ones with a pool of
/// idle connections per peer. Thread-safe.
class Http1ConnectionManager
    : public std::enable_shared_from_this<Http1ConnectionManager> {
 public:
  Http1ConnectionManager(boost::asio::io_context& context, const Http1Options& options)
      : context_(context), options_(options) {}

  boost::asio::io_context& context() { return context_; }
  const Http1Options& options() const { return options_; }

  void set_acceptor(StreamAcceptor acceptor);
  StreamAcceptor acceptor() const;

  /// Sends the request of `stream` on an idle connection or a new one.
  void Start(const std::shared_ptr<Http1ClientStream>& stream);

  /// See StreamTransport::Connect.
  void Connect(const Endpoint& peer, std::function<void(bool)> done);

  /// Keeps a connection for the next request. Returns false when the peer already has
  /// max_idle_per_peer idle connections.
  bool AddIdle(const std::shared_ptr<Http1ClientConnection>& connection);
  void Remove(const std::shared_ptr<Http1ClientConnection>& connection);

  /// Returns false when there are already max_accepted_connections connections.
  bool AddAccepted(const std::shared_ptr<Http1ServerConnection>& connection);
  void RemoveAccepted(const std::shared_ptr<Http1ServerConnection>& connection);

  void Drain();
  bool draining() const { return draining_; }

  /// Releases all connections without notifying their handlers.
  void Shutdown();

  std::atomic<std::size_t> open_streams{0};

 private:
  struct Peer {
    std::vector<std::shared_ptr<Http1ClientConnection>> idle;
    std::size_t connections = 0;
  };

  std::shared_ptr<Http1ClientConnection> AddConnectionLocked(const Endpoint& peer);

  boost::asio::io_context& context_;
  const Http1Options options_;
  std::atomic<bool> draining_{false};
  mutable std::mutex mutex_;
  StreamAcceptor acceptor_;
  std::map<Endpoint, Peer> peers_;
  std::set<std::shared_ptr<Http1ClientConnection>> opened_;
  std::set<std::shared_ptr<Http1ServerConnection>> accepted_;
};

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_CONNECTION_MANAGER_H_
