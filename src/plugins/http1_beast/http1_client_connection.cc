#include "plugins/http1_beast/http1_client_connection.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <utility>

#include <boost/asio/post.hpp>

#include "plugins/http1_beast/http1_host.h"

namespace quetzal {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int kSwitchingProtocols = 101;

/// How much sooner than the peer states an idle connection is closed here, so that a
/// request does not cross the peer's close.
constexpr std::chrono::seconds kIdleMargin{1};

/// Seconds of "timeout=N" in a Keep-Alive field; zero when it states none.
Duration StatedIdleLimit(std::string_view keep_alive) {
  constexpr std::string_view kName = "timeout=";
  const std::size_t at = keep_alive.find(kName);
  if (at == std::string_view::npos) return Duration::zero();
  std::uint32_t seconds = 0;
  const char* begin = keep_alive.data() + at + kName.size();
  std::from_chars(begin, keep_alive.data() + keep_alive.size(), seconds);
  return std::chrono::seconds(seconds);
}

}  // namespace

Http1ClientConnection::Http1ClientConnection(std::shared_ptr<Http1Host> host,
                                             const Endpoint& peer, bool allowed)
    : Http1Connection(Socket(asio::make_strand(host->context()))),
      host_(std::move(host)),
      peer_(peer),
      allowed_(allowed) {}

Http1ClientConnection::~Http1ClientConnection() {
  // Handlers usually hold their stream.
  if (stream_) stream_->handler.reset();
}

void Http1ClientConnection::Run(const std::shared_ptr<Http1ClientStream>& stream) {
  asio::post(strand(),
             [self = std::static_pointer_cast<Http1ClientConnection>(shared_from_this()),
              stream] {
               if (self->closed()) return self->host_->Start(stream);
               self->stream_ = stream;
               if (!self->connected_) return self->Connect();
               if (self->StillClean()) return self->SendRequest();
               self->stream_.reset();
               self->Fail(ResultCode::kOk);
               self->host_->Start(stream);
             });
}

void Http1ClientConnection::Connect() {
  boost::system::error_code ec;
  const auto address = asio::ip::make_address(peer_.address, ec);
  if (!allowed_ || ec) return Fail(ResultCode::kConnectFailed);
  SetDeadline(host_->options().connect_timeout);
  socket().async_connect(
      tcp::endpoint(address, peer_.port),
      [self = std::static_pointer_cast<Http1ClientConnection>(shared_from_this())](
          const boost::system::error_code& ec) { self->Connected(ec); });
}

void Http1ClientConnection::Connected(const boost::system::error_code& ec) {
  if (closed()) return;
  if (ec) return Fail(ResultCode::kConnectFailed);
  connected_ = true;
  Prepare();
  SendRequest();
}

bool Http1ClientConnection::StillClean() {
  char byte = 0;
  boost::system::error_code ec;
  socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
  return ec == asio::error::would_block;
}

void Http1ClientConnection::NewParser() {
  skipped_ = false;
  parser_ = std::make_unique<Http1Parser>(
      to_head_ ? Http1Message::kAnswerToHead : Http1Message::kAnswer, host_->options());
}

void Http1ClientConnection::SendRequest() {
  ClearDeadline();
  std::string_view method = HeaderValue(stream_->headers, ":method");
  if (method.empty()) method = "GET";
  to_head_ = method == "HEAD";
  NewParser();
  writer_ = Http1Writer();
  held_ = 0;
  sent_ = request_done_ = answer_begun_ = answer_done_ = keep_alive_ = false;
  std::string head;
  try {
    head = writer_.RequestHead(method, stream_->path, peer_.ToString(), stream_->headers,
                               !stream_->request_ended, stream_->fresh);
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
  WantRead();
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
  held_ -= std::min(held_, work.consumed);
  if (work.reset) return Fail(work.reset_code);
  if (work.has_data && !request_done_) PumpRequest();
  WantRead();
}

std::size_t Http1ClientConnection::ReadLimit() const {
  if (!stream_) return 1;
  const std::size_t window = host_->options().window_bytes;
  return held_ < window ? window - held_ : 0;
}

void Http1ClientConnection::Received(std::string_view bytes) {
  // A byte that no request asked for spoils the connection.
  if (!stream_) return Fail(ResultCode::kOk);
  try {
    while (!bytes.empty() && !answer_done_) {
      bytes.remove_prefix(parser_->Parse(bytes, this));
      if (skipped_ && parser_->done()) NewParser();
    }
  } catch (const Error&) {
    return Fail(ResultCode::kAnswerCut);
  }
  if (answer_done_) Complete(!bytes.empty());
}

void Http1ClientConnection::OnHead(Http1Head head) {
  if (head.status == kSwitchingProtocols) {
    throw Error(ResultCode::kAnswerCut, "the end of this answer cannot be known");
  }
  skipped_ = head.status < 200 || IsForeign(head.headers);
  if (skipped_) return;
  answer_begun_ = true;
  keep_alive_ = head.keep_alive && !head.until_close;
  peer_idle_limit_ = StatedIdleLimit(HeaderValue(head.headers, "keep-alive"));
  head.headers.emplace(head.headers.begin(), ":status", std::to_string(head.status));
  stream_->handler->OnHeaders(std::move(head.headers));
}

/// An answer to an earlier request may come late, where the next one is expected.
bool Http1ClientConnection::IsForeign(const StreamHeaders& headers) const {
  if (stream_->echo_name.empty()) return false;
  const std::string_view value = HeaderValue(headers, stream_->echo_name);
  return !value.empty() && value != stream_->echo_value;
}

Duration Http1ClientConnection::IdleLimit() const {
  const Duration own = host_->options().idle_timeout;
  if (peer_idle_limit_ == Duration::zero()) return own;
  return std::min(own,
                  std::max<Duration>(Duration::zero(), peer_idle_limit_ - kIdleMargin));
}

void Http1ClientConnection::OnBody(std::string_view bytes) {
  if (skipped_) return;
  held_ += bytes.size();
  stream_->handler->OnData(bytes);
}

void Http1ClientConnection::OnMessageEnd() { answer_done_ = !skipped_; }

void Http1ClientConnection::Complete(bool leftover) {
  const auto self = std::static_pointer_cast<Http1ClientConnection>(shared_from_this());
  const auto stream = std::exchange(stream_, nullptr);
  --host_->open_streams;
  const auto handler = std::move(stream->handler);
  stream->Detach();
  const bool lasts = IdleLimit() > Duration::zero();
  const bool clean = lasts && keep_alive_ && request_done_ && !leftover &&
                     !stream->fresh && !output_pending() && !read_ended();
  if (clean) {
    parser_.reset();
    SetDeadline(IdleLimit());
    if (!host_->Park(self)) Fail(ResultCode::kOk);
  } else {
    Fail(ResultCode::kOk);
  }
  handler->OnEnd();
}

void Http1ClientConnection::ReadEnded(bool in_order) {
  if (!stream_) return Fail(ResultCode::kOk);
  if (in_order && parser_->head_done() && !skipped_ && parser_->ParseEnd(this) &&
      answer_done_) {
    return Complete(false);
  }
  Fail(CutCode());
}

ResultCode Http1ClientConnection::CutCode() const {
  if (answer_begun_) return ResultCode::kAnswerCut;
  return sent_ ? ResultCode::kConnectionLost : ResultCode::kConnectFailed;
}

void Http1ClientConnection::Written() {
  if (stream_ && !request_done_) PumpRequest();
}

void Http1ClientConnection::WriteFailed() {
  // The peer may have answered before it stopped reading; the end of reading decides.
  if (!stream_ || read_ended()) return Fail(CutCode());
  WantRead();
}

void Http1ClientConnection::DeadlinePassed() {
  // While a stream is there only connecting has a deadline; parked ones age.
  Fail(stream_ ? ResultCode::kConnectFailed : ResultCode::kOk);
}

void Http1ClientConnection::Fail(ResultCode code) {
  if (closed()) return;
  CloseSocket();
  host_->Remove(std::static_pointer_cast<Http1ClientConnection>(shared_from_this()));
  const auto stream = std::exchange(stream_, nullptr);
  if (!stream) return;
  --host_->open_streams;
  const auto handler = std::move(stream->handler);
  stream->Detach();
  if (code != ResultCode::kOk && handler) handler->OnReset(code);
}

}  // namespace quetzal
