#include "net/message_framing.h"

#include <charconv>

namespace quetzal {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kMicrosBytes = 8;
constexpr std::size_t kCounterBytes = 4;
constexpr std::size_t kPrefixBytes = kLengthBytes + kMicrosBytes + kCounterBytes;

void AppendNumber(std::uint64_t number, std::size_t bytes, std::string* out) {
  for (std::size_t n = bytes; n-- > 0;) {
    out->push_back(static_cast<char>((number >> (8 * n)) & 0xff));
  }
}

std::uint64_t ReadNumber(std::string_view* bytes, std::size_t size) {
  std::uint64_t number = 0;
  for (const char c : bytes->substr(0, size)) {
    number = (number << 8) | static_cast<unsigned char>(c);
  }
  bytes->remove_prefix(size);
  return number;
}

}  // namespace

std::string FrameMessage(const HybridTime& time, std::string_view message) {
  std::string frame;
  frame.reserve(kPrefixBytes + message.size());
  AppendNumber(message.size(), kLengthBytes, &frame);
  AppendNumber(time.micros, kMicrosBytes, &frame);
  AppendNumber(time.counter, kCounterBytes, &frame);
  frame.append(message);
  return frame;
}

void FrameReader::Append(std::string_view bytes, const Sink& sink) {
  buffer_.append(bytes);
  std::string_view rest = buffer_;
  while (rest.size() >= kLengthBytes) {
    std::string_view frame = rest;
    const std::size_t size = ReadNumber(&frame, kLengthBytes);
    if (size > max_message_bytes_) {
      throw Error(ResultCode::kMessageMalformed,
                  "a message of " + std::to_string(size) + " bytes exceeds the limit");
    }
    if (rest.size() < kPrefixBytes + size) break;
    HybridTime time;
    time.micros = ReadNumber(&frame, kMicrosBytes);
    time.counter = static_cast<std::uint32_t>(ReadNumber(&frame, kCounterBytes));
    sink(time, std::string(frame.substr(0, size)));
    rest = frame.substr(size);
  }
  buffer_.erase(0, buffer_.size() - rest.size());
  if (buffer_.empty()) buffer_.shrink_to_fit();
}

ResultCode CodeOf(const StreamHeaders& headers) {
  const std::string_view text = HeaderValue(headers, kCodeHeader);
  if (text.empty()) return ResultCode::kOk;
  int number = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (ec != std::errc() || end != text.data() + text.size()) {
    return ResultCode::kMessageMalformed;
  }
  return ResultCodeFromInt(number);
}

void ObserveTimeOf(const StreamHeaders& headers, HybridClock* hybrid_clock) {
  const std::string_view text = HeaderValue(headers, kTimeHeader);
  if (!text.empty()) hybrid_clock->Observe(ParseHybridTime(std::string(text)));
}

}  // namespace quetzal
