#include "net/stream_rpc_client.h"

#include <mutex>
#include <utility>

#include "net/message_framing.h"

namespace quetzal {

class StreamRpcClient::PendingCall final
    : public StreamHandler,
      public std::enable_shared_from_this<PendingCall> {
 public:
  PendingCall(HybridClock* hybrid_clock, RpcReply reply)
      : hybrid_clock_(hybrid_clock), reply_(std::move(reply)) {}

  void Begin(StreamTransport* transport, Executor* executor, const Endpoint& peer,
             const std::string& method, std::string request, Duration timeout) {
    const bool empty = request.empty();
    // Locked while the stream opens, so that a callback cannot find the members unset.
    std::lock_guard<std::mutex> lock(mutex_);
    timer_ = executor->After(timeout, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->Finish(ResultCode::kTimeout, true);
    });
    stream_ = transport->Open(
        peer, method,
        {{":method", "POST"}, {kTimeHeader, hybrid_clock_->Tick().ToString()}}, empty,
        shared_from_this());
    if (!empty) stream_->SendData(std::move(request), true);
  }

  void OnHeaders(StreamHeaders headers) override {
    code_ = CodeOf(headers);
    try {
      ObserveTimeOf(headers, hybrid_clock_);
    } catch (const Error& error) {
      Finish(error.code(), true);
    }
  }

  void OnData(std::string_view bytes) override {
    body_.append(bytes);
    if (body_.size() > kMaxMessageBytes) {
      Finish(ResultCode::kMessageMalformed, true);
      return;
    }
    std::shared_ptr<Stream> stream;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      stream = stream_;
    }
    if (stream) stream->Consume(bytes.size());
  }

  void OnEnd() override { Finish(code_, false); }
  void OnReset(ResultCode code) override { Finish(code, false); }

 private:
  void Finish(ResultCode code, bool reset) {
    RpcReply reply;
    std::shared_ptr<Stream> stream;
    std::unique_ptr<Timer> timer;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      reply.swap(reply_);
      stream.swap(stream_);
      timer.swap(timer_);
    }
    if (!reply) return;
    if (reset && stream) stream->Reset();
    reply(code, code == ResultCode::kOk ? std::move(body_) : std::string());
  }

  HybridClock* hybrid_clock_;
  ResultCode code_ = ResultCode::kOk;  ///< Used on the stream's strand only.
  std::string body_;                   ///< Used on the stream's strand only.
  std::mutex mutex_;
  RpcReply reply_;
  std::shared_ptr<Stream> stream_;
  std::unique_ptr<Timer> timer_;
};

void StreamRpcClient::Call(const Endpoint& peer, const std::string& method,
                           std::string request, Duration timeout, RpcReply reply) {
  std::make_shared<PendingCall>(hybrid_clock_, std::move(reply))
      ->Begin(transport_, executor_, peer, method, std::move(request), timeout);
}

}  // namespace quetzal
