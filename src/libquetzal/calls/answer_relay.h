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

/// The one answer of a caller's request. A short answer is held until it is whole, so
/// that a cut one can still become an error, and so is a 503 of unknown length that
/// another attempt may replace; a long one is passed on as it comes. Nothing
/// is sent after an answer has begun but its own rest, or a cut.
class AnswerRelay {
 public:
  AnswerRelay(std::size_t hold_limit, std::shared_ptr<Stream> caller,
              const CallDialect* dialect)
      : hold_limit_(hold_limit), caller_(std::move(caller)), dialect_(dialect) {}

  /// An attempt's answer begins. `keep` copies it for a later resend.
  void Begin(const StreamHeaders& headers, const std::string& method, bool keep);
  void Append(std::string bytes, Stream* attempt);

  /// True when the answer has all bytes of its stated length.
  bool whole() const { return !length_ || *length_ == received_; }

  /// Passes on the rest of an answer that is whole.
  void End();

  /// Sets a whole answer that has not been passed on aside, so that another may begin.
  void Park();

  /// Tells the answer that was set aside last; false when there is none.
  bool TellParked();

  /// Drops an answer that has not been passed on, so that another may begin.
  void Discard();

  /// Gives the attempt credit for the bytes that the caller has taken.
  void ReturnCredit(Stream* attempt);

  void TellRefusal(const Refusal& refusal, bool close_connection);
  void TellReplay(const KeyAnswer& answer);

  /// Cuts the caller's stream: the answer cannot be completed.
  void Cut();

  /// The caller is gone; answers are still taken in, for the key's record.
  void CallerGone();

  /// True when the caller has been sent anything, or is gone.
  bool told() const { return told_; }

  /// True when the answer that began last has a status of 500 and above.
  bool server_error() const { return server_error_; }

  /// True when the answer that began last is an error that another backend server may
  /// not make: 500, 502 or 503.
  bool unavailable() const { return unavailable_; }

  /// The whole answer for a resend; `dropped` when it was too long.
  const KeyAnswer& kept() const { return kept_; }

 private:
  struct Parked {
    StreamHeaders headers;
    std::string body;
  };

  void StopHolding();
  void PassOn(std::string bytes);
  void Keep(const std::string& bytes);
  void Send(StreamHeaders headers, std::string body);

  const std::size_t hold_limit_;
  std::shared_ptr<Stream> caller_;
  const CallDialect* dialect_;
  StreamHeaders headers_;
  std::optional<std::uint64_t> length_;
  std::uint64_t received_ = 0;
  std::string held_;
  bool holding_ = false;
  bool keeping_ = false;
  bool told_ = false;
  bool server_error_ = false;
  bool unavailable_ = false;
  std::optional<Parked> parked_;
  std::size_t owed_ = 0;
  KeyAnswer kept_;
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_ANSWER_RELAY_H_
