#ifndef QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_SERVER_CONNECTION_H_
#define QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_SERVER_CONNECTION_H_

#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "plugins/http1_beast/http1_connection.h"
#include "plugins/http1_beast/http1_parser.h"

namespace quetzal {

class Http1ConnectionManager;

/// A connection from a caller. Each request becomes an accepted stream. Pipelined
/// requests with safe methods are served concurrently; answers are sent in the order of
/// the requests.
class Http1ServerConnection final : public Http1Connection, private Http1Sink {
 public:
  Http1ServerConnection(std::shared_ptr<Http1ConnectionManager> manager, Socket socket);

  void Begin();

  /// Closes the connection after the requests in flight are answered. The last answer has
  /// "Connection: close".
  void Drain();

 private:
  enum class State {
    kOpen,
    kRefused,    ///< Sends an error answer, then closes.
    kLingering,  ///< Everything is sent; waits for the caller to close.
  };

  /// One request and its answer.
  struct Exchange {
    std::shared_ptr<QueuedStream> stream;
    std::shared_ptr<StreamHandler> handler;
    Http1Writer writer;
    std::optional<QueuedStream::Work> head;  ///< Of the answer, until it is sent.
    bool http11 = false;
    bool head_request = false;
    bool allows_pipelining = false;  ///< The next request may be served meanwhile.
    bool close = false;              ///< The connection closes after this answer.
    bool request_done = false;
    bool head_sent = false;
    bool answer_done = false;
  };
  using ExchangePtr = std::shared_ptr<Exchange>;

  std::size_t ReadLimit() const override;
  void Received(std::string_view bytes) override;
  void ReadEnded(bool orderly) override;
  void Written() override;
  void WriteFailed() override;
  void DeadlinePassed() override;
  void HandleWork(const std::shared_ptr<QueuedStream>& stream) override;

  void OnHead(Http1Head head) override;
  void OnBody(std::string_view bytes) override;
  void OnMessageEnd() override;

  // Requests.
  bool MayBeginRequest(std::string_view bytes) const;
  void ResetParser();
  void Feed(std::string_view bytes);
  void RefuseRequest(ResultCode code);

  // Answers. Only the first exchange ("front") writes.
  bool HoldsHead(const Exchange& front) const;
  void PumpFront();
  void AnswerHead(const QueuedStream::Work& work);
  bool ClosesAfter(const Exchange& front) const;
  void FailAnswer(ResultCode code, ResultCode reported);
  void PumpAnswer();
  void EndFront();

  void UpdateDeadline();
  void Refuse(ResultCode code);

  /// Ends the exchange's stream and reports `code` to its handler unless it is kOk.
  void Drop(const ExchangePtr& exchange, ResultCode code);
  void DropAll(ResultCode code);

  /// Closes the connection so that the caller can detect an incomplete answer.
  void Abort(ResultCode code);

  /// Shuts down the sending side and discards input until the caller closes.
  void Linger();
  void Close();

  const std::shared_ptr<Http1ConnectionManager> manager_;
  State state_ = State::kOpen;
  std::unique_ptr<Http1Parser> parser_;
  std::string unparsed_;                       ///< Received bytes that wait to be parsed.
  std::deque<ExchangePtr> exchanges_;          ///< In the order of their requests.
  ExchangePtr reading_;                        ///< The exchange whose body is being read.
  std::optional<ResultCode> pending_refusal_;  ///< Sent after the earlier exchanges.
  std::size_t unconsumed_bytes_ = 0;  ///< Body bytes delivered, not yet consumed.
  bool closing_ = false;              ///< Closes after the requests in flight.
  bool head_deadline_ = false;        ///< The deadline is the head_timeout.
};

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_SERVER_CONNECTION_H_
