#ifndef QUETZAL_DISTRIBUTION_FANOUT_H_
#define QUETZAL_DISTRIBUTION_FANOUT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "base/result_code.h"
#include "distribution.pb.h"
#include "distribution/configuration_history.h"
#include "net/rpc.h"

namespace quetzal {

/// Bounds of a source of configurations.
struct FanoutSettings {
  Duration beat_period = std::chrono::seconds(1);
  std::size_t max_sessions = 2000;
  std::size_t max_buffered_bytes = 8u << 20;  ///< Over all sessions; then refuses.
  std::size_t max_session_buffered_bytes = 512u << 10;  ///< Then waits with updates.
  double admissions_per_second = 1000;
  double admission_burst = 500;
  /// Configurations kept for deltas. In memory each takes several times its encoded
  /// bytes; a subscriber that missed more gets a snapshot.
  std::size_t history_bytes = 1u << 20;
  std::size_t history_entries = 16;
};

/// The subscribers of one source (a control instance or a relay). All calls come on one
/// executor. Does not know threads or timers.
class Fanout {
 public:
  using SessionId = std::uint64_t;

  struct Callbacks {
    std::function<void(const NodeAck&)> on_ack;  ///< State of one node came.
    std::function<void(std::uint64_t nonce)>
        verify;  ///< Ask upward; answer by Verified().
    std::function<std::vector<std::string>()> gossip_addresses;
    /// kOk when a subscriber may be taken in now, else the code of the refusal.
    std::function<ResultCode(const Subscribe&)> admit;
  };

  Fanout(FanoutSettings settings, std::string instance, const Clock* clock,
         Random* random, Callbacks callbacks);

  SessionId Open(std::shared_ptr<MessageChannel> channel);
  void OnMessage(SessionId id, const std::string& message);
  void OnClosed(SessionId id);

  /// Gives a new configuration to all subscribers.
  void Publish(const Version& version, MeasuredConfiguration configuration);

  /// What the beats carry: rooted, and the path from the control instance to here.
  void SetSource(bool rooted, std::vector<std::string> path);

  /// Sends beats and updates held back; to be called every beat period.
  void Beat();

  /// Answer to the question with this nonce: what was committed after it was asked.
  void Verified(std::uint64_t nonce, bool rooted, const Version& committed);

  void CloseAll();

  /// The message that leads from `held` to the last configuration; see
  /// ConfigurationHistory::UpdateFrom.
  const std::string& UpdateFrom(const Version& held, std::uint64_t held_digest) {
    return history_.UpdateFrom(held, held_digest);
  }

  const ConfigurationHistory& history() const { return history_; }
  std::size_t sessions() const { return sessions_.size(); }
  std::uint64_t bytes_sent() const { return bytes_sent_; }
  std::uint64_t refusals() const { return refusals_; }

  /// Approximate bytes that one session takes here, without its connection.
  std::size_t BytesPerSession() const;

 private:
  struct Session {
    std::shared_ptr<MessageChannel> channel;
    bool subscribed = false;
    std::string instance;
    std::uint64_t incarnation = 0;
    std::string gossip_address;
    Version sent;
    std::uint64_t sent_digest = 0;
    std::map<std::string, NodeAck> last;  ///< Full report of each node behind a relay.
    std::vector<std::uint64_t> waiting;   ///< Nonces that wait for the next answer.
    std::vector<std::uint64_t> asked;     ///< Nonces covered by the question in flight.
  };

  void OnSubscribe(SessionId id, const Subscribe& subscribe);
  void OnAcks(Session* session, const Acks& acks);
  void Refuse(SessionId id, ResultCode code);
  void SendUpdate(Session* session);
  void SendTo(Session* session, const DownMessage& message);
  void SendBytes(Session* session, const std::string& bytes);
  void AskUpward();
  bool AdmitByRate();
  std::size_t BufferedBytes() const;
  DownMessage MakeBeat() const;

  FanoutSettings settings_;
  std::string instance_;
  const Clock* clock_;
  Random* random_;
  Callbacks callbacks_;
  ConfigurationHistory history_;
  std::map<SessionId, Session> sessions_;
  SessionId next_id_ = 1;
  bool rooted_ = false;
  std::vector<std::string> path_;
  double tokens_ = 0;
  SteadyTime tokens_at_;
  std::uint64_t question_ = 0;
  bool asking_ = false;
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t refusals_ = 0;
};

}  // namespace quetzal

#endif  // QUETZAL_DISTRIBUTION_FANOUT_H_
