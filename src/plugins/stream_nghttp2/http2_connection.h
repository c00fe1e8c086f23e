#ifndef QUETZAL_PLUGINS_STREAM_NGHTTP2_HTTP2_CONNECTION_H_
#define QUETZAL_PLUGINS_STREAM_NGHTTP2_HTTP2_CONNECTION_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "base/clock.h"
#include "base/settings.h"
#include "net/queued_stream.h"

struct nghttp2_session;

namespace quetzal {

class Http2ConnectionManager;
class Http2Stream;

/// One HTTP/2 connection, opened or accepted. Private functions run on its strand.
class Http2Connection final : public StreamCarrier,
                              public std::enable_shared_from_this<Http2Connection> {
 public:
  using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;
  using Socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, Strand>;

  /// Creates a connection that Connect() opens to `peer`.
  Http2Connection(std::shared_ptr<Http2ConnectionManager> manager, const Endpoint& peer);

  /// Creates a connection from an accepted socket.
  Http2Connection(std::shared_ptr<Http2ConnectionManager> manager, Socket socket);

  ~Http2Connection() override;
  Http2Connection(const Http2Connection&) = delete;
  Http2Connection& operator=(const Http2Connection&) = delete;

  void Connect();
  void Accept();

  /// Counts a stream before Start is called, so that the connection is not seen as idle.
  void Reserve() { ++assigned_streams_; }
  void Start(const std::shared_ptr<Http2Stream>& stream);

  void Wake(const std::shared_ptr<QueuedStream>& stream) override;

  /// Refuses new streams (GOAWAY) and closes when the last one has ended.
  void CloseWhenIdle();

  /// Streams that are open or reserved.
  std::size_t assigned_streams() const { return assigned_streams_; }
  SteadyTime last_used() const { return SteadyTime(Duration(last_used_.load())); }

 private:
  friend struct Http2Callbacks;

  void Connected(const boost::system::error_code& ec);
  void MakeSession(bool server);
  void StartNow(const std::shared_ptr<Http2Stream>& stream);
  void SubmitRequest(const std::shared_ptr<Http2Stream>& stream);
  void HandleWork(Http2Stream& stream);
  void SubmitAnswer(Http2Stream& stream, const StreamHeaders& headers, bool end);
  void ResetStream(Http2Stream& stream, ResultCode handler_code);
  void ReturnCredit(Http2Stream& stream, std::size_t n);
  void BeginDrain();

  void ReadMore();
  void Readable();
  void Flush();
  void NotifyWritable();
  void Tick();
  void SendPing(SteadyTime now);

  /// Closes when the session has finished or, while draining, when no stream is left.
  void CloseIfDone();

  /// Closes the connection and ends its streams with `code`; streams whose headers were
  /// not sent end with kConnectFailed.
  void Close(ResultCode code);
  void Finish(const std::shared_ptr<Http2Stream>& stream, ResultCode code);
  void RecordActivity();

  // Called by Http2Callbacks.
  void HeadersBegan(std::int32_t id);
  void RequestArrived(const std::shared_ptr<Http2Stream>& stream);
  void DataArrived(Http2Stream& stream, const std::uint8_t* data, std::size_t size);
  void EndArrived(Http2Stream& stream);
  void FrameSent(std::int32_t id, bool end);
  void StreamClosed(std::int32_t id, std::uint32_t error_code);
  std::shared_ptr<Http2Stream> Find(std::int32_t id) const;

  const std::shared_ptr<Http2ConnectionManager> manager_;
  const std::optional<Endpoint> peer_;  ///< Set on an opened connection.
  Strand strand_;
  Socket socket_;
  boost::asio::steady_timer timer_;
  nghttp2_session* session_ = nullptr;
  std::unordered_map<std::int32_t, std::shared_ptr<Http2Stream>> streams_;
  std::vector<std::shared_ptr<Http2Stream>> unsubmitted_;  ///< Until connected.
  std::vector<Http2Stream*> writable_;
  std::string out_;
  std::size_t withheld_credit_ = 0;  ///< Connection-level bytes, not yet returned.
  SteadyTime last_received_;
  SteadyTime last_tick_;
  std::optional<SteadyTime> ping_sent_;
  std::optional<SteadyTime> drained_since_;
  bool writing_ = false;
  bool draining_ = false;
  bool closed_ = false;
  std::atomic<std::size_t> assigned_streams_{0};
  std::atomic<Duration::rep> last_used_{0};
};

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_STREAM_NGHTTP2_HTTP2_CONNECTION_H_
