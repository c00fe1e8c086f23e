#ifndef QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_CLIENT_CONNECTION_H_
#define QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_CLIENT_CONNECTION_H_

#include <memory>
#include <string>

#include "base/settings.h"
#include "plugins/http1_beast/http1_connection.h"
#include "plugins/http1_beast/http1_parser.h"

namespace quetzal {

class Http1Host;

/// A request on its way to a peer.
class Http1ClientStream final : public QueuedStream {
 public:
  using QueuedStream::QueuedStream;

  std::shared_ptr<StreamHandler> handler;
  Endpoint peer;
  std::string path;
  StreamHeaders headers;
  bool request_ended = false;  ///< The request has no body.
  bool fresh = false;          ///< On a connection of its own.
  std::string echo_name;       ///< Field that an answer repeats; empty: none.
  std::string echo_value;      ///< What it says in the answer to this request.
};

/// A connection to a peer: one request at a time, never sent a second time. It is kept
/// for reuse only after a whole exchange with nothing left over.
class Http1ClientConnection final : public Http1Connection, private Http1Sink {
 public:
  /// `allowed` is false when the peer has too many connections already.
  Http1ClientConnection(std::shared_ptr<Http1Host> host, const Endpoint& peer,
                        bool allowed);
  ~Http1ClientConnection() override;
  Http1ClientConnection(const Http1ClientConnection&) = delete;
  Http1ClientConnection& operator=(const Http1ClientConnection&) = delete;

  const Endpoint& peer() const { return peer_; }

  /// Sends the request of `stream`, connecting first when needed. A parked connection
  /// that turns out to be broken hands the stream back before anything was sent.
  void Run(const std::shared_ptr<Http1ClientStream>& stream);

 private:
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

  void Connect();
  void Connected(const boost::system::error_code& ec);
  bool StillClean();
  void SendRequest();
  void PumpRequest();
  void Complete(bool leftover);
  void NewParser();
  bool IsForeign(const StreamHeaders& headers) const;
  Duration IdleLimit() const;

  /// Closes and tells the handler unless `code` is kOk.
  void Fail(ResultCode code);
  ResultCode CutCode() const;

  const std::shared_ptr<Http1Host> host_;
  const Endpoint peer_;
  const bool allowed_;
  std::shared_ptr<Http1ClientStream> stream_;
  std::unique_ptr<Http1Parser> parser_;
  Http1Writer writer_;
  std::size_t held_ = 0;  ///< Body bytes delivered and not consumed.
  bool connected_ = false;
  bool to_head_ = false;
  bool sent_ = false;  ///< A byte of the request may have left.
  bool request_done_ = false;
  bool skipped_ = false;  ///< The message being parsed is no answer to this request.
  bool answer_begun_ = false;
  bool answer_done_ = false;
  bool keep_alive_ = false;
  Duration peer_idle_limit_{};  ///< As the peer states it; zero: not stated.
};

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_CLIENT_CONNECTION_H_
