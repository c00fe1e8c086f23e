#include "plugins/stream_nghttp2/http2_connection.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "net/message_framing.h"
#include "plugins/stream_nghttp2/http2_callbacks.h"
#include "plugins/stream_nghttp2/http2_host.h"
#include "plugins/stream_nghttp2/http2_stream.h"

namespace quetzal {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::chrono::milliseconds kTickPeriod{500};
constexpr std::chrono::seconds kLinger{1};
constexpr int kAcceptedIdleFactor = 4;
constexpr int kMaxStartAttempts = 3;
constexpr std::size_t kReadBytes = 64UL * 1024;
constexpr std::size_t kWriteBatchBytes = 64UL * 1024;
constexpr std::int32_t kConnectionWindowBytes = 1024 * 1024;

// Cancelled and hedged calls reset streams at the rate of calls; the library's default
// limit on resets is meant for strangers.
constexpr std::uint64_t kResetBurst = 100000;
constexpr std::uint64_t kResetsPerSecond = 20000;

/// A value that is new in each message would only push useful entries out of the table of
/// compressed headers, and its search would compare it with each of its predecessors.
std::uint8_t IndexingOf(std::string_view name) {
  return name == kTimeHeader ? NGHTTP2_NV_FLAG_NO_INDEX : NGHTTP2_NV_FLAG_NONE;
}

nghttp2_nv Field(std::string_view name, std::string_view value) {
  auto bytes = [](std::string_view text) {
    return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
  };
  return {bytes(name), bytes(value), name.size(), value.size(), IndexingOf(name)};
}

void AppendFields(const StreamHeaders& headers, std::vector<nghttp2_nv>* fields) {
  for (const auto& [name, value] : headers) {
    if (!name.empty() && name[0] != ':') fields->push_back(Field(name, value));
  }
}

}  // namespace

Http2Connection::Http2Connection(std::shared_ptr<Http2Host> host, const Endpoint& peer)
    : host_(std::move(host)),
      peer_(peer),
      strand_(asio::make_strand(host_->context())),
      socket_(strand_),
      timer_(strand_) {
  Touch();
}

Http2Connection::Http2Connection(std::shared_ptr<Http2Host> host, Socket socket)
    : host_(std::move(host)),
      strand_(socket.get_executor()),
      socket_(std::move(socket)),
      timer_(strand_) {
  Touch();
}

Http2Connection::~Http2Connection() {
  nghttp2_session_del(session_);
  // Handlers usually hold their stream.
  for (const auto& [id, stream] : streams_) stream->handler.reset();
  for (const auto& stream : waiting_) stream->handler.reset();
}

void Http2Connection::Touch() {
  last_received_ = std::chrono::steady_clock::now();
  last_used_ = last_received_.time_since_epoch().count();
}

void Http2Connection::Connect() {
  asio::post(strand_, [self = shared_from_this()] {
    self->timer_.expires_after(self->host_->options().connect_timeout);
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
  for (const auto& stream : std::exchange(waiting_, {})) SubmitRequest(stream);
  ReadMore();
  Tick();
  Flush();
}

void Http2Connection::Accept() {
  asio::post(strand_, [self = shared_from_this()] {
    self->host_->AddAccepted(self);
    self->MakeSession(true);
    if (self->host_->draining()) self->BeginDrain();
    self->ReadMore();
    self->Tick();
    self->Flush();
  });
}

void Http2Connection::MakeSession(bool server) {
  boost::system::error_code ec;
  socket_.set_option(tcp::no_delay(true), ec);
  const Http2Options& options = host_->options();
  nghttp2_option* option = nullptr;
  nghttp2_option_new(&option);
  nghttp2_option_set_no_auto_window_update(option, 1);
  nghttp2_option_set_no_closed_streams(option, 1);
  // Fields are checked in Http2Callbacks; a HEAD answer's content-length must pass.
  nghttp2_option_set_no_http_messaging(option, 1);
  nghttp2_option_set_peer_max_concurrent_streams(option, options.max_concurrent_streams);
  nghttp2_option_set_stream_reset_rate_limit(option, kResetBurst, kResetsPerSecond);
  auto* const make = server ? nghttp2_session_server_new2 : nghttp2_session_client_new2;
  make(&session_, Http2Callbacks::Table(), this, option);
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
    --users_;
    host_->Unpool(*peer_, this);
    if (++stream->attempts < kMaxStartAttempts) return host_->Start(*peer_, stream);
    ++users_;
    return Finish(stream, ResultCode::kConnectFailed);
  }
  if (!session_) {
    waiting_.push_back(stream);
    return;
  }
  const auto now = std::chrono::steady_clock::now();
  if (now - last_received_ >= host_->options().ping_after) SendPing(now);
  SubmitRequest(stream);
  Flush();
}

void Http2Connection::SubmitRequest(const std::shared_ptr<Http2Stream>& stream) {
  stream->Attach(weak_from_this());
  std::string_view method = HeaderValue(stream->headers, ":method");
  if (method.empty()) method = "POST";
  const std::string authority = peer_->ToString();
  std::vector<nghttp2_nv> fields{Field(":method", method), Field(":scheme", "http"),
                                 Field(":path", stream->path),
                                 Field(":authority", authority)};
  AppendFields(stream->headers, &fields);
  const nghttp2_data_provider body = Http2Callbacks::Body(stream.get());
  const std::int32_t id =
      nghttp2_submit_request(session_, nullptr, fields.data(), fields.size(),
                             stream->request_ended ? nullptr : &body, stream.get());
  stream->headers.clear();
  if (id < 0) {
    // Stream numbers are used up: a new connection starts again at one.
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
  if (work.consumed > 0) PayCredit(stream, work.consumed);
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
  std::vector<nghttp2_nv> fields{Field(":status", status)};
  AppendFields(headers, &fields);
  if (IsInterimStatus(status)) {
    nghttp2_submit_headers(session_, NGHTTP2_FLAG_NONE, stream.id, nullptr, fields.data(),
                           fields.size(), nullptr);
    return;
  }
  stream.answered = true;
  const nghttp2_data_provider body = Http2Callbacks::Body(&stream);
  nghttp2_submit_response(session_, stream.id, fields.data(), fields.size(),
                          end ? nullptr : &body);
}

void Http2Connection::ResetStream(Http2Stream& stream, ResultCode told) {
  if (!stream.dead && told != ResultCode::kOk && stream.handler) {
    stream.handler->OnReset(told);
  }
  stream.dead = true;
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream.id, NGHTTP2_CANCEL);
}

void Http2Connection::PayCredit(Http2Stream& stream, std::size_t n) {
  n = std::min(n, stream.held_bytes);
  stream.held_bytes -= n;
  host_->held_bytes -= n;
  nghttp2_session_consume_stream(session_, stream.id, n);
  const std::size_t debt = std::min(n, credit_debt_);
  credit_debt_ -= debt;
  nghttp2_session_consume_connection(session_, debt);
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
  if (peer_) host_->Unpool(*peer_, this);
  if (!session_) return;
  nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE,
                        nghttp2_session_get_last_proc_stream_id(session_),
                        NGHTTP2_NO_ERROR, nullptr, 0);
}

void Http2Connection::ReadMore() {
  // Waiting without a buffer keeps an idle connection small.
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
  Touch();
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
  TellWritable();
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

void Http2Connection::TellWritable() {
  for (Http2Stream* stream : std::exchange(writable_, {})) {
    const auto live = Find(stream->id);
    if (live.get() == stream && !live->dead && live->handler) live->handler->OnWritable();
  }
}

void Http2Connection::SendPing(SteadyTime now) {
  if (ping_sent_) return;
  ping_sent_ = now;
  nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
}

void Http2Connection::Tick() {
  const auto now = std::chrono::steady_clock::now();
  const Http2Options& options = host_->options();
  // After a pause of this process the peer's bytes may wait unread in the socket.
  if (last_tick_ != SteadyTime() && now - last_tick_ > 2 * kTickPeriod) {
    ping_sent_.reset();
    last_received_ = now;
  }
  last_tick_ = now;
  const Duration silence = now - last_received_;
  if (ping_sent_ && now - *ping_sent_ >= options.ping_timeout) {
    return Close(ResultCode::kConnectionLost);
  }
  if (done_since_ && now - *done_since_ >= kLinger) {
    return Close(ResultCode::kConnectionLost);
  }
  if (!streams_.empty() && silence >= options.ping_after) SendPing(now);
  const Duration idle_limit =
      peer_ ? options.idle_timeout : kAcceptedIdleFactor * options.idle_timeout;
  if (users_ == 0 && now - last_used() >= idle_limit) BeginDrain();
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
  if (!draining_ || !streams_.empty() || done_since_) return;
  if (peer_) return Close(ResultCode::kConnectionLost);
  // The peer closes after it has read the GOAWAY; closing first could destroy it.
  done_since_ = std::chrono::steady_clock::now();
}

void Http2Connection::Close(ResultCode code) {
  if (closed_) return;
  closed_ = true;
  const auto self = shared_from_this();
  boost::system::error_code ec;
  socket_.close(ec);
  timer_.cancel();
  if (peer_) host_->Unpool(*peer_, this);
  host_->Remove(self);
  auto streams = std::exchange(streams_, {});
  for (const auto& stream : std::exchange(waiting_, {})) {
    Finish(stream, ResultCode::kConnectFailed);
  }
  for (const auto& [id, stream] : streams) {
    const bool unsent = !stream->accepted && !stream->headers_sent;
    Finish(stream, unsent ? ResultCode::kConnectFailed : code);
  }
}

void Http2Connection::Finish(const std::shared_ptr<Http2Stream>& stream,
                             ResultCode code) {
  --users_;
  --host_->open_streams;
  host_->held_bytes -= stream->held_bytes;
  last_used_ = std::chrono::steady_clock::now().time_since_epoch().count();
  const bool reset_before_start = stream->id < 0 && stream->TakeWork().reset;
  const auto handler = std::move(stream->handler);
  stream->Detach();
  if (code == ResultCode::kOk || stream->dead || reset_before_start || !handler) return;
  stream->dead = true;
  handler->OnReset(code);
}

std::shared_ptr<Http2Stream> Http2Connection::Find(std::int32_t id) const {
  const auto it = streams_.find(id);
  return it == streams_.end() ? nullptr : it->second;
}

void Http2Connection::HeadersBegan(std::int32_t id) {
  auto stream = std::make_shared<Http2Stream>(host_->options());
  stream->accepted = true;
  stream->id = id;
  stream->Attach(weak_from_this());
  streams_[id] = std::move(stream);
  ++users_;
  ++host_->open_streams;
}

void Http2Connection::RequestArrived(const std::shared_ptr<Http2Stream>& stream) {
  if (draining_) {
    stream->dead = true;
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream->id,
                              NGHTTP2_REFUSED_STREAM);
    return;
  }
  const StreamHeaders headers = std::move(stream->headers);
  const StreamAcceptor acceptor = host_->acceptor();
  if (acceptor) stream->handler = acceptor(stream->path, headers, stream);
  if (stream->handler) return;
  stream->dead = true;
  const auto& info = InfoOf(ResultCode::kMethodUnknown);
  SubmitAnswer(*stream,
               {{":status", std::to_string(info.http_status)},
                {"x-qz-code", std::to_string(static_cast<int>(info.code))}},
               true);
}

void Http2Connection::DataArrived(Http2Stream& stream, const std::uint8_t* data,
                                  std::size_t size) {
  stream.held_bytes += size;
  host_->held_bytes += size;
  // Connection credit returns at once, so that one slow reader does not stop the other
  // streams, as long as all connections together hold little.
  if (host_->held_bytes <= host_->options().max_held_bytes) {
    nghttp2_session_consume_connection(session_, size);
  } else {
    credit_debt_ += size;
  }
  if (stream.dead || !stream.handler) return PayCredit(stream, size);
  stream.handler->OnData({reinterpret_cast<const char*>(data), size});
}

void Http2Connection::EndArrived(Http2Stream& stream) {
  stream.end_received = true;
  if (!stream.dead && stream.handler) stream.handler->OnEnd();
}

void Http2Connection::FrameSent(std::int32_t id, bool end) {
  const auto stream = Find(id);
  if (!stream) return;
  stream->headers_sent = true;
  if (!end) return;
  stream->end_sent = true;
  // The answer is whole; the rest of the request is not wanted.
  if (stream->accepted && !stream->end_received) {
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_NO_ERROR);
  }
}

void Http2Connection::StreamClosed(std::int32_t id, std::uint32_t error_code) {
  const auto it = streams_.find(id);
  if (it == streams_.end()) return;
  const auto stream = std::move(it->second);
  streams_.erase(it);
  const std::size_t debt = std::min(stream->held_bytes, credit_debt_);
  credit_debt_ -= debt;
  nghttp2_session_consume_connection(session_, debt);
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
