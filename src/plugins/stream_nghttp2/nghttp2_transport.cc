#include "plugins/stream_nghttp2/nghttp2_transport.h"

#include <utility>

#include "net/stream_transport_registry.h"
#include "plugins/runtime_asio/tcp_listener.h"
#include "plugins/stream_nghttp2/http2_connection.h"
#include "plugins/stream_nghttp2/http2_connection_manager.h"
#include "plugins/stream_nghttp2/http2_stream.h"

namespace quetzal {
namespace {

std::unique_ptr<StreamTransport> MakeTransport(Runtime* runtime,
                                               const StreamTransportOptions& limits) {
  Http2Options options;
  options.max_accepted_connections =
      limits.max_accepted_connections.value_or(options.max_accepted_connections);
  return std::make_unique<Nghttp2Transport>(WorkerPool::Of(runtime), options);
}

const PluginRegistration<StreamTransportRegistry> registration("nghttp2", MakeTransport);

}  // namespace

Nghttp2Transport::Nghttp2Transport(WorkerPool* workers, const Http2Options& options)
    : manager_(std::make_shared<Http2ConnectionManager>(workers->context(), options)) {}

Nghttp2Transport::~Nghttp2Transport() {
  if (listener_) listener_->Close();
  manager_->Shutdown();
}

Endpoint Nghttp2Transport::Bind(const Endpoint& endpoint, StreamAcceptor acceptor) {
  manager_->set_acceptor(std::move(acceptor));
  listener_ = std::make_shared<TcpListener>(
      manager_->context(), [manager = manager_](TcpListener::Socket socket) {
        std::make_shared<Http2Connection>(manager, std::move(socket))->Accept();
      });
  return listener_->Bind(endpoint);
}

void Nghttp2Transport::StartAccepting() { listener_->Start(); }

std::shared_ptr<Stream> Nghttp2Transport::Open(const Endpoint& peer,
                                               const std::string& path,
                                               StreamHeaders headers, bool end,
                                               std::shared_ptr<StreamHandler> handler) {
  auto stream = std::make_shared<Http2Stream>(manager_->options());
  stream->handler = std::move(handler);
  stream->path = path;
  stream->headers = std::move(headers);
  stream->request_ended = end;
  ++manager_->open_streams;
  manager_->Start(peer, stream);
  return stream;
}

void Nghttp2Transport::Drain() {
  if (listener_) listener_->Close();
  manager_->Drain();
}

std::size_t Nghttp2Transport::open_streams() const { return manager_->open_streams; }

}  // namespace quetzal
