#include "calls/answer_relay.h"

#include <utility>

#include "calls/caller_answer.h"

namespace quetzal {
namespace {

/// No credit is returned to the attempt while the caller's stream buffers this much.
constexpr std::size_t kHighMarkBytes = std::size_t{64} * 1024;
constexpr char kReplayedHeader[] = "x-quetzal-replayed";

}  // namespace

void AnswerRelay::Begin(const StreamHeaders& headers, const std::string& method,
                        bool keep) {
  const std::string status(HeaderValue(headers, ":status"));
  const bool no_body = AnswerHasNoBody(method, status);
  if (!no_body) {
    length_ = ParseNumber(HeaderValue(headers, "content-length"), UINT64_MAX);
  }
  server_error_ = IsServerError(status);
  unavailable_ = status == "500" || status == "502" || status == "503";
  headers_ = EndToEndFields(headers);
  keeping_ = keep;
  if (keep) {
    kept_.set_status(static_cast<std::uint32_t>(ParseNumber(status, 999).value_or(0)));
    for (const auto& [name, value] : headers_) {
      auto* field = kept_.add_fields();
      field->set_name(name);
      field->set_value(value);
    }
  }
  headers_.insert(headers_.begin(), {":status", status});
  const bool is_short = length_ ? *length_ <= buffer_limit_ : unavailable_ && !keep;
  buffering_ = no_body || is_short;
  if (buffering_ || !caller_) return;
  committed_ = true;
  caller_->SendHeaders(std::move(headers_), false);
}

void AnswerRelay::Append(std::string bytes, Stream* attempt) {
  received_ += bytes.size();
  if (keeping_) Keep(bytes);
  const std::size_t n = bytes.size();
  if (buffering_ && !length_ && buffered_.size() + n > buffer_limit_) StopBuffering();
  if (buffering_) {
    // A body longer than stated is detected at the end; it must not use up the memory.
    if (buffered_.size() + n <= buffer_limit_) buffered_ += bytes;
    attempt->Consume(n);
    return;
  }
  withheld_credit_ += n;
  Forward(std::move(bytes));
  ReturnCredit(attempt);
}

void AnswerRelay::End() {
  if (buffering_) {
    Send(std::move(headers_), std::move(buffered_));
  } else if (caller_) {
    caller_->SendData({}, true);
  }
  caller_.reset();
}

void AnswerRelay::KeepAsFallback() {
  fallback_ = Fallback{std::move(headers_), std::move(buffered_)};
  Discard();
}

bool AnswerRelay::SendFallback() {
  if (committed_ || !fallback_) return false;
  Send(std::move(fallback_->headers), std::move(fallback_->body));
  caller_.reset();
  return true;
}

void AnswerRelay::Discard() {
  headers_.clear();
  length_.reset();
  received_ = 0;
  buffered_.clear();
  buffering_ = false;
  withheld_credit_ = 0;
  kept_.Clear();
}

void AnswerRelay::ReturnCredit(Stream* attempt) {
  if (withheld_credit_ == 0 || attempt == nullptr) return;
  if (caller_ && caller_->buffered_bytes() >= kHighMarkBytes) return;
  attempt->Consume(std::exchange(withheld_credit_, 0));
}

void AnswerRelay::SendRefusal(const Refusal& refusal, bool close_connection) {
  if (committed_) return;
  RefusalAnswer answer = dialect_->WriteRefusal(refusal, close_connection);
  Send(std::move(answer.headers), std::move(answer.body));
  caller_.reset();
}

void AnswerRelay::SendReplay(const KeyAnswer& answer) {
  if (committed_) return;
  if (answer.dropped()) {
    return SendRefusal({ResultCode::kAnswerNotKept, false, {}}, false);
  }
  StreamHeaders headers;
  headers.emplace_back(":status", std::to_string(answer.status()));
  for (const auto& field : answer.fields()) {
    headers.emplace_back(field.name(), field.value());
  }
  headers.emplace_back(kReplayedHeader, "1");
  Send(std::move(headers), answer.body());
  caller_.reset();
}

void AnswerRelay::Abort() {
  committed_ = true;
  if (caller_) caller_->Reset();
  caller_.reset();
}

void AnswerRelay::OnCallerDisconnected() {
  committed_ = true;
  caller_.reset();
}

void AnswerRelay::StopBuffering() {
  buffering_ = false;
  committed_ = true;
  if (!caller_) return;
  caller_->SendHeaders(std::move(headers_), false);
  caller_->SendData(std::move(buffered_), false);
}

void AnswerRelay::Forward(std::string bytes) {
  if (caller_) caller_->SendData(std::move(bytes), false);
}

void AnswerRelay::Keep(const std::string& bytes) {
  if (kept_.dropped()) return;
  if (kept_.body().size() + bytes.size() <= buffer_limit_) {
    kept_.mutable_body()->append(bytes);
    return;
  }
  kept_.set_dropped(true);
  kept_.clear_body();
}

void AnswerRelay::Send(StreamHeaders headers, std::string body) {
  committed_ = true;
  if (!caller_) return;
  caller_->SendHeaders(std::move(headers), body.empty());
  if (!body.empty()) caller_->SendData(std::move(body), true);
}

}  // namespace quetzal
