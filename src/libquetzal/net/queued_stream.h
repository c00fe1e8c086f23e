#ifndef QUETZAL_NET_QUEUED_STREAM_H_
#define QUETZAL_NET_QUEUED_STREAM_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>

#include "net/stream.h"

namespace quetzal {

class QueuedStream;

/// Connection that transports the data of its streams.
class StreamCarrier {
 public:
  virtual ~StreamCarrier() = default;

  /// Schedules processing of the work queued on `stream`; never processes it inside this
  /// call.
  virtual void Wake(const std::shared_ptr<QueuedStream>& stream) = 0;
};

/// A stream whose calls are queued for its carrier. Any thread may make the calls; the
/// carrier processes the queue on its strand. The mutex is never held during a call to
/// another object.
class QueuedStream : public Stream, public std::enable_shared_from_this<QueuedStream> {
 public:
  /// Operations requested since the last TakeWork.
  struct Work {
    bool has_headers = false;
    bool headers_end = false;
    bool has_data = false;
    bool reset = false;
    ResultCode reset_code = ResultCode::kOk;  ///< The handler is notified unless kOk.
    std::size_t consumed = 0;
    StreamHeaders headers;
  };

  /// Result of Read.
  struct Chunk {
    std::size_t size = 0;
    bool end = false;
    bool became_writable = false;  ///< Buffered bytes fell below the low mark.
  };

  /// SendData resets the stream with kOverloaded when more than `max_buffered_bytes` are
  /// waiting to be sent. Read reports when fewer than `low_mark_bytes` are left.
  QueuedStream(std::size_t max_buffered_bytes, std::size_t low_mark_bytes)
      : max_buffered_bytes_(max_buffered_bytes), low_mark_bytes_(low_mark_bytes) {}

  void SendHeaders(StreamHeaders headers, bool end) override;
  void SendData(std::string bytes, bool end) override;
  void Reset() override;
  void Consume(std::size_t n) override;
  std::size_t buffered_bytes() const override;

  /// True when the last bytes of the message have been queued.
  bool end_queued() const;

  /// Sets the carrier without keeping it alive. Work queued before this call stays queued
  /// until the carrier's next TakeWork.
  void Attach(std::weak_ptr<StreamCarrier> carrier);

  /// Releases the carrier and discards all bytes still queued; later calls do nothing.
  void Detach();

  /// Removes and returns the queued operations.
  Work TakeWork();

  /// Moves up to `capacity` bytes waiting to be sent into `buf`.
  Chunk Read(std::uint8_t* buf, std::size_t capacity);

 private:
  void Wake(std::unique_lock<std::mutex> lock);

  const std::size_t max_buffered_bytes_;
  const std::size_t low_mark_bytes_;
  mutable std::mutex mutex_;
  std::weak_ptr<StreamCarrier> carrier_;
  Work work_;
  std::deque<std::string> queue_;
  std::size_t front_offset_ = 0;
  std::size_t buffered_ = 0;
  bool end_queued_ = false;
  bool wake_scheduled_ = false;
  bool detached_ = false;
};

}  // namespace quetzal

#endif  // QUETZAL_NET_QUEUED_STREAM_H_
