#ifndef QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_PARSER_H_
#define QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_PARSER_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "net/stream.h"
#include "plugins/http1_beast/http1_options.h"

namespace quetzal {

/// Start line and header fields of a request or an answer.
struct Http1Head {
  std::string method;  ///< Only in requests.
  std::string target;  ///< Only in requests: path and query, or "*".
  int status = 0;      ///< Only in answers.
  bool http11 = false;
  bool keep_alive = false;
  bool until_close = false;  ///< The answer's body ends when the connection closes.
  StreamHeaders headers;     ///< Names in lower case.
};

/// Receives one message from Http1Parser.
class Http1Sink {
 public:
  virtual ~Http1Sink() = default;
  virtual void OnHead(Http1Head head) = 0;
  virtual void OnBody(std::string_view bytes) = 0;
  virtual void OnMessageEnd() = 0;
};

enum class Http1MessageKind { kRequest, kAnswer, kAnswerToHead };

/// Parses one HTTP/1.1 message. Rejects line feeds without carriage return, folded
/// fields, more than one Content-Length, Content-Length together with Transfer-Encoding,
/// and any transfer coding except chunked. Not thread-safe.
class Http1Parser {
 public:
  Http1Parser(Http1MessageKind kind, const Http1Options& options);
  ~Http1Parser();

  /// Parses bytes until the message ends; returns how many belong to it. Throws
  /// Error(kRequestMalformed) or Error(kRequestTooLarge).
  std::size_t Parse(std::string_view bytes, Http1Sink* sink);

  /// Called when the peer closed the connection in an orderly way. Returns true when that
  /// completes the message (see Http1Head::until_close).
  bool ParseEnd(Http1Sink* sink);

  bool head_begun() const;
  bool head_done() const;
  bool done() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_PARSER_H_
