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

/// Value of the first field called `name`; empty when there is none.
std::string_view HeaderValue(const StreamHeaders& headers, std::string_view name);

/// True for the status of headers that precede an answer's own.
inline bool IsInterimStatus(std::string_view status) {
  return status.size() == 3 && status.front() == '1';
}

/// Receives what the peer of a stream sends. All calls come one after another on the
/// connection's own sequence of tasks; none comes after OnEnd with an ended own side, or
/// after OnReset.
class StreamHandler {
 public:
  virtual ~StreamHandler() = default;

  /// The peer's headers: of the answer on an opened stream, or interim ones before them.
  virtual void OnHeaders(StreamHeaders headers) = 0;

  /// Body bytes; the receiver returns credit with Stream::Consume.
  virtual void OnData(std::string_view bytes) = 0;

  /// The peer ended its side in order.
  virtual void OnEnd() = 0;

  /// The stream was cut: kStreamReset, kConnectionLost, kConnectFailed (nothing was sent)
  /// or kTimeout.
  virtual void OnReset(ResultCode code) = 0;

  /// The bytes buffered for sending fell below the low mark.
  virtual void OnWritable() {}
};

/// One HTTP/2 stream between two instances. Calls are safe from any thread.
class Stream {
 public:
  virtual ~Stream() = default;

  /// Sends the answer's headers on an accepted stream. Interim ones (IsInterimStatus) may
  /// come before; the peer may miss them when others follow soon.
  virtual void SendHeaders(StreamHeaders headers, bool end) = 0;
  virtual void SendData(std::string bytes, bool end) = 0;

  /// Cuts the stream; the peer sees OnReset(kStreamReset).
  virtual void Reset() = 0;

  /// Returns flow-control credit for `n` received bytes.
  virtual void Consume(std::size_t n) = 0;

  /// Bytes accepted by SendData that have not left yet.
  virtual std::size_t buffered_bytes() const = 0;
};

/// Decides what handles an incoming stream, by its path. Returning null refuses it with
/// kMethodUnknown.
using StreamAcceptor = std::function<std::shared_ptr<StreamHandler>(
    const std::string& path, const StreamHeaders& headers,
    std::shared_ptr<Stream> stream)>;

/// Opens and accepts streams to and from other instances over few pooled connections.
class StreamTransport {
 public:
  virtual ~StreamTransport() = default;

  /// Takes the address but refuses connections until StartAccepting. Returns the address
  /// in use (the port is chosen when it was 0). Throws Error(kPortTaken).
  virtual Endpoint Bind(const Endpoint& endpoint, StreamAcceptor acceptor) = 0;

  /// Does nothing after Drain. Throws Error(kPortTaken).
  virtual void StartAccepting() = 0;

  /// Both steps.
  Endpoint Listen(const Endpoint& endpoint, StreamAcceptor acceptor);

  /// Opens a stream. Failures come through `handler`.
  virtual std::shared_ptr<Stream> Open(const Endpoint& peer, const std::string& path,
                                       StreamHeaders headers, bool end,
                                       std::shared_ptr<StreamHandler> handler) = 0;

  /// Asks peers to open their next streams elsewhere; those that come are still served.
  virtual void PrepareDrain() {}

  /// Refuses new streams and tells peers so (GOAWAY); streams in flight go on.
  virtual void Drain() = 0;

  /// Streams in flight in both directions.
  virtual std::size_t open_streams() const = 0;
};

}  // namespace quetzal

#endif  // QUETZAL_NET_STREAM_H_
