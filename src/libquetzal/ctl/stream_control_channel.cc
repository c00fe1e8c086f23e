#include "ctl/stream_control_channel.h"

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <utility>

namespace quetzal {
namespace {

constexpr std::size_t kMaxAnswerBytes = 16'777'216;

/// An answer while it is received.
class Answer final : public StreamHandler {
 public:
  void OnHeaders(StreamHeaders /*headers*/) override {}
  void OnData(std::string_view bytes) override {
    Change([&] {
      body_.append(bytes);
      unconsumed_ += bytes.size();
    });
  }
  void OnEnd() override {
    Change([&] { state_ = State::kWhole; });
  }
  void OnReset(ResultCode /*code*/) override {
    Change([&] { state_ = State::kFailed; });
  }

  /// Returns the number of bytes received since the last call; 0 once the answer has
  /// ended or failed, is too long, or `until` has passed.
  std::size_t AwaitData(std::chrono::steady_clock::time_point until) {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait_until(
        lock, until, [this] { return unconsumed_ > 0 || state_ != State::kReceiving; });
    if (state_ != State::kReceiving || body_.size() > kMaxAnswerBytes) return 0;
    return std::exchange(unconsumed_, 0);
  }

  /// Returns the body of an answer that has ended.
  std::optional<std::string> TakeBody() {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (state_ != State::kWhole || body_.size() > kMaxAnswerBytes) return std::nullopt;
    return std::move(body_);
  }

 private:
  enum class State { kReceiving, kWhole, kFailed };

  template <class Function>
  void Change(Function change) {
    const std::lock_guard<std::mutex> lock(mutex_);
    change();
    changed_.notify_all();
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  State state_ = State::kReceiving;
  std::string body_;
  std::size_t unconsumed_ = 0;
};

}  // namespace

std::optional<std::string> StreamControlChannel::Send(const Endpoint& control_instance,
                                                      const std::string& method,
                                                      const std::string& path_and_query,
                                                      const std::string& body,
                                                      Duration timeout) {
  const auto until = std::chrono::steady_clock::now() + timeout;
  StreamHeaders headers = {{":method", method}};
  if (!body.empty()) {
    headers.emplace_back("content-type", "application/json");
    headers.emplace_back("content-length", std::to_string(body.size()));
  }
  const auto answer = std::make_shared<Answer>();
  const auto stream = transport_->Open(control_instance, path_and_query,
                                       std::move(headers), body.empty(), answer);
  if (!body.empty()) stream->SendData(body, true);
  while (const std::size_t received = answer->AwaitData(until)) {
    stream->Consume(received);
  }
  std::optional<std::string> whole = answer->TakeBody();
  if (!whole) stream->Reset();
  return whole;
}

}  // namespace quetzal
