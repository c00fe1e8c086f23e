#ifndef QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_TRANSPORT_H_
#define QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_TRANSPORT_H_

#include <memory>

#include "net/stream.h"
#include "plugins/http1_beast/http1_host.h"
#include "plugins/http1_beast/http1_options.h"
#include "plugins/runtime_asio/worker_pool.h"

namespace quetzal {

class TcpListener;

/// HTTP/1.1 as a StreamTransport: accepts callers' requests and opens requests to backend
/// servers.
///
/// Accepting: malformed, ambiguous, slow or oversized requests are refused with a status,
/// a result code and a closed connection before any handler hears of them; one that turns
/// out malformed in its body resets its handler. A caller that closes its sending side
/// after the request still gets the answer.
///
/// Opening: nothing is ever sent twice. OnReset(kConnectFailed) means that no byte of the
/// request was sent, kConnectionLost that the answer had not begun, kAnswerCut that it
/// was not whole. The pseudo field ":connection" with the value "fresh" asks for a
/// connection of its own. A Reset closes the connection and is not reported to the
/// handler. The pseudo field ":echo" with "NAME=VALUE" skips answers whose field NAME has
/// another value. An answer without a length is whole when its connection ends in order.
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

  /// Answers from now on carry Connection: close; idle connections are closed soon.
  void PrepareDrain() override { host_->Drain(); }

  /// Ends listening as well.
  void Drain() override;
  std::size_t open_streams() const override;

 private:
  std::shared_ptr<Http1Host> host_;
  std::shared_ptr<TcpListener> listener_;
};

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_TRANSPORT_H_
