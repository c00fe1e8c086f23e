#include "calls/request_body.h"

namespace quetzal {
namespace {

/// No credit is returned to the caller while the attempt's stream buffers this much.
constexpr std::size_t kHighMarkBytes = std::size_t{64} * 1024;

}  // namespace

void RequestBody::Append(std::string bytes, Stream* attempt) {
  size_ += bytes.size();
  withheld_credit_ += bytes.size();
  if (size_ > keep_limit_) replayable_ = false;
  if (attempt == nullptr) {
    kept_.push_back(std::move(bytes));
  } else {
    if (replayable_) {
      kept_.push_back(bytes);
    } else {
      kept_.clear();
    }
    attempt->SendData(std::move(bytes), false);
  }
  ReturnCredit(attempt);
}

void RequestBody::End(Stream* attempt) {
  ended_ = true;
  if (attempt != nullptr) attempt->SendData({}, true);
}

void RequestBody::SendKept(Stream* attempt) {
  for (std::size_t n = 0; n < kept_.size(); ++n) {
    attempt->SendData(kept_[n], ended_ && n + 1 == kept_.size());
  }
  if (!replayable_) kept_.clear();
  ReturnCredit(attempt);
}

void RequestBody::ReturnCredit(const Stream* attempt) {
  if (withheld_credit_ == 0 || !caller_) return;
  const bool is_sent = attempt != nullptr && attempt->buffered_bytes() < kHighMarkBytes;
  const bool is_kept = attempt == nullptr && replayable_;
  if (is_sent || is_kept) caller_->Consume(std::exchange(withheld_credit_, 0));
}

}  // namespace quetzal
