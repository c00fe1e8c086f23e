#include "plugins/http1_beast/http1_connection.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace quetzal {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t kReadBytes = 64UL * 1024;
constexpr std::size_t kWriteBatchBytes = 64UL * 1024;
constexpr std::size_t kPumpBufferBytes = 16UL * 1024;
constexpr std::size_t kMaxRetainedBufferBytes = 4UL * 1024;

/// Clears `buf`. Frees its memory if it is large, else keeps it for the next message.
void ClearBuffer(std::string* buf) {
  buf->clear();
  if (buf->capacity() > kMaxRetainedBufferBytes) buf->shrink_to_fit();
}

}  // namespace

Http1Connection::Http1Connection(Socket socket)
    : strand_(socket.get_executor()), socket_(std::move(socket)), timer_(strand_) {}

void Http1Connection::Wake(const std::shared_ptr<QueuedStream>& stream) {
  asio::post(strand_, [self = shared_from_this(), stream] {
    if (!self->closed_) self->HandleWork(stream);
  });
}

void Http1Connection::SetSocketOptions() {
  boost::system::error_code ec;
  socket_.set_option(tcp::no_delay(true), ec);
  socket_.non_blocking(true, ec);
}

void Http1Connection::ScheduleRead() {
  if (reading_ || read_ended_ || closed_ || ReadLimit() == 0) return;
  reading_ = true;
  // No read buffer is allocated while waiting, which keeps idle connections small.
  socket_.async_wait(Socket::wait_read, [self = shared_from_this()](
                                            const boost::system::error_code& /*ec*/) {
    self->reading_ = false;
    if (!self->closed_) self->Readable();
  });
}

void Http1Connection::Readable() {
  static thread_local std::array<char, kReadBytes> buf;
  const std::size_t limit = std::min(ReadLimit(), buf.size());
  if (limit == 0) return;
  boost::system::error_code ec;
  const std::size_t n = socket_.read_some(asio::buffer(buf.data(), limit), ec);
  if (ec == asio::error::would_block) return ScheduleRead();
  if (ec) {
    read_ended_ = true;
    return ReadEnded(ec == asio::error::eof);
  }
  Received({buf.data(), n});
  ScheduleRead();
}

void Http1Connection::WatchForDisconnect() {
  socket_.async_wait(Socket::wait_error, [self = shared_from_this()](
                                             const boost::system::error_code& /*ec*/) {
    if (!self->closed_) self->ReadEnded(false);
  });
}

void Http1Connection::Write(std::string bytes) {
  if (queued_output_.empty()) {
    queued_output_ = std::move(bytes);
  } else {
    queued_output_.append(bytes);
  }
  StartWrite();
}

void Http1Connection::StartWrite() {
  if (writing_ || closed_ || queued_output_.empty()) return;
  active_output_.swap(queued_output_);
  writing_ = true;
  asio::async_write(socket_, asio::buffer(active_output_),
                    [self = shared_from_this()](const boost::system::error_code& ec,
                                                std::size_t /*size*/) {
                      self->writing_ = false;
                      ClearBuffer(&self->active_output_);
                      if (self->closed_) return;
                      if (ec) return self->WriteFailed();
                      if (self->queued_output_.empty()) return self->Written();
                      self->StartWrite();
                    });
}

bool Http1Connection::Pump(QueuedStream& stream, Http1Writer* writer,
                           StreamHandler* handler) {
  static thread_local std::array<std::uint8_t, kPumpBufferBytes> buf;
  bool became_writable = false;
  bool end = false;
  std::string bytes;
  while (!end && queued_output_.size() + bytes.size() < kWriteBatchBytes) {
    const QueuedStream::Chunk chunk = stream.Read(buf.data(), buf.size());
    became_writable = became_writable || chunk.became_writable;
    writer->AppendBody({reinterpret_cast<const char*>(buf.data()), chunk.size}, &bytes);
    end = chunk.end;
    if (chunk.size == 0) break;
  }
  if (end) writer->AppendEnd(&bytes);
  if (!bytes.empty()) Write(std::move(bytes));
  if (became_writable && handler != nullptr) handler->OnWritable();
  return end;
}

void Http1Connection::SetDeadline(Duration delay) {
  deadline_ = std::chrono::steady_clock::now() + delay;
  if (!timer_expiry_ || *timer_expiry_ > *deadline_) ArmTimer();
}

void Http1Connection::ArmTimer() {
  timer_expiry_ = deadline_;
  timer_.expires_at(*deadline_);
  timer_.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
    if (ec || self->closed_) return;
    self->timer_expiry_.reset();
    if (!self->deadline_) return;
    // The deadline may have been extended while the timer was running.
    if (std::chrono::steady_clock::now() < *self->deadline_) return self->ArmTimer();
    self->deadline_.reset();
    self->DeadlinePassed();
  });
}

void Http1Connection::ShutdownSend() {
  boost::system::error_code ec;
  socket_.shutdown(Socket::shutdown_send, ec);
}

void Http1Connection::CloseSocket() {
  if (closed_) return;
  closed_ = true;
  boost::system::error_code ec;
  socket_.close(ec);
  timer_.cancel();
}

}  // namespace quetzal
