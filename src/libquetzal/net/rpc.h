#ifndef QUETZAL_NET_RPC_H_
#define QUETZAL_NET_RPC_H_

#include <functional>
#include <memory>
#include <string>

#include "base/clock.h"
#include "base/result_code.h"
#include "base/settings.h"

namespace quetzal {

/// Receives the answer to a request between instances. `body` is a serialized message
/// when `code` is kOk.
using RpcReply = std::function<void(ResultCode code, std::string body)>;

/// Sends request messages, each of which is answered by one message.
class RpcClient {
 public:
  virtual ~RpcClient() = default;

  /// Calls `method` (a path such as "/agreement/append") at `peer`. `reply` is called
  /// exactly once, with kTimeout when no answer came within `timeout`.
  virtual void Call(const Endpoint& peer, const std::string& method, std::string request,
                    Duration timeout, RpcReply reply) = 0;
};

/// Handles incoming request messages.
class RpcServer {
 public:
  using Method = std::function<void(const std::string& request, RpcReply reply)>;

  virtual ~RpcServer() = default;

  /// Registers `handler` for `method`. The handler calls its `reply` exactly once,
  /// possibly later and from any thread.
  virtual void Serve(const std::string& method, Method handler) = 0;
};

/// Carries ordered messages in both directions over one stream.
class MessageChannel {
 public:
  virtual ~MessageChannel() = default;
  virtual void Send(const std::string& message) = 0;
  virtual void Close() = 0;

  /// Bytes of sent messages that are still buffered.
  virtual std::size_t buffered_bytes() const = 0;
};

/// Receives the messages of a channel.
class MessageChannelHandler {
 public:
  virtual ~MessageChannelHandler() = default;
  virtual void OnMessage(const std::string& message) = 0;

  /// Called when the channel has ended; `code` is kOk when the peer closed it normally.
  virtual void OnClosed(ResultCode code) = 0;
};

/// Opens and accepts channels.
class MessageChannels {
 public:
  /// Returns the handler of an incoming channel; null rejects the channel.
  using Acceptor = std::function<std::shared_ptr<MessageChannelHandler>(
      std::shared_ptr<MessageChannel> channel)>;

  virtual ~MessageChannels() = default;
  virtual std::shared_ptr<MessageChannel> Open(
      const Endpoint& peer, const std::string& path,
      std::shared_ptr<MessageChannelHandler> handler) = 0;
  virtual void Accept(const std::string& path, Acceptor acceptor) = 0;
};

}  // namespace quetzal

#endif  // QUETZAL_NET_RPC_H_
