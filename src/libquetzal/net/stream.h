#ifndef QUETZAL_NET_STREAM_H_
#define QUETZAL_NET_STREAM_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/result_code.h"
#include "base/settings.h"

namespace quetzal {

/// Header fields of a stream; names in lower case.
using StreamHeaders = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first field called `name`; empty when there is none.
std::string_view HeaderValue(const StreamHeaders& headers, std::string_view name);

/// True for an interim (1xx) status, whose headers precede the answer's final headers.
inline bool IsInterimStatus(std::string_view status) {
  return status.size() == 3 && status.front() == '1';
}

/// Receives the headers and data that the peer of a stream sends. All calls run one at a
/// time on the connection's strand. No call follows OnReset, and none follows OnEnd once
/// the local side has ended too.
class StreamHandler {
 public:
  virtual ~StreamHandler() = default;

  /// The peer's headers: on an opened stream the answer's headers, which interim headers
  /// may precede.
  virtual void OnHeaders(StreamHeaders headers) = 0;

  /// Body bytes; the receiver returns flow-control credit with Stream::Consume.
  virtual void OnData(std::string_view bytes) = 0;

  /// The peer ended its side normally.
  virtual void OnEnd() = 0;

  /// The stream was aborted: kStreamReset, kConnectionLost, kConnectFailed (nothing was
  /// sent) or kTimeout.
  virtual void OnReset(ResultCode code) = 0;

  /// The number of bytes buffered for sending fell below the low mark.
  virtual void OnWritable() {}
};

/// One HTTP/2 stream between two instances. Thread-safe.
class Stream {
 public:
  virtual ~Stream() = default;

  /// Sends the answer's headers on an accepted stream. Interim headers (IsInterimStatus)
  /// may be sent first; the peer may miss them when further headers follow soon. `end`
  /// ends the local side.
  virtual void SendHeaders(StreamHeaders headers, bool end) = 0;
  virtual void SendData(std::string bytes, bool end) = 0;

  /// Aborts the stream; the peer's handler gets OnReset(kStreamReset).
  virtual void Reset() = 0;

  /// Returns flow-control credit for `n` received bytes.
  virtual void Consume(std::size_t n) = 0;

  /// Bytes accepted by SendData and not sent yet.
  virtual std::size_t buffered_bytes() const = 0;
};

/// Returns the handler of an incoming stream, chosen by its path; null refuses the stream
/// with kMethodUnknown.
using StreamAcceptor = std::function<std::shared_ptr<StreamHandler>(
    const std::string& path, const StreamHeaders& headers,
    std::shared_ptr<Stream> stream)>;

/// Opens and accepts streams to and from other instances over a few pooled connections.
class StreamTransport {
 public:
  virtual ~StreamTransport() = default;

  /// Binds the address but refuses connections until StartAccepting. Returns the bound
  /// address; port 0 selects a free port. Throws Error(kPortTaken).
  virtual Endpoint Bind(const Endpoint& endpoint, StreamAcceptor acceptor) = 0;

  /// Starts to accept connections; does nothing after Drain. Throws Error(kPortTaken).
  virtual void StartAccepting() = 0;

  /// Calls Bind and StartAccepting.
  Endpoint Listen(const Endpoint& endpoint, StreamAcceptor acceptor);

  /// Opens a stream. Failures are reported to `handler`.
  virtual std::shared_ptr<Stream> Open(const Endpoint& peer, const std::string& path,
                                       StreamHeaders headers, bool end,
                                       std::shared_ptr<StreamHandler> handler) = 0;

  /// Opens a connection for later streams. Calls `done` once, with false if none could be
  /// opened; true at once where the transport has no use for it.
  virtual void Connect(const Endpoint& /*peer*/, const std::function<void(bool)>& done) {
    done(true);
  }

  /// Asks peers to open their next streams elsewhere; new streams are still served.
  virtual void PrepareDrain() {}

  /// Refuses new streams and notifies peers of it (GOAWAY); streams in flight continue.
  virtual void Drain() = 0;

  /// Streams in flight in both directions.
  virtual std::size_t open_streams() const = 0;
};

}  // namespace quetzal

#endif  // QUETZAL_NET_STREAM_H_
