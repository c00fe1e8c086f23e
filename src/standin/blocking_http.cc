#include "standin/blocking_http.h"

#include <atomic>
#include <cctype>
#include <condition_variable>
#include <mutex>
#include <set>
#include <thread>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "base/result_code.h"

namespace quetzal {
namespace {

namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint64_t kBodyLimitBytes = 64ULL << 20;

Tcp::endpoint ToAsio(const Endpoint& endpoint) {
  return {boost::asio::ip::make_address(endpoint.address), endpoint.port};
}

template <class Fields>
std::map<std::string, std::string> CopyFields(const Fields& fields) {
  std::map<std::string, std::string> copy;
  for (const auto& field : fields) {
    std::string name = field.name_string().to_string();
    for (char& c : name)
      c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    copy[name] = field.value().to_string();
  }
  return copy;
}

}  // namespace

struct BlockingHttpClient::Connection {
  boost::asio::io_context context;
  Tcp::socket socket{context};
  boost::beast::flat_buffer buffer;
};

BlockingHttpClient::BlockingHttpClient(const Endpoint& server) : server_(server) {}
BlockingHttpClient::~BlockingHttpClient() = default;

HttpMessage BlockingHttpClient::Send(const HttpMessage& request) {
  error_code ec;
  if (!connection_) {
    auto connection = std::make_unique<Connection>();
    connection->socket.connect(ToAsio(server_), ec);
    if (ec) throw Error(ResultCode::kConnectFailed, ec.message());
    connection->socket.set_option(Tcp::no_delay(true), ec);
    connection_ = std::move(connection);
  }
  http::request<http::string_body> message;
  message.method_string(request.method);
  message.target(request.target);
  message.version(11);
  message.set(http::field::host, server_.ToString());
  for (const auto& [name, value] : request.fields) message.set(name, value);
  message.body() = request.body;
  message.prepare_payload();

  http::response_parser<http::string_body> parser;
  parser.body_limit(kBodyLimitBytes);
  http::write(connection_->socket, message, ec);
  if (!ec) http::read(connection_->socket, connection_->buffer, parser, ec);
  if (ec) {
    connection_.reset();
    throw Error(ResultCode::kAnswerCut, ec.message());
  }
  HttpMessage answer;
  answer.status = static_cast<int>(parser.get().result_int());
  answer.fields = CopyFields(parser.get());
  answer.body = std::move(parser.get().body());
  if (!parser.get().keep_alive()) connection_.reset();
  return answer;
}

struct BlockingHttpServer::State {
  boost::asio::io_context context;
  Tcp::acceptor acceptor{context};
  Handler handler;
  int max_connections = 0;
  std::mutex mutex;
  std::condition_variable idle;
  std::set<Tcp::socket*> open;
  std::set<Tcp::socket*> busy;
  std::atomic<bool> stopping{false};
  std::thread accept_thread;
};

namespace {

template <class State>
void ServeConnection(const std::shared_ptr<State>& state, Tcp::socket* socket) {
  boost::beast::flat_buffer buffer;
  error_code ec;
  while (!state->stopping) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kBodyLimitBytes);
    http::read(*socket, buffer, parser, ec);
    if (ec) break;
    {
      std::lock_guard<std::mutex> lock(state->mutex);
      state->busy.insert(socket);
    }
    HttpMessage request;
    request.method = parser.get().method_string().to_string();
    request.target = parser.get().target().to_string();
    request.fields = CopyFields(parser.get());
    request.body = std::move(parser.get().body());
    HttpMessage answer;
    answer.status = 200;
    const AnswerAction action = state->handler(request, &answer);
    http::response<http::string_body> message;
    message.version(11);
    message.result(static_cast<unsigned>(answer.status));
    for (const auto& [name, value] : answer.fields) message.set(name, value);
    message.body() = answer.body;
    message.keep_alive(parser.get().keep_alive() && !state->stopping);
    message.prepare_payload();
    if (action == AnswerAction::kCutAnswer) {
      message.content_length(answer.body.size() + 1);
    }
    if (action != AnswerAction::kCloseUnanswered) http::write(*socket, message, ec);
    {
      std::lock_guard<std::mutex> lock(state->mutex);
      state->busy.erase(socket);
    }
    state->idle.notify_all();
    if (ec || action != AnswerAction::kAnswer || !message.keep_alive()) break;
  }
  socket->close(ec);
  {
    std::lock_guard<std::mutex> lock(state->mutex);
    state->open.erase(socket);
  }
  state->idle.notify_all();
  delete socket;
}

template <class State>
void AcceptLoop(const std::shared_ptr<State>& state) {
  while (!state->stopping) {
    error_code ec;
    auto socket = std::make_unique<Tcp::socket>(state->context);
    state->acceptor.accept(*socket, ec);
    if (ec) break;
    socket->set_option(Tcp::no_delay(true), ec);
    std::unique_lock<std::mutex> lock(state->mutex);
    if (static_cast<int>(state->open.size()) >= state->max_connections) continue;
    Tcp::socket* raw = socket.release();
    state->open.insert(raw);
    lock.unlock();
    std::thread([state, raw] { ServeConnection(state, raw); }).detach();
  }
}

}  // namespace

BlockingHttpServer::BlockingHttpServer(const Endpoint& listen, int max_connections,
                                       Handler handler)
    : state_(std::make_shared<State>()) {
  state_->handler = std::move(handler);
  state_->max_connections = max_connections;
  const Tcp::endpoint local = ToAsio(listen);
  error_code ec;
  state_->acceptor.open(local.protocol(), ec);
  state_->acceptor.set_option(Tcp::acceptor::reuse_address(true), ec);
  state_->acceptor.bind(local, ec);
  if (!ec) state_->acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
  if (ec) throw Error(ResultCode::kPortTaken, listen.ToString() + ": " + ec.message());
  endpoint_ = {listen.address, state_->acceptor.local_endpoint().port()};
  state_->accept_thread = std::thread([state = state_] { AcceptLoop(state); });
}

BlockingHttpServer::~BlockingHttpServer() { Stop(); }

void BlockingHttpServer::Stop() {
  if (state_->stopping.exchange(true)) return;
  error_code ec;
  // A blocked accept() returns only when the listening socket is shut down.
  ::shutdown(state_->acceptor.native_handle(), SHUT_RDWR);
  state_->accept_thread.join();
  state_->acceptor.close(ec);
  std::unique_lock<std::mutex> lock(state_->mutex);
  state_->idle.wait(lock, [this] { return state_->busy.empty(); });
  for (Tcp::socket* socket : state_->open)
    socket->shutdown(Tcp::socket::shutdown_both, ec);
  state_->idle.wait(lock, [this] { return state_->open.empty(); });
}

}  // namespace quetzal
