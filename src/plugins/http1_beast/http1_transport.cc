#include "plugins/http1_beast/http1_transport.h"

#include <utility>

#include "net/stream_transport_registry.h"
#include "plugins/http1_beast/http1_client_connection.h"
#include "plugins/http1_beast/http1_connection_manager.h"
#include "plugins/http1_beast/http1_server_connection.h"
#include "plugins/runtime_asio/tcp_listener.h"

namespace quetzal {
namespace {

std::unique_ptr<StreamTransport> MakeTransport(Runtime* runtime,
                                               const StreamTransportOptions& limits) {
  Http1Options options;
  options.head_timeout = limits.head_timeout.value_or(options.head_timeout);
  options.max_accepted_connections =
      limits.max_accepted_connections.value_or(options.max_accepted_connections);
  options.half_close_cancels =
      limits.half_close_cancels.value_or(options.half_close_cancels);
  return std::make_unique<Http1Transport>(WorkerPool::Of(runtime), options);
}

const PluginRegistration<StreamTransportRegistry> registration("http1", MakeTransport);

}  // namespace

Http1Transport::Http1Transport(WorkerPool* workers, const Http1Options& options)
    : manager_(std::make_shared<Http1ConnectionManager>(workers->context(), options)) {}

Http1Transport::~Http1Transport() {
  if (listener_) listener_->Close();
  manager_->Shutdown();
}

void Http1Transport::StartAccepting() { listener_->Start(); }

Endpoint Http1Transport::Bind(const Endpoint& endpoint, StreamAcceptor acceptor) {
  manager_->set_acceptor(std::move(acceptor));
  listener_ = std::make_shared<TcpListener>(
      manager_->context(), [manager = manager_](TcpListener::Socket socket) {
        std::make_shared<Http1ServerConnection>(manager, std::move(socket))->Begin();
      });
  return listener_->Bind(endpoint);
}

std::shared_ptr<Stream> Http1Transport::Open(const Endpoint& peer,
                                             const std::string& path,
                                             StreamHeaders headers, bool end,
                                             std::shared_ptr<StreamHandler> handler) {
  const Http1Options& options = manager_->options();
  auto stream = std::make_shared<Http1ClientStream>(options.max_buffered_bytes,
                                                    options.low_mark_bytes);
  stream->handler = std::move(handler);
  stream->peer = peer;
  stream->path = path;
  stream->dedicated = HeaderValue(headers, ":connection") == "fresh";
  const std::string_view echo = HeaderValue(headers, ":echo");
  const std::size_t equals = echo.find('=');
  if (equals != std::string_view::npos) {
    stream->echo_name = echo.substr(0, equals);
    stream->echo_value = echo.substr(equals + 1);
  }
  stream->headers = std::move(headers);
  stream->request_ended = end;
  ++manager_->open_streams;
  manager_->Start(stream);
  return stream;
}

void Http1Transport::Connect(const Endpoint& peer,
                             const std::function<void(bool)>& done) {
  manager_->Connect(peer, done);
}

void Http1Transport::Drain() {
  if (listener_) listener_->Close();
  manager_->Drain();
}

std::size_t Http1Transport::open_streams() const { return manager_->open_streams; }

}  // namespace quetzal
