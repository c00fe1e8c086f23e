#ifndef QUETZAL_BENCH_COUNTING_CHANNELS_H_
#define QUETZAL_BENCH_COUNTING_CHANNELS_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "distribution.pb.h"
#include "distribution/down_message.h"
#include "net/message_framing.h"
#include "net/rpc.h"

namespace quetzal {

/// Updates that sources sent to subscribers.
struct UpdateCount {
  std::atomic<std::uint64_t> messages{0};
  std::atomic<std::uint64_t> bytes{0};  ///< Without framing.
};

/// Counts the updates that go out on an accepted channel.
class CountingChannel final : public MessageChannel {
 public:
  CountingChannel(std::shared_ptr<MessageChannel> channel, UpdateCount* count)
      : channel_(std::move(channel)), count_(count) {}
  void Send(const std::string& bytes) override {
    DownMessage message;
    if (DecodeDown(bytes, &message) && message.has_update()) {
      ++count_->messages;
      count_->bytes += bytes.size();
    }
    channel_->Send(bytes);
  }
  void Close() override { channel_->Close(); }
  std::size_t buffered_bytes() const override { return channel_->buffered_bytes(); }

 private:
  std::shared_ptr<MessageChannel> channel_;
  UpdateCount* count_;
};

class CountingChannels final : public MessageChannels {
 public:
  CountingChannels(MessageChannels* channels, UpdateCount* count)
      : channels_(channels), count_(count) {}
  std::shared_ptr<MessageChannel> Open(
      const Endpoint& peer, const std::string& path,
      std::shared_ptr<MessageChannelHandler> handler) override {
    return channels_->Open(peer, path, std::move(handler));
  }
  void Accept(const std::string& path, Acceptor acceptor) override {
    channels_->Accept(path, [acceptor = std::move(acceptor),
                             count = count_](std::shared_ptr<MessageChannel> channel) {
      return acceptor(std::make_shared<CountingChannel>(std::move(channel), count));
    });
  }

 private:
  MessageChannels* channels_;
  UpdateCount* count_;
};

/// Returns the overhead of each message in bytes: its own frame and the header of an
/// HTTP/2 DATA frame.
inline std::size_t FramingBytes() {
  constexpr std::size_t kDataFrameHeader = 9;
  return FrameMessage(HybridTime(), "").size() + kDataFrameHeader;
}

}  // namespace quetzal

#endif  // QUETZAL_BENCH_COUNTING_CHANNELS_H_
