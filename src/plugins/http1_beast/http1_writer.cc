#include "plugins/http1_beast/http1_writer.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <ostream>

#include <boost/beast/http/status.hpp>

namespace quetzal {
namespace {

constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";

bool IsTokenChar(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
         kTokenPunctuation.find(c) != std::string_view::npos;
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenChar);
}

bool IsFieldValue(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return c == '\t' || (static_cast<unsigned char>(c) >= 0x20 && c != 0x7f);
  });
}

bool IsTarget(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return static_cast<unsigned char>(c) > 0x20 && c != 0x7f;
  });
}

void Require(bool legal, const char* what) {
  if (!legal) throw Error(ResultCode::kRequestMalformed, what);
}

/// True for per-connection fields, which Http1Writer writes itself.
bool IsFramingField(std::string_view name) {
  return name == "connection" || name == "transfer-encoding" || name == "keep-alive";
}

std::string_view ReasonOf(int status) {
  const auto reason = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(static_cast<unsigned>(status)));
  return {reason.data(), reason.size()};
}

std::optional<std::uint64_t> LengthOf(const StreamHeaders& headers) {
  const std::string_view text = HeaderValue(headers, "content-length");
  if (text.empty()) return std::nullopt;
  std::uint64_t length = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), length);
  Require(ec == std::errc() && end == text.data() + text.size(),
          "Content-Length is not a number");
  return length;
}

}  // namespace

void Http1Writer::AppendFields(const StreamHeaders& headers, bool close,
                               std::string* out) {
  for (const auto& [name, value] : headers) {
    if (name.empty() || name[0] == ':' || IsFramingField(name)) continue;
    Require(IsToken(name) && IsFieldValue(value),
            "a header field contains invalid characters");
    out->append(name).append(": ").append(value).append("\r\n");
  }
  if (framing_ == Framing::kChunked) out->append("transfer-encoding: chunked\r\n");
  if (close) out->append("connection: close\r\n");
  out->append("\r\n");
}

std::string Http1Writer::RequestHead(std::string_view method, const std::string& target,
                                     const std::string& peer,
                                     const StreamHeaders& headers, bool body,
                                     bool close) {
  Require(IsToken(method) && IsTarget(target),
          "the method or the target contains invalid characters");
  const auto length = LengthOf(headers);
  std::string out;
  out.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  if (HeaderValue(headers, "host").empty()) {
    out.append("host: ").append(peer).append("\r\n");
  }
  if (length) {
    framing_ = Framing::kLength;
    remaining_ = *length;
  } else if (body) {
    framing_ = Framing::kChunked;
  } else if (method == "POST" || method == "PUT" || method == "PATCH") {
    out.append("content-length: 0\r\n");
  }
  AppendFields(headers, close, &out);
  return out;
}

std::string Http1Writer::AnswerHead(int status, const StreamHeaders& headers, bool body,
                                    bool http11, bool head_request, bool close) {
  Require(status >= 200 && status <= 999, "the status is not a final HTTP status code");
  const auto length = LengthOf(headers);
  std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
  out.append(ReasonOf(status)).append("\r\n");
  const bool bodiless = head_request || status == 204 || status == 304;
  if (bodiless) {
    framing_ = Framing::kNone;
  } else if (length) {
    framing_ = Framing::kLength;
    remaining_ = *length;
  } else if (!body) {
    out.append("content-length: 0\r\n");
  } else {
    framing_ = http11 ? Framing::kChunked : Framing::kUntilClose;
  }
  AppendFields(headers, close || framing_ == Framing::kUntilClose, &out);
  return out;
}

void Http1Writer::AppendBody(std::string_view bytes, std::string* out) {
  if (bytes.empty() || framing_ == Framing::kNone) return;
  if (framing_ == Framing::kLength) {
    if (bytes.size() > remaining_) {
      throw Error(ResultCode::kAnswerCut, "the body is longer than its Content-Length");
    }
    remaining_ -= bytes.size();
  }
  if (framing_ != Framing::kChunked) {
    out->append(bytes);
    return;
  }
  char size[sizeof("ffffffffffffffff\r\n")];
  const int n = std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  out->append(size, n).append(bytes).append("\r\n");
}

void Http1Writer::AppendEnd(std::string* out) {
  if (framing_ == Framing::kLength && remaining_ > 0) {
    throw Error(ResultCode::kAnswerCut, "the body is shorter than its Content-Length");
  }
  if (framing_ == Framing::kChunked) out->append("0\r\n\r\n");
  framing_ = Framing::kNone;
}

std::string MakeErrorAnswer(ResultCode code, bool head_request, bool close) {
  const ResultCodeInfo& info = InfoOf(code);
  const std::string number = std::to_string(static_cast<int>(info.code));
  std::string body = "{\"code\":" + number + ",\"name\":\"" + std::string(info.name) +
                     "\",\"message\":\"" + std::string(info.meaning) +
                     "\",\"not_run\":" + (info.not_run ? "true" : "false") + "}";
  Http1Writer writer;
  std::string out =
      writer.AnswerHead(info.http_status,
                        {{"content-type", "application/json"},
                         {"x-quetzal-result", number + " " + std::string(info.name)},
                         {"content-length", std::to_string(body.size())}},
                        true, true, head_request, close);
  return head_request ? out : out + body;
}

}  // namespace quetzal
