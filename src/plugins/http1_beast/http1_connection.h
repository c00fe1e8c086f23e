#ifndef QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_CONNECTION_H_
#define QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_CONNECTION_H_

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "net/queued_stream.h"
#include "plugins/http1_beast/http1_writer.h"

namespace quetzal {

/// Base of client and server connections: reads, writes and keeps one deadline. All
/// functions of this class except Wake() must be called on the connection's strand.
class Http1Connection : public StreamCarrier,
                        public std::enable_shared_from_this<Http1Connection> {
 public:
  using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;
  using Socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, Strand>;

  void Wake(const std::shared_ptr<QueuedStream>& stream) override;

 protected:
  explicit Http1Connection(Socket socket);

  /// Sets the options of a connected socket.
  void SetSocketOptions();

  /// Waits for input, then reads up to ReadLimit() bytes. Does nothing if that is zero.
  void ScheduleRead();
  void Write(std::string bytes);

  /// Writes the bytes queued in `stream` until enough output waits for the socket.
  /// Returns true at the end of the message. Throws Error as Http1Writer does.
  bool Pump(QueuedStream& stream, Http1Writer* writer, StreamHandler* handler);

  void SetDeadline(Duration delay);
  void ClearDeadline() { deadline_.reset(); }
  bool has_deadline() const { return deadline_.has_value(); }

  /// Calls ReadEnded(false) when the connection breaks although nothing is being read.
  void WatchForDisconnect();

  void ShutdownSend();
  void CloseSocket();

  bool closed() const { return closed_; }
  bool read_ended() const { return read_ended_; }
  bool output_pending() const { return writing_ || !queued_output_.empty(); }
  Socket& socket() { return socket_; }
  const Strand& strand() const { return strand_; }

  /// The number of bytes that may be read now.
  virtual std::size_t ReadLimit() const = 0;
  virtual void Received(std::string_view bytes) = 0;

  /// `orderly` is true when the peer shut down its side, false when the connection broke.
  virtual void ReadEnded(bool orderly) = 0;

  /// Called when everything passed to Write has been sent.
  virtual void Written() = 0;
  virtual void WriteFailed() = 0;
  virtual void DeadlinePassed() = 0;
  virtual void HandleWork(const std::shared_ptr<QueuedStream>& stream) = 0;

 private:
  void Readable();
  void StartWrite();
  void ArmTimer();

  Strand strand_;
  Socket socket_;
  boost::asio::steady_timer timer_;
  std::optional<SteadyTime> deadline_;
  std::optional<SteadyTime> timer_expiry_;
  std::string active_output_;  ///< Being written to the socket.
  std::string queued_output_;  ///< Written next.
  bool reading_ = false;
  bool writing_ = false;
  bool read_ended_ = false;
  bool closed_ = false;
};

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_HTTP1_BEAST_HTTP1_CONNECTION_H_
