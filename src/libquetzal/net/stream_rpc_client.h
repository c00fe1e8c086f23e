#ifndef QUETZAL_NET_STREAM_RPC_CLIENT_H_
#define QUETZAL_NET_STREAM_RPC_CLIENT_H_

#include <string>

#include "base/hybrid_clock.h"
#include "kernel/executor.h"
#include "net/rpc.h"
#include "net/stream.h"

namespace quetzal {

/// Sends each request over a stream of its own. Replies may arrive on any worker thread.
class StreamRpcClient final : public RpcClient {
 public:
  /// `executor` runs the request timeouts.
  StreamRpcClient(StreamTransport* transport, Executor* executor,
                  HybridClock* hybrid_clock)
      : transport_(transport), executor_(executor), hybrid_clock_(hybrid_clock) {}

  void Call(const Endpoint& peer, const std::string& method, std::string request,
            Duration timeout, RpcReply reply) override;

 private:
  class PendingCall;

  StreamTransport* transport_;
  Executor* executor_;
  HybridClock* hybrid_clock_;
};

}  // namespace quetzal

#endif  // QUETZAL_NET_STREAM_RPC_CLIENT_H_
