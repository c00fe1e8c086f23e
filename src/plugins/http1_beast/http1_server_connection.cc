#include "plugins/http1_beast/http1_server_connection.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

#include <boost/asio/post.hpp>

#include "plugins/http1_beast/http1_connection_manager.h"

namespace quetzal {
namespace {

constexpr std::size_t kHeadReadBytes = 16UL * 1024;
constexpr std::chrono::seconds kLingerTimeout{1};

/// Time during which an idle connection may still send a request after a drain began.
constexpr std::chrono::milliseconds kDrainGrace{2000};

/// Maximum number of requests of one connection that are served at the same time.
constexpr std::size_t kMaxPipelined = 16;

/// An answer with other requests behind it begins when this much of it waits, or all.
constexpr std::size_t kMaxHeldBytes = 64UL * 1024;

constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";

/// True for methods that a caller may pipeline and retry.
bool IsSafeMethod(std::string_view method) { return method == "GET" || method == "HEAD"; }

/// True when `bytes` are the start of a request with a safe method.
bool StartsWithSafeMethod(std::string_view bytes) {
  return IsSafeMethod(bytes.substr(0, bytes.find(' ')));
}

int StatusOf(const StreamHeaders& headers) {
  const std::string_view text = HeaderValue(headers, ":status");
  int status = 200;
  std::from_chars(text.data(), text.data() + text.size(), status);
  return status;
}

}  // namespace

Http1ServerConnection::Http1ServerConnection(
    std::shared_ptr<Http1ConnectionManager> manager, Socket socket)
    : Http1Connection(std::move(socket)), manager_(std::move(manager)) {}

void Http1ServerConnection::Begin() {
  boost::asio::post(
      strand(),
      [self = std::static_pointer_cast<Http1ServerConnection>(shared_from_this())] {
        self->SetSocketOptions();
        self->ResetParser();
        self->UpdateDeadline();
        if (!self->manager_->AddAccepted(self)) {
          self->Refuse(ResultCode::kOverloaded);
        } else if (self->manager_->draining()) {
          self->closing_ = true;
          self->SetDeadline(kDrainGrace);
        }
        self->ScheduleRead();
      });
}

void Http1ServerConnection::Drain() {
  boost::asio::post(
      strand(),
      [self = std::static_pointer_cast<Http1ServerConnection>(shared_from_this())] {
        if (self->closed()) return;
        self->closing_ = true;
        self->UpdateDeadline();
      });
}

/// `bytes` are the unparsed input.
bool Http1ServerConnection::MayBeginRequest(std::string_view bytes) const {
  if (pending_refusal_) return false;
  if (exchanges_.empty()) return true;
  if (closing_ || exchanges_.size() >= kMaxPipelined) return false;
  if (!exchanges_.back()->allows_pipelining || exchanges_.back()->close) return false;
  // An answer that has begun may break off and close the connection.
  if (exchanges_.front()->head_sent) return false;
  // A request without a safe method waits until the preceding answers are sent: if one of
  // them closes the connection, the caller sends the request again.
  return parser_->head_begun() || StartsWithSafeMethod(bytes);
}

void Http1ServerConnection::ResetParser() {
  parser_ =
      std::make_unique<Http1Parser>(Http1MessageKind::kRequest, manager_->options());
}

std::size_t Http1ServerConnection::ReadLimit() const {
  if (state_ == State::kLingering) return kHeadReadBytes;
  if (state_ == State::kRefused) return 0;
  if (!reading_) {
    // Even if no further request may be parsed yet, one read detects a disconnect.
    return unparsed_.empty() ? kHeadReadBytes : 0;
  }
  const std::size_t window = manager_->options().window_bytes;
  return unconsumed_bytes_ < window ? window - unconsumed_bytes_ : 0;
}

void Http1ServerConnection::Received(std::string_view bytes) {
  if (state_ == State::kOpen) Feed(bytes);
}

void Http1ServerConnection::Feed(std::string_view bytes) {
  const auto self = shared_from_this();
  while (!bytes.empty() && state_ == State::kOpen && !closed() &&
         (reading_ || MayBeginRequest(bytes))) {
    try {
      bytes.remove_prefix(parser_->Parse(bytes, this));
    } catch (const Error& error) {
      return RefuseRequest(error.code());
    }
    if (parser_->done()) ResetParser();
  }
  unparsed_ = bytes;
  if (state_ == State::kOpen && !closed()) UpdateDeadline();
}

void Http1ServerConnection::OnHead(Http1Head head) {
  const Http1Options& options = manager_->options();
  const auto exchange = std::make_shared<Exchange>();
  exchange->http11 = head.http11;
  exchange->head_request = head.method == "HEAD";
  exchange->allows_pipelining = IsSafeMethod(head.method);
  exchange->close = !head.keep_alive || !head.http11;
  exchange->stream =
      std::make_shared<QueuedStream>(options.max_buffered_bytes, options.low_mark_bytes);
  exchange->stream->Attach(weak_from_this());
  ++manager_->open_streams;
  reading_ = exchange;
  exchanges_.push_back(exchange);
  const bool expects_continue = HeaderValue(head.headers, "expect") == "100-continue";
  head.headers.emplace(head.headers.begin(), ":method", std::move(head.method));
  const StreamAcceptor acceptor = manager_->acceptor();
  if (acceptor) {
    exchange->handler = acceptor(head.target, head.headers, exchange->stream);
  }
  if (!exchange->handler) throw Error(ResultCode::kMethodUnknown, "unknown path");
  if (expects_continue && exchange->http11 && exchanges_.size() == 1) Write(kContinue);
}

void Http1ServerConnection::OnBody(std::string_view bytes) {
  unconsumed_bytes_ += bytes.size();
  if (reading_) reading_->handler->OnData(bytes);
}

void Http1ServerConnection::OnMessageEnd() {
  if (!reading_) return;
  const auto exchange = std::exchange(reading_, nullptr);
  unconsumed_bytes_ = 0;
  exchange->request_done = true;
  exchange->handler->OnEnd();
}

/// Refuses the request being read; the requests before it are still answered.
void Http1ServerConnection::RefuseRequest(ResultCode code) {
  unparsed_.clear();
  if (reading_) {
    const auto exchange = std::exchange(reading_, nullptr);
    const bool front = exchanges_.front() == exchange;
    if (front && exchange->head_sent) return Abort(code);
    exchanges_.erase(std::find(exchanges_.begin(), exchanges_.end(), exchange));
    Drop(exchange, code);
  }
  pending_refusal_ = code;
  if (exchanges_.empty()) Refuse(code);
}

void Http1ServerConnection::HandleWork(const std::shared_ptr<QueuedStream>& stream) {
  // Other streams keep their queued work until their exchange is the first one.
  if (exchanges_.empty() || exchanges_.front()->stream != stream) return;
  PumpFront();
  if (closed()) return;
  if (state_ == State::kOpen) UpdateDeadline();
  ScheduleRead();
}

void Http1ServerConnection::PumpFront() {
  const ExchangePtr front = exchanges_.front();
  QueuedStream::Work work = front->stream->TakeWork();
  if (front == reading_) unconsumed_bytes_ -= std::min(unconsumed_bytes_, work.consumed);
  if (work.reset) return FailAnswer(ResultCode::kAnswerCut, work.reset_code);
  if (work.has_headers && !front->head_sent) front->head = std::move(work);
  if (front->head && !front->head_sent && !HoldsHead(*front)) AnswerHead(*front->head);
  if (state_ == State::kOpen && !closed() && front->head_sent && !front->answer_done) {
    PumpAnswer();
  }
}

/// An answer that breaks off after its head closes the connection, and with it drops the
/// answers behind it. Before its head it is replaced by an error answer.
bool Http1ServerConnection::HoldsHead(const Exchange& front) const {
  return exchanges_.size() > 1 && !front.head->headers_end &&
         !front.stream->end_queued() && front.stream->buffered_bytes() < kMaxHeldBytes;
}

void Http1ServerConnection::AnswerHead(const QueuedStream::Work& work) {
  const ExchangePtr front = exchanges_.front();
  closing_ = closing_ || HeaderValue(work.headers, "connection") == "close";
  front->close = ClosesAfter(*front);
  try {
    Write(front->writer.AnswerHead(StatusOf(work.headers), work.headers,
                                   !work.headers_end, front->http11, front->head_request,
                                   front->close));
    front->head_sent = true;
    if (!work.headers_end) return;
    std::string rest;
    front->writer.AppendEnd(&rest);
    front->answer_done = true;
  } catch (const Error&) {
    if (front->head_sent) return Abort(ResultCode::kAnswerCut);
    if (!front->request_done) return Refuse(ResultCode::kInternalError);
    FailAnswer(ResultCode::kInternalError, ResultCode::kInternalError);
  }
}

/// The requests behind `front` may have been answered already: whatever asks to close the
/// connection takes effect after the last of them. An answer sent before the end of its
/// request closes at once, because the rest of the request is not read.
bool Http1ServerConnection::ClosesAfter(const Exchange& front) const {
  const bool is_last = exchanges_.size() == 1;
  return front.close || !front.request_done ||
         (is_last && (closing_ || manager_->draining()));
}

/// The answer of the first exchange cannot be completed; `reported` goes to its handler
/// unless it is kOk. Before its head is sent it is replaced by an error answer with
/// `code`, so that the answers behind it are still sent.
void Http1ServerConnection::FailAnswer(ResultCode code, ResultCode reported) {
  const ExchangePtr front = exchanges_.front();
  if (front->head_sent || !front->request_done) return Abort(reported);
  front->close = ClosesAfter(*front);
  front->head_sent = true;
  front->answer_done = true;
  Write(MakeErrorAnswer(code, front->head_request, front->close));
  const auto handler = std::exchange(front->handler, nullptr);
  if (handler && reported != ResultCode::kOk) handler->OnReset(reported);
}

void Http1ServerConnection::PumpAnswer() {
  const ExchangePtr front = exchanges_.front();
  try {
    front->answer_done = Pump(*front->stream, &front->writer, front->handler.get());
  } catch (const Error& error) {
    return Abort(error.code());
  }
  if (front->answer_done && !output_pending()) EndFront();
}

void Http1ServerConnection::Written() {
  if (state_ == State::kRefused) return Linger();
  if (state_ != State::kOpen || exchanges_.empty()) return;
  const ExchangePtr front = exchanges_.front();
  if (front->answer_done) {
    EndFront();
  } else if (front->head_sent) {
    PumpAnswer();
  }
  if (state_ == State::kOpen && !closed()) UpdateDeadline();
}

void Http1ServerConnection::EndFront() {
  const auto self = shared_from_this();
  const ExchangePtr front = exchanges_.front();
  exchanges_.pop_front();
  Drop(front, ResultCode::kOk);
  const bool last = exchanges_.empty() && read_ended();
  if (front->close || !front->request_done || last) return Linger();
  if (!exchanges_.empty()) {
    PumpFront();
  } else if (pending_refusal_) {
    return Refuse(*pending_refusal_);
  }
  if (closed() || state_ != State::kOpen) return;
  if (!unparsed_.empty()) Feed(std::exchange(unparsed_, {}));
  if (!closed()) ScheduleRead();
}

void Http1ServerConnection::UpdateDeadline() {
  const Http1Options& options = manager_->options();
  if (output_pending() || (reading_ && ReadLimit() > 0)) {
    SetDeadline(options.stall_timeout);
  } else if (!exchanges_.empty()) {
    ClearDeadline();
  } else if (parser_->head_begun()) {
    // Counts from the first byte of the head; later bytes do not extend it.
    if (!head_deadline_) SetDeadline(options.head_timeout);
    head_deadline_ = true;
    return;
  } else {
    SetDeadline(closing_ ? kDrainGrace : options.keep_alive_timeout);
  }
  head_deadline_ = false;
}

void Http1ServerConnection::Refuse(ResultCode code) {
  const bool head_sent = !exchanges_.empty() && exchanges_.front()->head_sent;
  DropAll(code);
  if (head_sent) return Close();
  state_ = State::kRefused;
  Write(MakeErrorAnswer(code));
  SetDeadline(manager_->options().stall_timeout);
}

void Http1ServerConnection::Drop(const ExchangePtr& exchange, ResultCode code) {
  --manager_->open_streams;
  exchange->stream->Detach();
  const auto handler = std::exchange(exchange->handler, nullptr);
  if (handler && code != ResultCode::kOk) handler->OnReset(code);
}

void Http1ServerConnection::DropAll(ResultCode code) {
  reading_.reset();
  for (const ExchangePtr& exchange : std::exchange(exchanges_, {})) Drop(exchange, code);
}

void Http1ServerConnection::Abort(ResultCode code) {
  const bool until_close = !exchanges_.empty() && exchanges_.front()->head_sent &&
                           exchanges_.front()->writer.until_close();
  DropAll(code);
  if (until_close) {
    // The body ends when the connection closes, so only a TCP reset lets the caller
    // detect that the answer is incomplete.
    boost::system::error_code ec;
    socket().set_option(boost::asio::socket_base::linger(true, 0), ec);
  }
  Close();
}

void Http1ServerConnection::ReadEnded(bool orderly) {
  const bool serves =
      orderly && state_ == State::kOpen && !manager_->options().half_close_cancels;
  // The request that was not completed is given up; those before it are still answered.
  if (serves && reading_ && exchanges_.size() > 1) {
    exchanges_.pop_back();
    Drop(std::exchange(reading_, nullptr), ResultCode::kConnectionLost);
  }
  const bool served = serves && !exchanges_.empty() && !reading_;
  if (!orderly || !(served || state_ == State::kRefused)) {
    return Abort(ResultCode::kConnectionLost);
  }
  // A caller that shut down its side after complete requests still reads the answers.
  closing_ = true;
  WatchForDisconnect();
}

void Http1ServerConnection::WriteFailed() { Abort(ResultCode::kConnectionLost); }

void Http1ServerConnection::DeadlinePassed() {
  if (state_ == State::kOpen && !output_pending()) {
    const bool head_begun = exchanges_.empty() && parser_->head_begun();
    const bool body_stalled = reading_ != nullptr;
    if (head_begun || body_stalled) return RefuseRequest(ResultCode::kRequestTimeout);
    if (exchanges_.empty() && closing_) return Linger();
  }
  Abort(ResultCode::kConnectionLost);
}

void Http1ServerConnection::Linger() {
  DropAll(ResultCode::kConnectionLost);
  if (read_ended()) return Close();
  state_ = State::kLingering;
  ShutdownSend();
  SetDeadline(kLingerTimeout);
  ScheduleRead();
}

void Http1ServerConnection::Close() {
  CloseSocket();
  manager_->RemoveAccepted(
      std::static_pointer_cast<Http1ServerConnection>(shared_from_this()));
}

}  // namespace quetzal
