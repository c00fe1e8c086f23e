#include "plugins/http1_beast/http1_parser.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <utility>

#include <boost/beast/http/basic_parser.hpp>

namespace quetzal {
namespace {

namespace http = boost::beast::http;

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kAbsoluteScheme = "http://";

/// Limit for a chunk header and for the trailer fields.
constexpr std::size_t kMaxChunkHeaderBytes = 8UL * 1024;

[[noreturn]] void ThrowMalformed(const std::string& what) {
  throw Error(ResultCode::kRequestMalformed, what);
}

std::string_view ToStringView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

std::string ToLower(std::string_view text) {
  std::string lower(text);
  for (char& c : lower) {
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  }
  return lower;
}

std::size_t CountFields(const StreamHeaders& headers, std::string_view name) {
  return std::count_if(headers.begin(), headers.end(),
                       [name](const auto& field) { return field.first == name; });
}

/// Rejects ambiguous framing, which allows request smuggling: two parsers could read
/// messages of different length.
void CheckFraming(const Http1Head& head) {
  const std::size_t lengths = CountFields(head.headers, "content-length");
  const std::size_t codings = CountFields(head.headers, "transfer-encoding");
  if (lengths > 1) ThrowMalformed("more than one Content-Length");
  if (lengths > 0 && codings > 0) ThrowMalformed("Content-Length with Transfer-Encoding");
  if (HeaderValue(head.headers, "content-length").find(',') != std::string_view::npos) {
    ThrowMalformed("Content-Length is a list");
  }
  if (codings == 0) return;
  if (codings > 1 ||
      ToLower(HeaderValue(head.headers, "transfer-encoding")) != "chunked") {
    ThrowMalformed("Transfer-Encoding is not chunked");
  }
  if (!head.http11) ThrowMalformed("Transfer-Encoding in HTTP/1.0");
}

/// Converts a target in absolute form to a path and sets the Host field from it.
void NormalizeTarget(Http1Head* head) {
  if (head->target[0] == '/' || (head->target == "*" && head->method == "OPTIONS")) {
    return;
  }
  if (ToLower(head->target.substr(0, kAbsoluteScheme.size())) != kAbsoluteScheme) {
    ThrowMalformed("the request target is neither a path nor an http URL");
  }
  const std::string rest = head->target.substr(kAbsoluteScheme.size());
  const std::size_t end = rest.find_first_of("/?#");
  const std::string path = end == std::string::npos ? "" : rest.substr(end);
  head->target = path.empty() || path[0] != '/' ? "/" + path : path;
  for (auto& [name, value] : head->headers) {
    if (name == "host") value = rest.substr(0, end);
  }
}

void CheckRequest(Http1Head* head) {
  const std::size_t hosts = CountFields(head->headers, "host");
  if (hosts > 1 || (hosts == 0 && head->http11)) ThrowMalformed("not exactly one Host");
  NormalizeTarget(head);
}

/// Forwards the events of Beast's parser to a sink.
template <bool is_request>
class Parser final : public http::basic_parser<is_request> {
 public:
  explicit Parser(const Http1Options& options) : max_fields_(options.max_fields) {
    this->header_limit(static_cast<std::uint32_t>(options.max_head_bytes));
    // The maximum value means no limit: Boost 1.74 rejects every length when the limit is
    // boost::none.
    this->body_limit(std::numeric_limits<std::uint64_t>::max());
  }

  void set_sink(Http1Sink* sink) { sink_ = sink; }

 private:
  using ErrorCode = boost::beast::error_code;
  using StringView = boost::beast::string_view;

  void on_request_impl(http::verb /*verb*/, StringView method, StringView target,
                       int version, ErrorCode& /*ec*/) override {
    head_.method = ToStringView(method);
    head_.target = ToStringView(target);
    head_.http11 = version == 11;
  }

  void on_response_impl(int status, StringView /*reason*/, int version,
                        ErrorCode& /*ec*/) override {
    head_.status = status;
    head_.http11 = version == 11;
  }

  void on_field_impl(http::field /*field*/, StringView name, StringView value,
                     ErrorCode& /*ec*/) override {
    if (head_done_) return;
    if (head_.headers.size() >= max_fields_) {
      throw Error(ResultCode::kRequestTooLarge, "too many header fields");
    }
    head_.headers.emplace_back(ToLower(ToStringView(name)), ToStringView(value));
  }

  void on_header_impl(ErrorCode& /*ec*/) override {
    CheckFraming(head_);
    if (is_request) CheckRequest(&head_);
    head_done_ = true;
    head_.keep_alive = this->keep_alive();
    head_.until_close = !is_request && this->need_eof();
    sink_->OnHead(std::move(head_));
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                         ErrorCode& /*ec*/) override {}

  std::size_t on_body_impl(StringView body, ErrorCode& /*ec*/) override {
    sink_->OnBody(ToStringView(body));
    return body.size();
  }

  void on_chunk_header_impl(std::uint64_t /*size*/, StringView /*extensions*/,
                            ErrorCode& /*ec*/) override {}

  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, StringView body,
                                 ErrorCode& /*ec*/) override {
    sink_->OnBody(ToStringView(body));
    return body.size();
  }

  void on_finish_impl(ErrorCode& /*ec*/) override { sink_->OnMessageEnd(); }

  const std::size_t max_fields_;
  Http1Sink* sink_ = nullptr;
  Http1Head head_;
  bool head_done_ = false;
};

}  // namespace

class Http1Parser::Impl {
 public:
  explicit Impl(const Http1Options& options) : options_(options) {}
  virtual ~Impl() = default;

  virtual std::size_t Put(std::string_view bytes, Http1Sink* sink, bool* need_more) = 0;
  virtual bool PutEnd(Http1Sink* sink) = 0;
  virtual bool done() const = 0;

  std::size_t Parse(std::string_view bytes, Http1Sink* sink) {
    std::size_t used = 0;
    if (!head_done_) {
      used = BufferHead(bytes);
      if (!head_complete_) return used;
      ParseHead(sink);
    }
    return done() ? used : used + ParseBody(bytes.substr(used), sink);
  }

  bool head_begun() const { return !head_.empty(); }
  bool head_done() const { return head_done_; }

 private:
  std::size_t BufferHead(std::string_view bytes) {
    std::size_t begin = 0;
    // Skips empty lines before the request line, as RFC 9112 recommends.
    while (head_.empty() && bytes.substr(begin, kLineEnd.size()) == kLineEnd) {
      begin += kLineEnd.size();
    }
    const std::size_t buffered = head_.size();
    head_.append(bytes.substr(begin, options_.max_head_bytes + 1 - buffered));
    const std::size_t from = buffered < kHeadEnd.size() ? 0 : buffered - kHeadEnd.size();
    const std::size_t end = head_.find(kHeadEnd, from);
    head_complete_ = end != std::string::npos;
    if (head_complete_) head_.resize(end + kHeadEnd.size());
    CheckLines(buffered);
    if (head_.size() > options_.max_head_bytes) {
      throw Error(ResultCode::kRequestTooLarge, "the head is too large");
    }
    return begin + head_.size() - buffered;
  }

  void CheckLines(std::size_t from) const {
    for (std::size_t n = from; n < head_.size(); ++n) {
      const char before = n > 0 ? head_[n - 1] : '\0';
      if (head_[n] == '\n' && before != '\r') ThrowMalformed("a bare line feed");
      if ((head_[n] == ' ' || head_[n] == '\t') && before == '\n') {
        ThrowMalformed("a folded header field");
      }
    }
  }

  void ParseHead(Http1Sink* sink) {
    bool need_more = false;
    Put(head_, sink, &need_more);
    if (need_more) ThrowMalformed("the head is not complete");
    head_done_ = true;
    head_.clear();
    head_.shrink_to_fit();
  }

  std::size_t ParseBody(std::string_view bytes, Http1Sink* sink) {
    const std::size_t size = bytes.size();
    std::string joined;
    if (!partial_chunk_header_.empty()) {
      joined = std::move(partial_chunk_header_);
      partial_chunk_header_.clear();
      joined.append(bytes);
      bytes = joined;
    }
    bool need_more = false;
    while (!done() && !bytes.empty() && !need_more) {
      bytes.remove_prefix(Put(bytes, sink, &need_more));
    }
    if (done()) return size - bytes.size();
    if (bytes.size() > kMaxChunkHeaderBytes) ThrowMalformed("chunk header is too large");
    partial_chunk_header_ = bytes;
    return size;
  }

  const Http1Options& options_;
  std::string head_;
  std::string partial_chunk_header_;  ///< Bytes kept for the next call.
  bool head_complete_ = false;
  bool head_done_ = false;
};

namespace {

template <bool is_request, class Base>
class BeastImpl final : public Base {
 public:
  BeastImpl(const Http1Options& options, bool skip_body)
      : Base(options), parser_(options) {
    if (skip_body) parser_.skip(true);
  }

  std::size_t Put(std::string_view bytes, Http1Sink* sink, bool* need_more) override {
    boost::beast::error_code ec;
    parser_.set_sink(sink);
    const std::size_t n =
        parser_.put(boost::asio::const_buffer(bytes.data(), bytes.size()), ec);
    *need_more = ec == http::error::need_more;
    if (ec && !*need_more) ThrowMalformed(ec.message());
    return n;
  }

  bool PutEnd(Http1Sink* sink) override {
    boost::beast::error_code ec;
    parser_.set_sink(sink);
    if (!this->head_done() || parser_.is_done()) return false;
    parser_.put_eof(ec);
    return !ec;
  }

  bool done() const override { return parser_.is_done(); }

 private:
  Parser<is_request> parser_;
};

}  // namespace

Http1Parser::Http1Parser(Http1MessageKind kind, const Http1Options& options) {
  if (kind == Http1MessageKind::kRequest) {
    impl_ = std::make_unique<BeastImpl<true, Impl>>(options, false);
  } else {
    impl_ = std::make_unique<BeastImpl<false, Impl>>(
        options, kind == Http1MessageKind::kAnswerToHead);
  }
}

Http1Parser::~Http1Parser() = default;

std::size_t Http1Parser::Parse(std::string_view bytes, Http1Sink* sink) {
  return impl_->Parse(bytes, sink);
}

bool Http1Parser::ParseEnd(Http1Sink* sink) { return impl_->PutEnd(sink); }
bool Http1Parser::head_begun() const { return impl_->head_begun(); }
bool Http1Parser::head_done() const { return impl_->head_done(); }
bool Http1Parser::done() const { return impl_->done(); }

}  // namespace quetzal
