#ifndef QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_CLIENT_CONNECTION_H_
#define QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_CLIENT_CONNECTION_H_

#include <deque>
#include <memory>
#include <string>

#include "base/settings.h"
#include "plugins/http1_beast/http1_connection.h"
#include "plugins/http1_beast/http1_parser.h"

namespace quetzal {

class Http1ConnectionManager;

/// A request sent to a peer.
class Http1ClientStream final : public QueuedStream {
 public:
  using QueuedStream::QueuedStream;

  std::shared_ptr<StreamHandler> handler;
  Endpoint peer;
  std::string path;
  StreamHeaders headers;
  bool request_ended = false;  ///< The request has no body.
  bool dedicated = false;      ///< Uses a new connection, closed afterwards.
  std::string echo_name;       ///< Field that identifies the answer; empty if unused.
  std::string echo_value;      ///< Value of that field in the matching answer.
};

/// A connection to a peer. Sends one request at a time and never resends one. The
/// connection is reused only if the previous answer was complete and no bytes followed
/// it.
class Http1ClientConnection final : public Http1Connection, private Http1Sink {
 public:
  /// `within_limit` is false when the peer already has the maximum number of connections;
  /// the request then fails with kConnectFailed.
  Http1ClientConnection(std::shared_ptr<Http1ConnectionManager> manager,
                        const Endpoint& peer, bool within_limit);
  ~Http1ClientConnection() override;
  Http1ClientConnection(const Http1ClientConnection&) = delete;
  Http1ClientConnection& operator=(const Http1ClientConnection&) = delete;

  const Endpoint& peer() const { return peer_; }

  /// Sends the request of `stream` and connects first when needed. An idle connection
  /// that turns out to be closed returns the stream to the manager before any byte of
  /// the request is sent.
  void Run(const std::shared_ptr<Http1ClientStream>& stream);

  /// Connects without a request; see StreamTransport::Connect.
  void Open(std::function<void(bool)> done);

 private:
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

  void Connect();
  void Connected(const boost::system::error_code& ec);
  /// Keeps the connection for a later request.
  void Idle();

  /// True when the socket is open and holds no unread bytes.
  bool IsReusable();
  void SendRequest();
  void PumpRequest();
  void Complete(bool leftover);
  void ResetParser();
  /// True when an answer to the request of `stream` could be taken for one to an earlier
  /// request of this connection.
  bool HasSentEchoOf(const Http1ClientStream& stream) const;
  void RecordEcho();
  bool IsForOtherRequest(const StreamHeaders& headers) const;
  Duration IdleLimit() const;

  /// Closes the connection and reports `code` to the handler unless it is kOk.
  void Fail(ResultCode code);

  /// True when the peer has not ended its side in order. The end of the input does not
  /// tell: a reset ends it as well once the error of the socket was consumed elsewhere.
  bool PeerReset();

  /// The code for a connection that was lost before the answer was complete.
  ResultCode DisconnectCode() const;

  const std::shared_ptr<Http1ConnectionManager> manager_;
  const Endpoint peer_;
  const bool within_limit_;
  std::function<void(bool)> on_open_;  ///< Of Open(), until it has connected.
  std::shared_ptr<Http1ClientStream> stream_;
  std::unique_ptr<Http1Parser> parser_;
  Http1Writer writer_;
  std::size_t unconsumed_bytes_ = 0;  ///< Body bytes delivered, not yet consumed.
  bool connected_ = false;
  bool head_request_ = false;
  bool sent_ = false;  ///< Bytes of the request may have been sent.
  bool request_done_ = false;
  bool skip_message_ = false;         ///< Interim, or for an earlier request.
  std::size_t skipped_messages_ = 0;  ///< Before the answer to the current request.
  std::size_t skipped_bytes_ = 0;     ///< In the bodies of these messages.
  std::deque<std::string> echoes_;    ///< Of the latest requests, the current one last.
  std::size_t requests_ = 0;          ///< Sent on this connection.
  bool answer_begun_ = false;
  bool answer_done_ = false;
  bool write_failed_ = false;
  bool keep_alive_ = false;
  Duration peer_idle_limit_{};  ///< From Keep-Alive; zero when absent.
};

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_CLIENT_CONNECTION_H_
