#ifndef QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_TRANSPORT_H_
#define QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_TRANSPORT_H_

#include <memory>

#include "net/stream.h"
#include "plugins/http1_beast/http1_connection_manager.h"
#include "plugins/http1_beast/http1_options.h"
#include "plugins/runtime_asio/worker_pool.h"

namespace quetzal {

class TcpListener;

/// HTTP/1.1 as a StreamTransport: accepts callers' requests and opens requests to backend
/// servers.
///
/// Accepted streams: a request whose head is malformed, ambiguous, too slow or too large
/// is refused with a status and a result code, and its connection is closed, before any
/// handler is called. A malformed body resets the handler. A caller that closes its
/// sending side after the request still receives the answer, unless
/// Http1Options::half_close_cancels is set.
///
/// Opened streams: a request is never resent. OnReset(kConnectFailed) means that no byte
/// of the request was sent, kConnectionLost that the answer had not begun, kAnswerCut
/// that the answer was incomplete. The pseudo field ":connection" with the value "fresh"
/// uses a new connection for this request only. The pseudo field ":echo" with
/// "NAME=VALUE" skips answers whose field NAME has another value. A Reset closes the
/// connection and is not reported to the handler. An answer without a length is complete
/// when the peer closes the connection in an orderly way.
class Http1Transport final : public StreamTransport {
 public:
  /// `workers` must outlive the transport and be stopped before it is destroyed.
  explicit Http1Transport(WorkerPool* workers, const Http1Options& options = {});
  ~Http1Transport() override;

  Endpoint Bind(const Endpoint& endpoint, StreamAcceptor acceptor) override;
  void StartAccepting() override;
  std::shared_ptr<Stream> Open(const Endpoint& peer, const std::string& path,
                               StreamHeaders headers, bool end,
                               std::shared_ptr<StreamHandler> handler) override;

  /// Adds "Connection: close" to all further answers and closes idle connections after a
  /// short delay.
  void PrepareDrain() override { manager_->Drain(); }

  /// Also stops listening.
  void Connect(const Endpoint& peer, const std::function<void(bool)>& done) override;
  void Drain() override;
  std::size_t open_streams() const override;

 private:
  std::shared_ptr<Http1ConnectionManager> manager_;
  std::shared_ptr<TcpListener> listener_;
};

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_TRANSPORT_H_
