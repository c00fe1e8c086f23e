#ifndef QUETZAL_STANDIN_BLOCKING_HTTP_H_
#define QUETZAL_STANDIN_BLOCKING_HTTP_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/clock.h"
#include "base/settings.h"

namespace quetzal {

/// An HTTP request or response. Names of `fields` are in lower case.
struct HttpMessage {
  std::string method;
  std::string target;
  int status = 0;
  std::map<std::string, std::string> fields;
  std::string body;
};

/// An HTTP client with one connection and blocking calls. It sends each request once and
/// never resends by itself.
class BlockingHttpClient {
 public:
  explicit BlockingHttpClient(const Endpoint& server);
  ~BlockingHttpClient();

  BlockingHttpClient(const BlockingHttpClient&) = delete;
  BlockingHttpClient& operator=(const BlockingHttpClient&) = delete;

  /// Throws Error(kConnectFailed) when nothing was sent, Error(kAnswerCut) when no
  /// complete answer came.
  HttpMessage Send(const HttpMessage& request);

 private:
  struct Connection;

  Endpoint server_;
  std::unique_ptr<Connection> connection_;
};

/// What the server does with the connection after the handler returned.
enum class AnswerAction { kAnswer, kCloseUnanswered, kCutAnswer };

/// A small HTTP server with one thread per connection.
class BlockingHttpServer {
 public:
  using Handler =
      std::function<AnswerAction(const HttpMessage& request, HttpMessage* answer)>;

  /// Throws Error(kPortTaken).
  BlockingHttpServer(const Endpoint& listen, int max_connections, Handler handler);
  ~BlockingHttpServer();

  BlockingHttpServer(const BlockingHttpServer&) = delete;
  BlockingHttpServer& operator=(const BlockingHttpServer&) = delete;

  const Endpoint& endpoint() const { return endpoint_; }

  /// Waits until the requests in flight are answered, then closes all connections.
  void Stop();

 private:
  struct State;

  Endpoint endpoint_;
  std::shared_ptr<State> state_;
};

}  // namespace quetzal

#endif  // QUETZAL_STANDIN_BLOCKING_HTTP_H_
