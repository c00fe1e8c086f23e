#include "plugins/http1_beast/http1_client_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstdint>
#include <utility>

#include <boost/asio/post.hpp>

#include "plugins/http1_beast/http1_connection_manager.h"

namespace quetzal {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int kSwitchingProtocols = 101;
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;

/// An idle connection is closed this much earlier than the peer's Keep-Alive timeout.
/// Otherwise a request could be sent while the peer closes the connection.
constexpr std::chrono::seconds kIdleCloseMargin{1};

/// Returns N seconds for "timeout=N" in a Keep-Alive field, zero when there is none.
Duration ParseKeepAliveTimeout(std::string_view keep_alive) {
  constexpr std::string_view kName = "timeout=";
  const std::size_t at = keep_alive.find(kName);
  if (at == std::string_view::npos) return Duration::zero();
  std::uint32_t seconds = 0;
  const char* begin = keep_alive.data() + at + kName.size();
  std::from_chars(begin, keep_alive.data() + keep_alive.size(), seconds);
  return std::chrono::seconds(seconds);
}

/// Interim answers, and late answers to earlier requests, that may precede an answer. A
/// server in trouble may send them without end.
constexpr std::size_t kMaxSkippedMessages = 16;

/// Requests whose answers a server may repeat later on their connection.
constexpr std::size_t kMaxEchoes = 16;

[[noreturn]] void ThrowNoAnswer() {
  throw Error(ResultCode::kAnswerCut, "the answer does not begin");
}

}  // namespace

Http1ClientConnection::Http1ClientConnection(
    std::shared_ptr<Http1ConnectionManager> manager, const Endpoint& peer,
    bool within_limit)
    : Http1Connection(Socket(asio::make_strand(manager->context()))),
      manager_(std::move(manager)),
      peer_(peer),
      within_limit_(within_limit) {}

Http1ClientConnection::~Http1ClientConnection() {
  // Breaks the reference cycle: handlers usually own a pointer to their stream.
  if (stream_) stream_->handler.reset();
}

void Http1ClientConnection::Run(const std::shared_ptr<Http1ClientStream>& stream) {
  asio::post(strand(),
             [self = std::static_pointer_cast<Http1ClientConnection>(shared_from_this()),
              stream] {
               if (self->closed()) return self->manager_->Start(stream);
               self->stream_ = stream;
               if (!self->connected_) return self->Connect();
               if (self->IsReusable() && !self->HasSentEchoOf(*stream)) {
                 return self->SendRequest();
               }
               self->stream_.reset();
               self->Fail(ResultCode::kOk);
               self->manager_->Start(stream);
             });
}

void Http1ClientConnection::Open(std::function<void(bool)> done) {
  asio::post(strand(),
             [self = std::static_pointer_cast<Http1ClientConnection>(shared_from_this()),
              done = std::move(done)]() mutable {
               self->on_open_ = std::move(done);
               self->Connect();
             });
}

void Http1ClientConnection::Connect() {
  boost::system::error_code ec;
  const auto address = asio::ip::make_address(peer_.address, ec);
  if (!within_limit_ || ec) return Fail(ResultCode::kConnectFailed);
  SetDeadline(manager_->options().connect_timeout);
  socket().async_connect(
      tcp::endpoint(address, peer_.port),
      [self = std::static_pointer_cast<Http1ClientConnection>(shared_from_this())](
          const boost::system::error_code& ec) { self->Connected(ec); });
}

void Http1ClientConnection::Connected(const boost::system::error_code& ec) {
  if (closed()) return;
  if (ec) return Fail(ResultCode::kConnectFailed);
  connected_ = true;
  SetSocketOptions();
  if (stream_) return SendRequest();
  const auto done = std::exchange(on_open_, nullptr);
  Idle();
  ScheduleRead();
  done(true);
}

void Http1ClientConnection::Idle() {
  SetDeadline(IdleLimit());
  const auto self = std::static_pointer_cast<Http1ClientConnection>(shared_from_this());
  if (!manager_->AddIdle(self)) Fail(ResultCode::kOk);
}

bool Http1ClientConnection::IsReusable() {
  char byte = 0;
  boost::system::error_code ec;
  socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
  return ec == asio::error::would_block;
}

void Http1ClientConnection::ResetParser() {
  skip_message_ = false;
  parser_ = std::make_unique<Http1Parser>(
      head_request_ ? Http1MessageKind::kAnswerToHead : Http1MessageKind::kAnswer,
      manager_->options());
}

void Http1ClientConnection::SendRequest() {
  ClearDeadline();
  std::string_view method = HeaderValue(stream_->headers, ":method");
  if (method.empty()) method = "GET";
  head_request_ = method == "HEAD";
  skipped_messages_ = 0;
  skipped_bytes_ = 0;
  ResetParser();
  writer_ = Http1Writer();
  unconsumed_bytes_ = 0;
  sent_ = request_done_ = answer_begun_ = answer_done_ = keep_alive_ = false;
  ++requests_;
  RecordEcho();
  std::string head;
  try {
    head = writer_.RequestHead(method, stream_->path, peer_.ToString(), stream_->headers,
                               !stream_->request_ended, stream_->dedicated);
    if (stream_->request_ended) writer_.AppendEnd(&head);
  } catch (const Error& error) {
    return Fail(error.code());
  }
  stream_->headers.clear();
  stream_->Attach(weak_from_this());
  const QueuedStream::Work work = stream_->TakeWork();
  if (work.reset) return Fail(work.reset_code);
  sent_ = true;
  Write(std::move(head));
  request_done_ = stream_->request_ended;
  if (!request_done_) PumpRequest();
  ScheduleRead();
}

void Http1ClientConnection::PumpRequest() {
  const auto stream = stream_;
  try {
    request_done_ = Pump(*stream, &writer_, stream->handler.get());
  } catch (const Error&) {
    Fail(ResultCode::kRequestMalformed);
  }
}

void Http1ClientConnection::HandleWork(const std::shared_ptr<QueuedStream>& stream) {
  if (stream != stream_) return;
  const QueuedStream::Work work = stream->TakeWork();
  unconsumed_bytes_ -= std::min(unconsumed_bytes_, work.consumed);
  if (work.reset) return Fail(work.reset_code);
  if (work.has_data && !request_done_) PumpRequest();
  ScheduleRead();
}

std::size_t Http1ClientConnection::ReadLimit() const {
  if (!stream_) return 1;
  const std::size_t window = manager_->options().window_bytes;
  return unconsumed_bytes_ < window ? window - unconsumed_bytes_ : 0;
}

void Http1ClientConnection::Received(std::string_view bytes) {
  // Unsolicited bytes make the connection unusable for later requests.
  if (!stream_) return Fail(ResultCode::kOk);
  try {
    while (!bytes.empty() && !answer_done_) {
      bytes.remove_prefix(parser_->Parse(bytes, this));
      if (skip_message_ && parser_->done()) ResetParser();
    }
  } catch (const Error&) {
    return Fail(ResultCode::kAnswerCut);
  }
  if (answer_done_) Complete(!bytes.empty());
}

void Http1ClientConnection::OnHead(Http1Head head) {
  if (head.status == kSwitchingProtocols) {
    throw Error(ResultCode::kAnswerCut, "the server switched to another protocol");
  }
  if (head.status < kMinStatus || head.status > kMaxStatus) {
    throw Error(ResultCode::kAnswerCut, "the status is none");
  }
  skip_message_ = head.status < 200 || IsForOtherRequest(head.headers);
  if (skip_message_) {
    if (++skipped_messages_ > kMaxSkippedMessages) ThrowNoAnswer();
    return;
  }
  answer_begun_ = true;
  keep_alive_ = head.keep_alive && !head.until_close;
  peer_idle_limit_ = ParseKeepAliveTimeout(HeaderValue(head.headers, "keep-alive"));
  head.headers.emplace(head.headers.begin(), ":status", std::to_string(head.status));
  stream_->handler->OnHeaders(std::move(head.headers));
}

bool Http1ClientConnection::HasSentEchoOf(const Http1ClientStream& stream) const {
  return !stream.echo_name.empty() &&
         std::find(echoes_.begin(), echoes_.end(), stream.echo_value) != echoes_.end();
}

void Http1ClientConnection::RecordEcho() {
  if (stream_->echo_name.empty()) return;
  if (echoes_.size() >= kMaxEchoes) echoes_.pop_front();
  echoes_.push_back(stream_->echo_value);
}

/// True for a late or repeated answer to an earlier request, recognised by its echo
/// field. Without that field the answer cannot be told from one to an earlier request,
/// unless there was none; it proves nothing then, not even that the request has not run.
bool Http1ClientConnection::IsForOtherRequest(const StreamHeaders& headers) const {
  if (stream_->echo_name.empty()) return false;
  const std::string_view value = HeaderValue(headers, stream_->echo_name);
  if (value.empty() && requests_ > 1) {
    throw Error(ResultCode::kAnswerCut, "the answer does not name its request");
  }
  return !value.empty() && value != stream_->echo_value;
}

Duration Http1ClientConnection::IdleLimit() const {
  const Duration own_limit = manager_->options().idle_timeout;
  if (peer_idle_limit_ == Duration::zero()) return own_limit;
  return std::min(own_limit, std::max<Duration>(Duration::zero(),
                                                peer_idle_limit_ - kIdleCloseMargin));
}

void Http1ClientConnection::OnBody(std::string_view bytes) {
  if (skip_message_) {
    skipped_bytes_ += bytes.size();
    if (skipped_bytes_ > manager_->options().max_buffered_bytes) ThrowNoAnswer();
    return;
  }
  unconsumed_bytes_ += bytes.size();
  stream_->handler->OnData(bytes);
}

void Http1ClientConnection::OnMessageEnd() { answer_done_ = !skip_message_; }

void Http1ClientConnection::Complete(bool leftover) {
  const auto self = std::static_pointer_cast<Http1ClientConnection>(shared_from_this());
  const auto stream = std::exchange(stream_, nullptr);
  --manager_->open_streams;
  const auto handler = std::move(stream->handler);
  stream->Detach();
  const bool may_idle = IdleLimit() > Duration::zero();
  const bool reusable = may_idle && keep_alive_ && request_done_ && !leftover &&
                        !stream->dedicated && !output_pending() && !read_ended();
  if (reusable) {
    parser_.reset();
    Idle();
  } else {
    Fail(ResultCode::kOk);
  }
  handler->OnEnd();
}

void Http1ClientConnection::ReadEnded(bool orderly) {
  if (!stream_) return Fail(ResultCode::kOk);
  const bool whole = orderly && !PeerReset() && parser_->head_done() && !skip_message_ &&
                     parser_->ParseEnd(this) && answer_done_;
  if (whole) return Complete(false);
  Fail(DisconnectCode());
}

bool Http1ClientConnection::PeerReset() {
  if (write_failed_) return true;
  // A failed write may not be reported yet. Sending nothing fails after a reset only.
  const ssize_t sent = ::send(socket().native_handle(), "", 0, MSG_NOSIGNAL);
  return sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK;
}

ResultCode Http1ClientConnection::DisconnectCode() const {
  if (answer_begun_) return ResultCode::kAnswerCut;
  return sent_ ? ResultCode::kConnectionLost : ResultCode::kConnectFailed;
}

void Http1ClientConnection::Written() {
  if (stream_ && !request_done_) PumpRequest();
}

void Http1ClientConnection::WriteFailed() {
  // The peer may have sent an answer before it stopped reading, so the stream fails only
  // when reading ends.
  write_failed_ = true;
  if (!stream_ || read_ended()) return Fail(DisconnectCode());
  ScheduleRead();
}

void Http1ClientConnection::DeadlinePassed() {
  // With a stream, only connecting has a deadline. Without one, the connection has been
  // idle for too long.
  Fail(stream_ ? ResultCode::kConnectFailed : ResultCode::kOk);
}

void Http1ClientConnection::Fail(ResultCode code) {
  if (closed()) return;
  CloseSocket();
  manager_->Remove(std::static_pointer_cast<Http1ClientConnection>(shared_from_this()));
  if (const auto done = std::exchange(on_open_, nullptr)) done(false);
  const auto stream = std::exchange(stream_, nullptr);
  if (!stream) return;
  --manager_->open_streams;
  const auto handler = std::move(stream->handler);
  stream->Detach();
  if (code != ResultCode::kOk && handler) handler->OnReset(code);
}

}  // namespace quetzal
