#ifndef QUETZAL_NET_MESSAGE_FRAMING_H_
#define QUETZAL_NET_MESSAGE_FRAMING_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "base/hybrid_clock.h"
#include "net/stream.h"

namespace quetzal {

/// Largest message between instances.
constexpr std::size_t kMaxMessageBytes = 4UL * 1024 * 1024;

/// Header fields of requests and answers between instances: result code and hybrid time.
constexpr char kCodeHeader[] = "x-qz-code";
constexpr char kTimeHeader[] = "x-qz-hlc";

/// Returns `message` with a prefix of its length and time.
std::string FrameMessage(const HybridTime& time, std::string_view message);

/// Extracts the framed messages from a byte stream.
class FrameReader {
 public:
  using Sink = std::function<void(const HybridTime& time, std::string message)>;

  explicit FrameReader(std::size_t max_message_bytes = kMaxMessageBytes)
      : max_message_bytes_(max_message_bytes) {}

  /// Calls `sink` for each complete message. Throws Error(kMessageMalformed) when a
  /// message exceeds `max_message_bytes`.
  void Append(std::string_view bytes, const Sink& sink);

  /// True when no part of an incomplete message is buffered.
  bool empty() const { return buffer_.empty(); }

 private:
  std::size_t max_message_bytes_;
  std::string buffer_;
};

/// Returns the result code in `headers`: kOk when there is none, kMessageMalformed when
/// its value is not a number.
ResultCode CodeOf(const StreamHeaders& headers);

/// Merges the hybrid time in `headers`, if any, into `hybrid_clock`. Throws
/// Error(kMessageMalformed).
void ObserveTimeOf(const StreamHeaders& headers, HybridClock* hybrid_clock);

}  // namespace quetzal

#endif  // QUETZAL_NET_MESSAGE_FRAMING_H_
