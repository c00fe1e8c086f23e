#include "calls/local_stream.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <utility>

namespace quetzal {
namespace {

/// The sender is notified by OnWritable when its unconsumed bytes fall below this.
constexpr std::size_t kLowMarkBytes = std::size_t{32} * 1024;

constexpr std::size_t kMinPruneSize = 64;

}  // namespace

/// One end of a stream. Its handler is released when the stream ends, which breaks the
/// reference cycle between a call and its stream.
class LocalStreams::Side {
 public:
  void Bind(std::shared_ptr<StreamHandler> handler) {
    const std::lock_guard<std::mutex> lock(mutex_);
    handler_ = std::move(handler);
  }

  std::shared_ptr<StreamHandler> handler() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return handler_;
  }

  std::shared_ptr<StreamHandler> Release() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::move(handler_);
  }

  std::atomic<std::size_t> unconsumed{0};  ///< Bytes sent by this side.
  std::atomic<bool> ended{false};

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<StreamHandler> handler_;
};

struct LocalStreams::Pair {
  Side opener;
  Side acceptor;
};

/// Stream object of one side: sends to the handler of the other side.
class LocalStreams::Local final : public Stream {
 public:
  Local(std::shared_ptr<Pair> pair, Side* this_side, Side* other_side)
      : pair_(std::move(pair)), this_side_(this_side), other_side_(other_side) {}

  void SendHeaders(StreamHeaders headers, bool end) override {
    if (auto handler = other_side_->handler()) handler->OnHeaders(std::move(headers));
    if (end) End();
  }

  void SendData(std::string bytes, bool end) override {
    if (!bytes.empty()) {
      this_side_->unconsumed += bytes.size();
      if (auto handler = other_side_->handler()) handler->OnData(bytes);
    }
    if (end) End();
  }

  void Reset() override {
    this_side_->Release();
    if (auto handler = other_side_->Release()) handler->OnReset(ResultCode::kStreamReset);
  }

  void Consume(std::size_t n) override {
    const std::size_t before = other_side_->unconsumed.fetch_sub(n);
    if (before < kLowMarkBytes || before - n >= kLowMarkBytes) return;
    if (auto handler = other_side_->handler()) handler->OnWritable();
  }

  std::size_t buffered_bytes() const override { return this_side_->unconsumed; }

 private:
  void End() {
    // Once both sides have ended, either of them releases both handlers. The handler is
    // taken before that, or an end on another thread could release it unnotified.
    const std::shared_ptr<StreamHandler> handler = other_side_->handler();
    this_side_->ended = true;
    if (handler) handler->OnEnd();
    if (!other_side_->ended) return;
    this_side_->Release();
    other_side_->Release();
  }

  std::shared_ptr<Pair> pair_;
  Side* this_side_;
  Side* other_side_;
};

std::shared_ptr<Stream> LocalStreams::Open(
    const StreamAcceptor& acceptor, const std::string& path, const StreamHeaders& headers,
    bool end, const std::shared_ptr<StreamHandler>& handler) {
  auto pair = std::make_shared<Pair>();
  auto near = std::make_shared<Local>(pair, &pair->opener, &pair->acceptor);
  auto far = std::make_shared<Local>(pair, &pair->acceptor, &pair->opener);
  pair->opener.Bind(handler);
  pair->opener.ended = end;
  auto accepted = acceptor(path, headers, far);
  if (!accepted) return nullptr;
  pair->acceptor.Bind(accepted);
  if (end) accepted->OnEnd();
  if (pair->opener.ended && pair->acceptor.ended) {
    pair->opener.Release();
    pair->acceptor.Release();
  } else {
    Track(pair);
  }
  return near;
}

void LocalStreams::Track(const std::shared_ptr<Pair>& pair) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (open_.size() >= prune_at_) {
    open_.erase(std::remove_if(open_.begin(), open_.end(),
                               [](const auto& weak) { return weak.expired(); }),
                open_.end());
    prune_at_ = std::max(kMinPruneSize, 2 * open_.size());
  }
  open_.push_back(pair);
}

void LocalStreams::CloseAll() {
  std::vector<std::weak_ptr<Pair>> open;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    open.swap(open_);
  }
  // A call and its stream reference each other until one of them ends.
  for (const std::weak_ptr<Pair>& weak : open) {
    const std::shared_ptr<Pair> pair = weak.lock();
    if (pair == nullptr) continue;
    pair->opener.Release();
    pair->acceptor.Release();
  }
}

}  // namespace quetzal
