#ifndef QUETZAL_STREAMS_RECORDING_HANDLER_H_
#define QUETZAL_STREAMS_RECORDING_HANDLER_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include "net/stream.h"

namespace quetzal {

/// Records the events of a stream; tests block on them with the Wait functions.
class RecordingHandler : public StreamHandler {
 public:
  void OnHeaders(StreamHeaders headers) override {
    Change([&] { headers_ = std::move(headers); });
  }
  void OnData(std::string_view bytes) override {
    Change([&] { body_.append(bytes); });
  }
  void OnEnd() override {
    Change([&] { ended_ = true; });
  }
  void OnReset(ResultCode code) override {
    Change([&] { reset_ = code; });
  }
  void OnWritable() override {
    Change([&] { ++writable_; });
  }

  /// Blocks until the stream ended; returns the code of its reset, or kOk.
  ResultCode WaitDone() {
    WaitFor([this] { return ended_ || reset_.has_value(); });
    return reset_.value_or(ResultCode::kOk);
  }
  ResultCode WaitReset() {
    WaitFor([this] { return reset_.has_value(); });
    return *reset_;
  }
  void WaitEnd() {
    WaitFor([this] { return ended_; });
  }
  void WaitWritable() {
    WaitFor([this] { return writable_ > 0; });
  }
  void WaitHeaders() {
    WaitFor([this] { return !headers_.empty(); });
  }
  void WaitBody(std::size_t size) {
    WaitFor([this, size] { return body_.size() >= size; });
  }

  std::string body() {
    std::lock_guard<std::mutex> lock(mutex_);
    return body_;
  }
  std::string header(const std::string& name) {
    std::lock_guard<std::mutex> lock(mutex_);
    return std::string(HeaderValue(headers_, name));
  }
  bool ended() {
    std::lock_guard<std::mutex> lock(mutex_);
    return ended_;
  }

 private:
  void Change(const std::function<void()>& change) {
    std::lock_guard<std::mutex> lock(mutex_);
    change();
    changed_.notify_all();
  }
  void WaitFor(const std::function<bool()>& met) {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait(lock, met);
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  StreamHeaders headers_;
  std::string body_;
  bool ended_ = false;
  std::optional<ResultCode> reset_;
  int writable_ = 0;
};

}  // namespace quetzal

#endif  // QUETZAL_STREAMS_RECORDING_HANDLER_H_
