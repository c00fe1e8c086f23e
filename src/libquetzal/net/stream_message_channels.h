#ifndef QUETZAL_NET_STREAM_MESSAGE_CHANNELS_H_
#define QUETZAL_NET_STREAM_MESSAGE_CHANNELS_H_

#include <string>

#include "base/hybrid_clock.h"
#include "net/rpc.h"
#include "net/stream.h"
#include "net/stream_router.h"

namespace quetzal {

/// Channels over streams: one stream per channel. Each message carries a prefix of its
/// length and the sender's hybrid time.
class StreamMessageChannels final : public MessageChannels {
 public:
  StreamMessageChannels(StreamTransport* transport, StreamRouter* router,
                        HybridClock* hybrid_clock)
      : transport_(transport), router_(router), hybrid_clock_(hybrid_clock) {}

  std::shared_ptr<MessageChannel> Open(
      const Endpoint& peer, const std::string& path,
      std::shared_ptr<MessageChannelHandler> handler) override;
  void Accept(const std::string& path, Acceptor acceptor) override;

 private:
  StreamTransport* transport_;
  StreamRouter* router_;
  HybridClock* hybrid_clock_;
};

}  // namespace quetzal

#endif  // QUETZAL_NET_STREAM_MESSAGE_CHANNELS_H_
