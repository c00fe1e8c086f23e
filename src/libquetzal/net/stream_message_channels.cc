#include "net/stream_message_channels.h"

#include <mutex>
#include <utility>

#include "net/message_framing.h"

namespace quetzal {
namespace {

/// A channel that also handles the events of its stream.
class StreamChannel final : public MessageChannel,
                            public StreamHandler,
                            public std::enable_shared_from_this<StreamChannel> {
 public:
  explicit StreamChannel(HybridClock* hybrid_clock) : hybrid_clock_(hybrid_clock) {}

  void Open(StreamTransport* transport, const Endpoint& peer, const std::string& path,
            std::shared_ptr<MessageChannelHandler> handler) {
    // Locked while the stream opens, so that a callback cannot find the members unset.
    std::lock_guard<std::mutex> lock(mutex_);
    handler_ = std::move(handler);
    stream_ =
        transport->Open(peer, path, {{":method", "POST"}}, false, shared_from_this());
  }

  /// Returns false when the acceptor rejects the channel.
  bool Accept(const std::shared_ptr<Stream>& stream,
              const MessageChannels::Acceptor& acceptor) {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      stream_ = stream;
    }
    stream->SendHeaders({{":status", "200"}}, false);
    auto handler = acceptor(shared_from_this());
    std::lock_guard<std::mutex> lock(mutex_);
    handler_ = std::move(handler);
    return handler_ != nullptr;
  }

  void Send(const std::string& message) override {
    if (const auto stream = this->stream()) {
      stream->SendData(FrameMessage(hybrid_clock_->Tick(), message), false);
    }
  }

  void Close() override {
    if (const auto stream = this->stream()) stream->SendData("", true);
  }

  std::size_t buffered_bytes() const override {
    const auto stream = this->stream();
    return stream ? stream->buffered_bytes() : 0;
  }

  void OnHeaders(StreamHeaders headers) override {
    const ResultCode code = CodeOf(headers);
    if (code != ResultCode::kOk) Abort(code);
  }

  void OnData(std::string_view bytes) override {
    const auto stream = this->stream();
    if (!stream) return;
    stream->Consume(bytes.size());
    try {
      reader_.Append(bytes, [this](const HybridTime& time, const std::string& message) {
        hybrid_clock_->Observe(time);
        if (const auto handler = this->handler()) handler->OnMessage(message);
      });
    } catch (const Error& error) {
      Abort(error.code());
    }
  }

  void OnEnd() override {
    Close();
    Finish(reader_.empty() ? ResultCode::kOk : ResultCode::kMessageMalformed);
  }

  void OnReset(ResultCode code) override { Finish(code); }

 private:
  void Abort(ResultCode code) {
    if (const auto stream = this->stream()) stream->Reset();
    Finish(code);
  }

  void Finish(ResultCode code) {
    std::shared_ptr<MessageChannelHandler> handler;
    std::shared_ptr<Stream> stream;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      handler.swap(handler_);
      stream.swap(stream_);
    }
    if (handler) handler->OnClosed(code);
  }

  std::shared_ptr<Stream> stream() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return stream_;
  }

  std::shared_ptr<MessageChannelHandler> handler() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return handler_;
  }

  HybridClock* hybrid_clock_;
  FrameReader reader_;  ///< Used on the stream's strand only.
  mutable std::mutex mutex_;
  std::shared_ptr<Stream> stream_;
  std::shared_ptr<MessageChannelHandler> handler_;
};

}  // namespace

std::shared_ptr<MessageChannel> StreamMessageChannels::Open(
    const Endpoint& peer, const std::string& path,
    std::shared_ptr<MessageChannelHandler> handler) {
  auto channel = std::make_shared<StreamChannel>(hybrid_clock_);
  channel->Open(transport_, peer, path, std::move(handler));
  return channel;
}

void StreamMessageChannels::Accept(const std::string& path, Acceptor acceptor) {
  router_->Handle(
      path,
      [shared = std::make_shared<const Acceptor>(std::move(acceptor)),
       hybrid_clock = hybrid_clock_](
          const StreamHeaders& /*headers*/,
          const std::shared_ptr<Stream>& stream) -> std::shared_ptr<StreamHandler> {
        auto channel = std::make_shared<StreamChannel>(hybrid_clock);
        if (!channel->Accept(stream, *shared)) {
          stream->Reset();
          return nullptr;
        }
        return channel;
      });
}

}  // namespace quetzal
