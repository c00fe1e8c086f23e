#ifndef QUETZAL_NET_STREAM_RPC_SERVER_H_
#define QUETZAL_NET_STREAM_RPC_SERVER_H_

#include <string>

#include "base/hybrid_clock.h"
#include "net/rpc.h"
#include "net/stream_router.h"

namespace quetzal {

/// Serves requests that arrive over streams. A method runs on the strand of the
/// connection that received the request and must not block. The code of an Error that it
/// throws becomes the reply.
class StreamRpcServer final : public RpcServer {
 public:
  StreamRpcServer(StreamRouter* router, HybridClock* hybrid_clock)
      : router_(router), hybrid_clock_(hybrid_clock) {}

  void Serve(const std::string& method, Method handler) override;

 private:
  StreamRouter* router_;
  HybridClock* hybrid_clock_;
};

}  // namespace quetzal

#endif  // QUETZAL_NET_STREAM_RPC_SERVER_H_
