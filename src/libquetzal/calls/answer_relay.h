#ifndef QUETZAL_CALLS_ANSWER_RELAY_H_
#define QUETZAL_CALLS_ANSWER_RELAY_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "calls/call_dialect.h"
#include "calls/call_headers.h"
#include "key_records.pb.h"
#include "net/stream.h"

namespace quetzal {

/// Sends the single answer to a caller's request. A short answer is buffered until it is
/// complete, so that an error can replace a truncated one. A 500, 502 or 503 of unknown
/// length is buffered as well, since another attempt may replace it. Longer answers are
/// forwarded as they arrive. Once an answer has begun, only its rest or an abort follows.
class AnswerRelay {
 public:
  AnswerRelay(std::size_t buffer_limit, std::shared_ptr<Stream> caller,
              const CallDialect* dialect)
      : buffer_limit_(buffer_limit), caller_(std::move(caller)), dialect_(dialect) {}

  /// Begins the answer of an attempt. With `keep` a copy is made for a later resend.
  void Begin(const StreamHeaders& headers, const std::string& method, bool keep);
  void Append(std::string bytes, Stream* attempt);

  /// True when the answer has all bytes of its stated length.
  bool complete() const { return !length_ || *length_ == received_; }

  /// Sends the rest of a complete answer.
  void End();

  /// Keeps a complete answer that has not been sent, so that another may begin.
  void KeepAsFallback();

  /// Sends the fallback that was kept last; false when there is none.
  bool SendFallback();

  /// Drops an answer that has not been sent, so that another may begin.
  void Discard();

  /// Returns flow-control credit to the attempt for bytes that the caller has taken.
  void ReturnCredit(Stream* attempt);

  void SendRefusal(const Refusal& refusal, bool close_connection);
  void SendReplay(const KeyAnswer& answer);

  /// Resets the caller's stream: the answer cannot be completed.
  void Abort();

  /// The caller has disconnected; answers are still received for the key's record.
  void OnCallerDisconnected();

  /// True when the caller has been sent anything or has disconnected.
  bool committed() const { return committed_; }

  /// True when the latest answer has a status of 500 or above.
  bool server_error() const { return server_error_; }

  /// True when the latest answer is an error that another backend server might avoid:
  /// 500, 502 or 503.
  bool unavailable() const { return unavailable_; }

  /// Copy of the complete answer for a resend; `dropped` when it was too long.
  const KeyAnswer& kept() const { return kept_; }

 private:
  struct Fallback {
    StreamHeaders headers;
    std::string body;
  };

  void StopBuffering();
  void Forward(std::string bytes);
  void Keep(const std::string& bytes);
  void Send(StreamHeaders headers, std::string body);

  const std::size_t buffer_limit_;
  std::shared_ptr<Stream> caller_;
  const CallDialect* dialect_;
  StreamHeaders headers_;
  std::optional<std::uint64_t> length_;
  std::uint64_t received_ = 0;
  std::string buffered_;
  bool buffering_ = false;
  bool keeping_ = false;
  bool committed_ = false;
  bool server_error_ = false;
  bool unavailable_ = false;
  std::optional<Fallback> fallback_;
  std::size_t withheld_credit_ = 0;
  KeyAnswer kept_;
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_ANSWER_RELAY_H_
