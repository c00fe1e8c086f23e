#ifndef QUETZAL_PLUGINS_STREAM_NGHTTP2_HTTP2_CONNECTION_MANAGER_H_
#define QUETZAL_PLUGINS_STREAM_NGHTTP2_HTTP2_CONNECTION_MANAGER_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>

#include <boost/asio/io_context.hpp>

#include "net/stream.h"
#include "plugins/stream_nghttp2/http2_options.h"

namespace quetzal {

class Http2Connection;
class Http2Stream;

/// Owns the connections of one transport: the accepted ones, and the opened ones with a
/// pool of one connection per peer. Thread-safe.
class Http2ConnectionManager
    : public std::enable_shared_from_this<Http2ConnectionManager> {
 public:
  Http2ConnectionManager(boost::asio::io_context& context, const Http2Options& options)
      : context_(context), options_(options) {}

  boost::asio::io_context& context() { return context_; }
  const Http2Options& options() const { return options_; }

  void set_acceptor(StreamAcceptor acceptor);
  StreamAcceptor acceptor() const;

  /// Starts `stream` on the pooled connection to `peer`, or on a new one.
  void Start(const Endpoint& peer, const std::shared_ptr<Http2Stream>& stream);

  /// Removes an opened connection from the pool; it gets no further streams.
  void RemoveFromPool(const Endpoint& peer, const Http2Connection* connection);

  void AddAccepted(const std::shared_ptr<Http2Connection>& connection);

  /// Releases a connection that has closed.
  void Remove(const std::shared_ptr<Http2Connection>& connection);

  /// Makes every accepted connection refuse new streams and close when it is idle.
  void Drain();
  bool draining() const { return draining_; }

  /// Releases all connections without notifying their handlers.
  void Shutdown();

  std::atomic<std::size_t> open_streams{0};
  std::atomic<std::size_t> unconsumed_bytes{0};

 private:
  void EvictIdleLocked(std::shared_ptr<Http2Connection>* evicted);

  boost::asio::io_context& context_;
  const Http2Options options_;
  std::atomic<bool> draining_{false};
  mutable std::mutex mutex_;
  StreamAcceptor acceptor_;
  std::map<Endpoint, std::shared_ptr<Http2Connection>> pool_;
  std::set<std::shared_ptr<Http2Connection>> opened_;
  std::set<std::shared_ptr<Http2Connection>> accepted_;
};

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_STREAM_NGHTTP2_HTTP2_CONNECTION_MANAGER_H_
