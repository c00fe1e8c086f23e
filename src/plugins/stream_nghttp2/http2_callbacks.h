#ifndef QUETZAL_PLUGINS_STREAM_NGHTTP2_HTTP2_CALLBACKS_H_
#define QUETZAL_PLUGINS_STREAM_NGHTTP2_HTTP2_CALLBACKS_H_

#include <nghttp2/nghttp2.h>

namespace quetzal {

class Http2Stream;

/// Forwards the callbacks of libnghttp2 to Http2Connection.
struct Http2Callbacks {
  /// Callback table used by all sessions.
  static const nghttp2_session_callbacks* Table();

  /// Data provider that reads the body of `stream`.
  static nghttp2_data_provider BodyProvider(Http2Stream* stream);

  static int BeginHeaders(nghttp2_session* session, const nghttp2_frame* frame,
                          void* user_data);
  static int Header(nghttp2_session* session, const nghttp2_frame* frame,
                    const uint8_t* name, size_t name_size, const uint8_t* value,
                    size_t value_size, uint8_t flags, void* user_data);
  static int FrameReceived(nghttp2_session* session, const nghttp2_frame* frame,
                           void* user_data);
  static int DataChunk(nghttp2_session* session, uint8_t flags, int32_t id,
                       const uint8_t* data, size_t size, void* user_data);
  static int FrameSent(nghttp2_session* session, const nghttp2_frame* frame,
                       void* user_data);
  static int StreamClosed(nghttp2_session* session, int32_t id, uint32_t error_code,
                          void* user_data);
  static ssize_t ReadBody(nghttp2_session* session, int32_t id, uint8_t* buf,
                          size_t capacity, uint32_t* flags, nghttp2_data_source* source,
                          void* user_data);
};

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_STREAM_NGHTTP2_HTTP2_CALLBACKS_H_
