#ifndef QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_SERVER_CONNECTION_H_
#define QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_SERVER_CONNECTION_H_

#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "plugins/http1_beast/http1_connection.h"
#include "plugins/http1_beast/http1_parser.h"

namespace quetzal {

class Http1Host;

/// A connection of a caller. Each request is an accepted stream. Requests of safe methods
/// that are sent behind one another are served at the same time; answers leave in the
/// order of their requests.
class Http1ServerConnection final : public Http1Connection, private Http1Sink {
 public:
  Http1ServerConnection(std::shared_ptr<Http1Host> host, Socket socket);

  void Begin();

  /// Closes when the requests in flight are answered; the last answer says so.
  void Drain();

 private:
  enum class State {
    kOpen,
    kRefused,    ///< Writes an answer of its own and closes.
    kLingering,  ///< All is sent; waits for the caller to close.
  };

  /// One request and its answer.
  struct Exchange {
    std::shared_ptr<QueuedStream> stream;
    std::shared_ptr<StreamHandler> handler;
    Http1Writer writer;
    bool http11 = false;
    bool to_head = false;
    bool may_share = false;  ///< Others may be served beside it.
    bool close = false;      ///< The caller wants the connection closed after it.
    bool request_done = false;
    bool head_sent = false;
    bool answer_done = false;
  };
  using ExchangePtr = std::shared_ptr<Exchange>;

  std::size_t ReadLimit() const override;
  void Received(std::string_view bytes) override;
  void ReadEnded(bool in_order) override;
  void Written() override;
  void WriteFailed() override;
  void DeadlinePassed() override;
  void HandleWork(const std::shared_ptr<QueuedStream>& stream) override;

  void OnHead(Http1Head head) override;
  void OnBody(std::string_view bytes) override;
  void OnMessageEnd() override;

  // Requests.
  bool MayBeginRequest(std::string_view bytes) const;
  void AwaitRequest();
  void Feed(std::string_view bytes);
  void RefuseRequest(ResultCode code);

  // Answers; only the first exchange writes.
  void PumpFront();
  void AnswerHead(const QueuedStream::Work& work);
  void PumpAnswer();
  void EndFront();

  void UpdateDeadline();
  void Refuse(ResultCode code);

  /// Ends the stream, telling its handler unless `code` is kOk.
  void Drop(const ExchangePtr& exchange, ResultCode code);
  void DropAll(ResultCode code);

  /// Cuts the connection, so that nobody takes the answer for a whole one.
  void Abort(ResultCode code);
  void Linger();
  void Close();

  const std::shared_ptr<Http1Host> host_;
  State state_ = State::kOpen;
  std::unique_ptr<Http1Parser> parser_;
  std::string stash_;                  ///< Bytes that wait to be parsed.
  std::deque<ExchangePtr> exchanges_;  ///< In the order of their requests.
  ExchangePtr reading_;                ///< Its body is being read.
  std::optional<ResultCode> refusal_;  ///< Told after the exchanges before it.
  std::size_t held_ = 0;               ///< Body bytes delivered and not consumed.
  bool closing_ = false;               ///< No further request is read.
  bool head_deadline_ = false;         ///< The deadline is that of a head.
};

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_SERVER_CONNECTION_H_
