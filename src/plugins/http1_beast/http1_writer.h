#ifndef QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_WRITER_H_
#define QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_WRITER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "net/stream.h"

namespace quetzal {

/// Serialises one HTTP/1.1 message. The body is delimited by Content-Length, by chunked
/// coding or by the end of the connection.
class Http1Writer {
 public:
  /// Returns the request line and the header fields. `body` is true when a body follows;
  /// `close` adds "Connection: close". Throws Error(kRequestMalformed) for an invalid
  /// method, target or field.
  std::string RequestHead(std::string_view method, const std::string& target,
                          const std::string& peer, const StreamHeaders& headers,
                          bool body, bool close);

  /// Returns the status line and the header fields. `http11` is true when the caller
  /// understands chunked coding, `head_request` when the request's method was HEAD.
  std::string AnswerHead(int status, const StreamHeaders& headers, bool body, bool http11,
                         bool head_request, bool close);

  /// Appends `bytes` with the framing of the message. Throws Error(kAnswerCut) when the
  /// body exceeds its Content-Length.
  void AppendBody(std::string_view bytes, std::string* out);

  /// Appends the end of the message. Throws Error(kAnswerCut) when the body is shorter
  /// than its Content-Length.
  void AppendEnd(std::string* out);

  /// True when only the end of the connection delimits the body.
  bool until_close() const { return framing_ == Framing::kUntilClose; }

 private:
  enum class Framing { kNone, kLength, kChunked, kUntilClose };

  void AppendFields(const StreamHeaders& headers, bool close, std::string* out);

  Framing framing_ = Framing::kNone;
  std::uint64_t remaining_ = 0;
};

/// Returns a complete error answer for `code`: status line, x-quetzal-result field, JSON
/// body (unless it answers a HEAD request) and, with `close`, "Connection: close".
std::string MakeErrorAnswer(ResultCode code, bool head_request = false,
                            bool close = true);

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_WRITER_H_
