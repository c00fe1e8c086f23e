#include "calls/answer_relay.h"

#include <utility>

#include "calls/caller_answer.h"

namespace quetzal {
namespace {

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
  const bool is_short = length_ ? *length_ <= hold_limit_ : unavailable_ && !keep;
  holding_ = no_body || is_short;
  if (holding_ || !caller_) return;
  told_ = true;
  caller_->SendHeaders(std::move(headers_), false);
}

void AnswerRelay::Append(std::string bytes, Stream* attempt) {
  received_ += bytes.size();
  if (keeping_) Keep(bytes);
  const std::size_t n = bytes.size();
  if (holding_ && !length_ && held_.size() + n > hold_limit_) StopHolding();
  if (holding_) {
    // A body past its stated length is found at the end; it must not fill the memory.
    if (held_.size() + n <= hold_limit_) held_ += bytes;
    attempt->Consume(n);
    return;
  }
  owed_ += n;
  PassOn(std::move(bytes));
  ReturnCredit(attempt);
}

void AnswerRelay::End() {
  if (holding_) {
    Send(std::move(headers_), std::move(held_));
  } else if (caller_) {
    caller_->SendData({}, true);
  }
  caller_.reset();
}

void AnswerRelay::Park() {
  parked_ = Parked{std::move(headers_), std::move(held_)};
  Discard();
}

bool AnswerRelay::TellParked() {
  if (told_ || !parked_) return false;
  Send(std::move(parked_->headers), std::move(parked_->body));
  caller_.reset();
  return true;
}

void AnswerRelay::Discard() {
  headers_.clear();
  length_.reset();
  received_ = 0;
  held_.clear();
  holding_ = false;
  owed_ = 0;
  kept_.Clear();
}

void AnswerRelay::ReturnCredit(Stream* attempt) {
  if (owed_ == 0 || attempt == nullptr) return;
  if (caller_ && caller_->buffered_bytes() >= kHighMarkBytes) return;
  attempt->Consume(std::exchange(owed_, 0));
}

void AnswerRelay::TellRefusal(const Refusal& refusal, bool close_connection) {
  if (told_) return;
  RefusalAnswer answer = dialect_->WriteRefusal(refusal, close_connection);
  Send(std::move(answer.headers), std::move(answer.body));
  caller_.reset();
}

void AnswerRelay::TellReplay(const KeyAnswer& answer) {
  if (told_) return;
  if (answer.dropped()) {
    return TellRefusal({ResultCode::kAnswerNotKept, false, {}}, false);
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

void AnswerRelay::Cut() {
  told_ = true;
  if (caller_) caller_->Reset();
  caller_.reset();
}

void AnswerRelay::CallerGone() {
  told_ = true;
  caller_.reset();
}

void AnswerRelay::StopHolding() {
  holding_ = false;
  told_ = true;
  if (!caller_) return;
  caller_->SendHeaders(std::move(headers_), false);
  caller_->SendData(std::move(held_), false);
}

void AnswerRelay::PassOn(std::string bytes) {
  if (caller_) caller_->SendData(std::move(bytes), false);
}

void AnswerRelay::Keep(const std::string& bytes) {
  if (kept_.dropped()) return;
  if (kept_.body().size() + bytes.size() <= hold_limit_) {
    kept_.mutable_body()->append(bytes);
    return;
  }
  kept_.set_dropped(true);
  kept_.clear_body();
}

void AnswerRelay::Send(StreamHeaders headers, std::string body) {
  told_ = true;
  if (!caller_) return;
  caller_->SendHeaders(std::move(headers), body.empty());
  if (!body.empty()) caller_->SendData(std::move(body), true);
}

}  // namespace quetzal
