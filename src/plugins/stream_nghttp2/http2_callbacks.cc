#include "plugins/stream_nghttp2/http2_callbacks.h"

#include <string>
#include <utility>

#include "plugins/stream_nghttp2/http2_connection.h"
#include "plugins/stream_nghttp2/http2_connection_manager.h"
#include "plugins/stream_nghttp2/http2_stream.h"

namespace quetzal {
namespace {

/// Overhead of a header field in addition to its bytes, as defined by RFC 9113.
constexpr std::size_t kFieldOverheadBytes = 32;

Http2Connection& ConnectionOf(void* user_data) {
  return *static_cast<Http2Connection*>(user_data);
}

/// True for the header fields of a request or an answer, false for trailers.
bool IsMessageHeaders(const nghttp2_frame* frame, const Http2Stream& stream) {
  return frame->hd.type == NGHTTP2_HEADERS &&
         (frame->headers.cat != NGHTTP2_HCAT_HEADERS || stream.awaits_answer);
}

std::string Text(const uint8_t* data, size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

bool EndsStream(const nghttp2_frame* frame) {
  return (frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA) &&
         (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
}

}  // namespace

const nghttp2_session_callbacks* Http2Callbacks::Table() {
  static const nghttp2_session_callbacks* const table = [] {
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, BeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, Header);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, FrameReceived);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, DataChunk);
    nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, FrameSent);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, StreamClosed);
    return callbacks;
  }();
  return table;
}

nghttp2_data_provider Http2Callbacks::BodyProvider(Http2Stream* stream) {
  nghttp2_data_provider provider{};
  provider.source.ptr = stream;
  provider.read_callback = ReadBody;
  return provider;
}

int Http2Callbacks::BeginHeaders(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                                 void* user_data) {
  if (frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
    ConnectionOf(user_data).HeadersBegan(frame->hd.stream_id);
  }
  return 0;
}

int Http2Callbacks::Header(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                           const uint8_t* name, size_t name_size, const uint8_t* value,
                           size_t value_size, uint8_t /*flags*/, void* user_data) {
  Http2Connection& connection = ConnectionOf(user_data);
  const auto stream = connection.Find(frame->hd.stream_id);
  if (!stream || !IsMessageHeaders(frame, *stream)) return 0;
  stream->header_bytes += name_size + value_size + kFieldOverheadBytes;
  const bool pseudo = name_size > 0 && name[0] == ':';
  if (stream->header_bytes > connection.manager_->options().max_header_bytes ||
      (!pseudo && nghttp2_check_header_name(name, name_size) == 0) ||
      nghttp2_check_header_value(value, value_size) == 0) {
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  }
  if (stream->accepted && Text(name, name_size) == ":path") {
    stream->path = Text(value, value_size);
  } else {
    stream->headers.emplace_back(Text(name, name_size), Text(value, value_size));
  }
  return 0;
}

int Http2Callbacks::FrameReceived(nghttp2_session* /*session*/,
                                  const nghttp2_frame* frame, void* user_data) {
  Http2Connection& connection = ConnectionOf(user_data);
  if (frame->hd.type == NGHTTP2_GOAWAY) {
    connection.BeginDrain();
    return 0;
  }
  const auto stream = connection.Find(frame->hd.stream_id);
  if (!stream) return 0;
  if (IsMessageHeaders(frame, *stream)) {
    if (stream->accepted) {
      connection.RequestArrived(stream);
    } else {
      const StreamHeaders headers = std::exchange(stream->headers, {});
      stream->awaits_answer = IsInterimStatus(HeaderValue(headers, ":status"));
      if (!stream->done) stream->handler->OnHeaders(headers);
    }
  }
  if (EndsStream(frame)) connection.EndArrived(*stream);
  return 0;
}

int Http2Callbacks::DataChunk(nghttp2_session* /*session*/, uint8_t /*flags*/, int32_t id,
                              const uint8_t* data, size_t size, void* user_data) {
  Http2Connection& connection = ConnectionOf(user_data);
  const auto stream = connection.Find(id);
  if (stream) connection.DataArrived(*stream, data, size);
  return 0;
}

int Http2Callbacks::FrameSent(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                              void* user_data) {
  if (frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA) {
    ConnectionOf(user_data).FrameSent(frame->hd.stream_id, EndsStream(frame));
  }
  return 0;
}

int Http2Callbacks::StreamClosed(nghttp2_session* /*session*/, int32_t id,
                                 uint32_t error_code, void* user_data) {
  ConnectionOf(user_data).StreamClosed(id, error_code);
  return 0;
}

ssize_t Http2Callbacks::ReadBody(nghttp2_session* /*session*/, int32_t /*id*/,
                                 uint8_t* buf, size_t capacity, uint32_t* flags,
                                 nghttp2_data_source* source, void* user_data) {
  auto* const stream = static_cast<Http2Stream*>(source->ptr);
  const Http2Stream::Chunk chunk = stream->Read(buf, capacity);
  if (chunk.became_writable) ConnectionOf(user_data).writable_.push_back(stream);
  if (chunk.end) *flags |= NGHTTP2_DATA_FLAG_EOF;
  if (chunk.size == 0 && !chunk.end) {
    stream->deferred = true;
    return NGHTTP2_ERR_DEFERRED;
  }
  return static_cast<ssize_t>(chunk.size);
}

}  // namespace quetzal
