#include "net/queued_stream.h"

#include <algorithm>
#include <utility>

namespace quetzal {

void QueuedStream::SendHeaders(StreamHeaders headers, bool end) {
  std::unique_lock<std::mutex> lock(mutex_);
  if (detached_) return;
  work_.has_headers = true;
  work_.headers = std::move(headers);
  work_.headers_end = end;
  Wake(std::move(lock));
}

void QueuedStream::SendData(std::string bytes, bool end) {
  std::unique_lock<std::mutex> lock(mutex_);
  if (detached_ || end_queued_) return;
  if (buffered_ > max_buffered_bytes_) {
    work_.reset = true;
    work_.reset_code = ResultCode::kOverloaded;
    Wake(std::move(lock));
    return;
  }
  buffered_ += bytes.size();
  if (!bytes.empty()) queue_.push_back(std::move(bytes));
  end_queued_ = end;
  work_.has_data = true;
  Wake(std::move(lock));
}

void QueuedStream::Reset() {
  std::unique_lock<std::mutex> lock(mutex_);
  if (detached_) return;
  work_.reset = true;
  Wake(std::move(lock));
}

void QueuedStream::Consume(std::size_t n) {
  std::unique_lock<std::mutex> lock(mutex_);
  if (detached_) return;
  work_.consumed += n;
  Wake(std::move(lock));
}

std::size_t QueuedStream::buffered_bytes() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return buffered_;
}

bool QueuedStream::end_queued() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return end_queued_;
}

void QueuedStream::Attach(std::weak_ptr<StreamCarrier> carrier) {
  std::lock_guard<std::mutex> lock(mutex_);
  carrier_ = std::move(carrier);
  wake_scheduled_ = false;
}

void QueuedStream::Detach() {
  std::deque<std::string> queue;
  std::lock_guard<std::mutex> lock(mutex_);
  detached_ = true;
  buffered_ = 0;
  carrier_.reset();
  queue.swap(queue_);
}

QueuedStream::Work QueuedStream::TakeWork() {
  std::lock_guard<std::mutex> lock(mutex_);
  wake_scheduled_ = false;
  return std::exchange(work_, Work{});
}

QueuedStream::Chunk QueuedStream::Read(std::uint8_t* buf, std::size_t capacity) {
  Chunk chunk;
  std::lock_guard<std::mutex> lock(mutex_);
  const bool was_above_low_mark = buffered_ >= low_mark_bytes_;
  while (!queue_.empty() && chunk.size < capacity) {
    const std::string& front = queue_.front();
    const std::size_t n = std::min(capacity - chunk.size, front.size() - front_offset_);
    std::copy_n(front.data() + front_offset_, n, buf + chunk.size);
    chunk.size += n;
    front_offset_ += n;
    if (front_offset_ < front.size()) continue;
    queue_.pop_front();
    front_offset_ = 0;
  }
  buffered_ -= chunk.size;
  chunk.end = end_queued_ && queue_.empty();
  chunk.became_writable = was_above_low_mark && buffered_ < low_mark_bytes_;
  return chunk;
}

void QueuedStream::Wake(std::unique_lock<std::mutex> lock) {
  if (wake_scheduled_) return;
  const auto carrier = carrier_.lock();
  if (!carrier) return;
  wake_scheduled_ = true;
  lock.unlock();
  carrier->Wake(shared_from_this());
}

}  // namespace quetzal
