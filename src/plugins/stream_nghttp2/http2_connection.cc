#include "plugins/stream_nghttp2/http2_connection.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "net/message_framing.h"
#include "plugins/stream_nghttp2/http2_callbacks.h"
#include "plugins/stream_nghttp2/http2_connection_manager.h"
#include "plugins/stream_nghttp2/http2_stream.h"

namespace quetzal {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::chrono::milliseconds kTickPeriod{500};
constexpr std::chrono::seconds kLingerTimeout{1};
/// An accepted connection may be idle for this many times idle_timeout.
constexpr int kAcceptedIdleFactor = 4;
constexpr int kMaxStartAttempts = 3;
constexpr std::size_t kReadBytes = 64UL * 1024;
constexpr std::size_t kWriteBatchBytes = 64UL * 1024;
constexpr std::int32_t kConnectionWindowBytes = 1024 * 1024;

// Cancelled and hedged calls may reset streams as often as calls are made; the library's
// default reset limit is meant for untrusted peers.
constexpr std::uint64_t kResetBurst = 100000;
constexpr std::uint64_t kResetsPerSecond = 20000;

/// Excludes the time header from the HPACK dynamic table. Its value differs in every
/// message, so it would evict useful entries and slow down table lookups.
std::uint8_t IndexingFlagOf(std::string_view name) {
  return name == kTimeHeader ? NGHTTP2_NV_FLAG_NO_INDEX : NGHTTP2_NV_FLAG_NONE;
}

nghttp2_nv MakeField(std::string_view name, std::string_view value) {
  auto bytes = [](std::string_view text) {
    return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
  };
  return {bytes(name), bytes(value), name.size(), value.size(), IndexingFlagOf(name)};
}

void AppendFields(const StreamHeaders& headers, std::vector<nghttp2_nv>* fields) {
  for (const auto& [name, value] : headers) {
    if (!name.empty() && name[0] != ':') fields->push_back(MakeField(name, value));
  }
}

}  // namespace

Http2Connection::Http2Connection(std::shared_ptr<Http2ConnectionManager> manager,
                                 const Endpoint& peer)
    : manager_(std::move(manager)),
      peer_(peer),
      strand_(asio::make_strand(manager_->context())),
      socket_(strand_),
      timer_(strand_) {
  RecordActivity();
}

Http2Connection::Http2Connection(std::shared_ptr<Http2ConnectionManager> manager,
                                 Socket socket)
    : manager_(std::move(manager)),
      strand_(socket.get_executor()),
      socket_(std::move(socket)),
      timer_(strand_) {
  RecordActivity();
}

Http2Connection::~Http2Connection() {
  nghttp2_session_del(session_);
  // Breaks the reference cycle: handlers usually own a pointer to their stream.
  for (const auto& [id, stream] : streams_) stream->handler.reset();
  for (const auto& stream : unsubmitted_) stream->handler.reset();
}

void Http2Connection::RecordActivity() {
  last_received_ = std::chrono::steady_clock::now();
  last_used_ = last_received_.time_since_epoch().count();
}

void Http2Connection::Connect() {
  asio::post(strand_, [self = shared_from_this()] {
    self->timer_.expires_after(self->manager_->options().connect_timeout);
    self->timer_.async_wait([self](const boost::system::error_code& ec) {
      if (!ec && !self->session_) self->Close(ResultCode::kConnectFailed);
    });
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(self->peer_->address, ec);
    if (ec) return self->Close(ResultCode::kConnectFailed);
    self->socket_.async_connect(
        tcp::endpoint(address, self->peer_->port),
        [self](const boost::system::error_code& ec) { self->Connected(ec); });
  });
}

void Http2Connection::Connected(const boost::system::error_code& ec) {
  if (closed_) return;
  if (ec) return Close(ResultCode::kConnectFailed);
  MakeSession(false);
  for (const auto& stream : std::exchange(unsubmitted_, {})) SubmitRequest(stream);
  ReadMore();
  Tick();
  Flush();
}

void Http2Connection::Accept() {
  asio::post(strand_, [self = shared_from_this()] {
    self->manager_->AddAccepted(self);
    self->MakeSession(true);
    if (self->manager_->draining()) self->BeginDrain();
    self->ReadMore();
    self->Tick();
    self->Flush();
  });
}

void Http2Connection::MakeSession(bool server) {
  boost::system::error_code ec;
  socket_.set_option(tcp::no_delay(true), ec);
  const Http2Options& options = manager_->options();
  nghttp2_option* option = nullptr;
  nghttp2_option_new(&option);
  nghttp2_option_set_no_auto_window_update(option, 1);
  nghttp2_option_set_no_closed_streams(option, 1);
  // Http2Callbacks checks the fields instead of the library, because an answer to HEAD
  // may have a content-length without a body.
  nghttp2_option_set_no_http_messaging(option, 1);
  nghttp2_option_set_peer_max_concurrent_streams(option, options.max_concurrent_streams);
  nghttp2_option_set_stream_reset_rate_limit(option, kResetBurst, kResetsPerSecond);
  auto* const new_session =
      server ? nghttp2_session_server_new2 : nghttp2_session_client_new2;
  new_session(&session_, Http2Callbacks::Table(), this, option);
  nghttp2_option_del(option);

  const std::array<nghttp2_settings_entry, 4> settings{{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, options.max_concurrent_streams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, options.stream_window_bytes},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE,
       static_cast<std::uint32_t>(options.max_header_bytes)},
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
  }};
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(),
                          server ? settings.size() - 1 : settings.size());
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                        kConnectionWindowBytes);
}

void Http2Connection::Start(const std::shared_ptr<Http2Stream>& stream) {
  asio::post(strand_, [self = shared_from_this(), stream] { self->StartNow(stream); });
}

void Http2Connection::StartNow(const std::shared_ptr<Http2Stream>& stream) {
  if (closed_ || draining_) {
    --assigned_streams_;
    manager_->RemoveFromPool(*peer_, this);
    if (++stream->attempts < kMaxStartAttempts) return manager_->Start(*peer_, stream);
    ++assigned_streams_;
    return Finish(stream, ResultCode::kConnectFailed);
  }
  if (!session_) {
    unsubmitted_.push_back(stream);
    return;
  }
  const auto now = std::chrono::steady_clock::now();
  if (now - last_received_ >= manager_->options().ping_after) SendPing(now);
  SubmitRequest(stream);
  Flush();
}

void Http2Connection::SubmitRequest(const std::shared_ptr<Http2Stream>& stream) {
  stream->Attach(weak_from_this());
  std::string_view method = HeaderValue(stream->headers, ":method");
  if (method.empty()) method = "POST";
  const std::string authority = peer_->ToString();
  std::vector<nghttp2_nv> fields{
      MakeField(":method", method), MakeField(":scheme", "http"),
      MakeField(":path", stream->path), MakeField(":authority", authority)};
  AppendFields(stream->headers, &fields);
  const nghttp2_data_provider body = Http2Callbacks::BodyProvider(stream.get());
  const std::int32_t id =
      nghttp2_submit_request(session_, nullptr, fields.data(), fields.size(),
                             stream->request_ended ? nullptr : &body, stream.get());
  stream->headers.clear();
  if (id < 0) {
    // The stream ids of this connection are used up; new streams need a new connection.
    BeginDrain();
    return Finish(stream, ResultCode::kConnectFailed);
  }
  stream->id = id;
  streams_[id] = stream;
  HandleWork(*stream);
}

void Http2Connection::Wake(const std::shared_ptr<QueuedStream>& stream) {
  asio::post(strand_, [self = shared_from_this(),
                       stream = std::static_pointer_cast<Http2Stream>(stream)] {
    if (self->closed_ || self->Find(stream->id) != stream) return;
    self->HandleWork(*stream);
    self->Flush();
  });
}

void Http2Connection::HandleWork(Http2Stream& stream) {
  const Http2Stream::Work work = stream.TakeWork();
  if (work.consumed > 0) ReturnCredit(stream, work.consumed);
  if (work.reset) return ResetStream(stream, work.reset_code);
  if (work.has_headers && stream.accepted && !stream.answered) {
    SubmitAnswer(stream, work.headers, work.headers_end);
  }
  if (work.has_data && stream.deferred) {
    stream.deferred = false;
    nghttp2_session_resume_data(session_, stream.id);
  }
}

void Http2Connection::SubmitAnswer(Http2Stream& stream, const StreamHeaders& headers,
                                   bool end) {
  std::string_view status = HeaderValue(headers, ":status");
  if (status.empty()) status = "200";
  std::vector<nghttp2_nv> fields{MakeField(":status", status)};
  AppendFields(headers, &fields);
  if (IsInterimStatus(status)) {
    nghttp2_submit_headers(session_, NGHTTP2_FLAG_NONE, stream.id, nullptr, fields.data(),
                           fields.size(), nullptr);
    return;
  }
  stream.answered = true;
  const nghttp2_data_provider body = Http2Callbacks::BodyProvider(&stream);
  nghttp2_submit_response(session_, stream.id, fields.data(), fields.size(),
                          end ? nullptr : &body);
}

void Http2Connection::ResetStream(Http2Stream& stream, ResultCode handler_code) {
  if (!stream.done && handler_code != ResultCode::kOk && stream.handler) {
    stream.handler->OnReset(handler_code);
  }
  stream.done = true;
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream.id, NGHTTP2_CANCEL);
}

void Http2Connection::ReturnCredit(Http2Stream& stream, std::size_t n) {
  n = std::min(n, stream.unconsumed_bytes);
  stream.unconsumed_bytes -= n;
  manager_->unconsumed_bytes -= n;
  nghttp2_session_consume_stream(session_, stream.id, n);
  const std::size_t released = std::min(n, withheld_credit_);
  withheld_credit_ -= released;
  nghttp2_session_consume_connection(session_, released);
}

void Http2Connection::CloseWhenIdle() {
  asio::post(strand_, [self = shared_from_this()] {
    if (self->closed_) return;
    self->BeginDrain();
    self->Flush();
  });
}

void Http2Connection::BeginDrain() {
  if (draining_) return;
  draining_ = true;
  if (peer_) manager_->RemoveFromPool(*peer_, this);
  if (!session_) return;
  nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE,
                        nghttp2_session_get_last_proc_stream_id(session_),
                        NGHTTP2_NO_ERROR, nullptr, 0);
}

void Http2Connection::ReadMore() {
  // No read buffer is allocated while waiting, which keeps idle connections small.
  socket_.async_wait(Socket::wait_read,
                     [self = shared_from_this()](const boost::system::error_code& ec) {
                       if (self->closed_) return;
                       if (ec) return self->Close(ResultCode::kConnectionLost);
                       self->Readable();
                     });
}

void Http2Connection::Readable() {
  static thread_local std::array<std::uint8_t, kReadBytes> buf;
  boost::system::error_code ec;
  if (!socket_.non_blocking()) socket_.non_blocking(true, ec);
  const std::size_t n = socket_.read_some(asio::buffer(buf), ec);
  if (ec == asio::error::would_block) return ReadMore();
  if (ec) return Close(ResultCode::kConnectionLost);
  RecordActivity();
  ping_sent_.reset();
  if (nghttp2_session_mem_recv(session_, buf.data(), n) < 0) {
    return Close(ResultCode::kConnectionLost);
  }
  Flush();
  if (!closed_) ReadMore();
}

void Http2Connection::Flush() {
  if (writing_ || closed_ || !session_) return;
  out_.clear();
  while (out_.size() < kWriteBatchBytes) {
    const std::uint8_t* data = nullptr;
    const ssize_t n = nghttp2_session_mem_send(session_, &data);
    if (n < 0) return Close(ResultCode::kConnectionLost);
    if (n == 0) break;
    out_.append(reinterpret_cast<const char*>(data), n);
  }
  NotifyWritable();
  if (out_.empty()) {
    out_.shrink_to_fit();
    return CloseIfDone();
  }
  writing_ = true;
  asio::async_write(socket_, asio::buffer(out_),
                    [self = shared_from_this()](const boost::system::error_code& ec,
                                                std::size_t /*size*/) {
                      self->writing_ = false;
                      if (self->closed_) return;
                      if (ec) return self->Close(ResultCode::kConnectionLost);
                      self->Flush();
                    });
}

void Http2Connection::NotifyWritable() {
  for (Http2Stream* stream : std::exchange(writable_, {})) {
    const auto live = Find(stream->id);
    if (live.get() == stream && !live->done && live->handler) live->handler->OnWritable();
  }
}

void Http2Connection::SendPing(SteadyTime now) {
  if (ping_sent_) return;
  ping_sent_ = now;
  nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
}

void Http2Connection::Tick() {
  const auto now = std::chrono::steady_clock::now();
  const Http2Options& options = manager_->options();
  // If this process was suspended, bytes from the peer may still be unread in the socket,
  // so the ping timeout starts again.
  if (last_tick_ != SteadyTime() && now - last_tick_ > 2 * kTickPeriod) {
    ping_sent_.reset();
    last_received_ = now;
  }
  last_tick_ = now;
  const Duration since_received = now - last_received_;
  if (ping_sent_ && now - *ping_sent_ >= options.ping_timeout) {
    return Close(ResultCode::kConnectionLost);
  }
  if (drained_since_ && now - *drained_since_ >= kLingerTimeout) {
    return Close(ResultCode::kConnectionLost);
  }
  if (!streams_.empty() && since_received >= options.ping_after) SendPing(now);
  const Duration idle_limit =
      peer_ ? options.idle_timeout : kAcceptedIdleFactor * options.idle_timeout;
  if (assigned_streams_ == 0 && now - last_used() >= idle_limit) BeginDrain();
  Flush();
  if (closed_) return;
  timer_.expires_after(kTickPeriod);
  timer_.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
    if (!ec && !self->closed_) self->Tick();
  });
}

void Http2Connection::CloseIfDone() {
  if (!nghttp2_session_want_read(session_) && !nghttp2_session_want_write(session_)) {
    return Close(ResultCode::kConnectionLost);
  }
  if (!draining_ || !streams_.empty() || drained_since_) return;
  if (peer_) return Close(ResultCode::kConnectionLost);
  // The peer closes the connection after it has read the GOAWAY. Closing it here first
  // could discard the GOAWAY before the peer reads it.
  drained_since_ = std::chrono::steady_clock::now();
}

void Http2Connection::Close(ResultCode code) {
  if (closed_) return;
  closed_ = true;
  const auto self = shared_from_this();
  boost::system::error_code ec;
  socket_.close(ec);
  timer_.cancel();
  if (peer_) manager_->RemoveFromPool(*peer_, this);
  manager_->Remove(self);
  auto streams = std::exchange(streams_, {});
  for (const auto& stream : std::exchange(unsubmitted_, {})) {
    Finish(stream, ResultCode::kConnectFailed);
  }
  for (const auto& [id, stream] : streams) {
    const bool unsent = !stream->accepted && !stream->headers_sent;
    Finish(stream, unsent ? ResultCode::kConnectFailed : code);
  }
}

void Http2Connection::Finish(const std::shared_ptr<Http2Stream>& stream,
                             ResultCode code) {
  --assigned_streams_;
  --manager_->open_streams;
  manager_->unconsumed_bytes -= stream->unconsumed_bytes;
  last_used_ = std::chrono::steady_clock::now().time_since_epoch().count();
  const bool reset_before_start = stream->id < 0 && stream->TakeWork().reset;
  const auto handler = std::move(stream->handler);
  stream->Detach();
  if (code == ResultCode::kOk || stream->done || reset_before_start || !handler) return;
  stream->done = true;
  handler->OnReset(code);
}

std::shared_ptr<Http2Stream> Http2Connection::Find(std::int32_t id) const {
  const auto it = streams_.find(id);
  return it == streams_.end() ? nullptr : it->second;
}

void Http2Connection::HeadersBegan(std::int32_t id) {
  auto stream = std::make_shared<Http2Stream>(manager_->options());
  stream->accepted = true;
  stream->id = id;
  stream->Attach(weak_from_this());
  streams_[id] = std::move(stream);
  ++assigned_streams_;
  ++manager_->open_streams;
}

void Http2Connection::RequestArrived(const std::shared_ptr<Http2Stream>& stream) {
  if (draining_) {
    stream->done = true;
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream->id,
                              NGHTTP2_REFUSED_STREAM);
    return;
  }
  const StreamHeaders headers = std::move(stream->headers);
  const StreamAcceptor acceptor = manager_->acceptor();
  if (acceptor) stream->handler = acceptor(stream->path, headers, stream);
  if (stream->handler) return;
  stream->done = true;
  const auto& info = InfoOf(ResultCode::kMethodUnknown);
  SubmitAnswer(*stream,
               {{":status", std::to_string(info.http_status)},
                {"x-qz-code", std::to_string(static_cast<int>(info.code))}},
               true);
}

void Http2Connection::DataArrived(Http2Stream& stream, const std::uint8_t* data,
                                  std::size_t size) {
  stream.unconsumed_bytes += size;
  manager_->unconsumed_bytes += size;
  // Returns connection-level credit at once, so that one slow reader does not block the
  // other streams, unless all connections together hold too many unconsumed bytes.
  if (manager_->unconsumed_bytes <= manager_->options().max_unconsumed_bytes) {
    nghttp2_session_consume_connection(session_, size);
  } else {
    withheld_credit_ += size;
  }
  if (stream.done || !stream.handler) return ReturnCredit(stream, size);
  stream.handler->OnData({reinterpret_cast<const char*>(data), size});
}

void Http2Connection::EndArrived(Http2Stream& stream) {
  stream.end_received = true;
  if (!stream.done && stream.handler) stream.handler->OnEnd();
}

void Http2Connection::FrameSent(std::int32_t id, bool end) {
  const auto stream = Find(id);
  if (!stream) return;
  stream->headers_sent = true;
  if (!end) return;
  stream->end_sent = true;
  // The answer is complete; the rest of the request is not needed.
  if (stream->accepted && !stream->end_received) {
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_NO_ERROR);
  }
}

void Http2Connection::StreamClosed(std::int32_t id, std::uint32_t error_code) {
  const auto it = streams_.find(id);
  if (it == streams_.end()) return;
  const auto stream = std::move(it->second);
  streams_.erase(it);
  const std::size_t released = std::min(stream->unconsumed_bytes, withheld_credit_);
  withheld_credit_ -= released;
  nghttp2_session_consume_connection(session_, released);
  ResultCode code = ResultCode::kStreamReset;
  if (stream->end_sent && (stream->accepted || stream->end_received)) {
    code = ResultCode::kOk;
  } else if (!stream->accepted &&
             (!stream->headers_sent || error_code == NGHTTP2_REFUSED_STREAM)) {
    code = ResultCode::kConnectFailed;
  }
  Finish(stream, code);
}

}  // namespace quetzal
