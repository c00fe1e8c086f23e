#ifndef QUETZAL_PLUGINS_STREAM_NGHTTP2_NGHTTP2_TRANSPORT_H_
#define QUETZAL_PLUGINS_STREAM_NGHTTP2_NGHTTP2_TRANSPORT_H_

#include <memory>

#include "net/stream.h"
#include "plugins/runtime_asio/worker_pool.h"
#include "plugins/stream_nghttp2/http2_options.h"

namespace quetzal {

class Http2ConnectionManager;
class TcpListener;

/// Streams between instances over HTTP/2 (libnghttp2) without TLS. A stream that the peer
/// certainly did not process (REFUSED_STREAM in RST_STREAM or GOAWAY) ends with
/// kConnectFailed, like a stream whose connection could not be opened.
class Nghttp2Transport final : public StreamTransport {
 public:
  /// `workers` must outlive the transport and be stopped before it is destroyed.
  explicit Nghttp2Transport(WorkerPool* workers, const Http2Options& options = {});
  ~Nghttp2Transport() override;

  Endpoint Bind(const Endpoint& endpoint, StreamAcceptor acceptor) override;
  void StartAccepting() override;
  std::shared_ptr<Stream> Open(const Endpoint& peer, const std::string& path,
                               StreamHeaders headers, bool end,
                               std::shared_ptr<StreamHandler> handler) override;

  /// Also stops listening. Streams to other instances may still be opened.
  void Drain() override;
  std::size_t open_streams() const override;

 private:
  std::shared_ptr<Http2ConnectionManager> manager_;
  std::shared_ptr<TcpListener> listener_;
};

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_STREAM_NGHTTP2_NGHTTP2_TRANSPORT_H_
