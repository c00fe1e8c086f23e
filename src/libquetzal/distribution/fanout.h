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
#include "base/token_bucket.h"
#include "distribution.pb.h"
#include "distribution/configuration_history.h"
#include "net/rpc.h"

namespace quetzal {

/// Bounds of a source of configurations.
struct FanoutSettings {
  Duration heartbeat_period = std::chrono::seconds(1);
  std::size_t max_sessions = 2000;
  std::size_t max_buffered_bytes = 8u << 20;  ///< Over all sessions; above it, refuses.
  std::size_t max_session_buffered_bytes = 512u << 10;  ///< Above it, delays updates.
  double admissions_per_second = 1000;
  double admission_burst = 500;
  /// Configurations kept for deltas. Each takes several times its encoded size in
  /// memory; a subscriber that missed more of them gets a snapshot.
  std::size_t history_bytes = 1u << 20;
  std::size_t history_entries = 16;
};

/// The subscribers of one source (a control instance or a relay). All calls must come on
/// one executor. Uses no threads or timers of its own.
class Fanout {
 public:
  using SessionId = std::uint64_t;

  struct Callbacks {
    std::function<void(const NodeAck&)> on_ack;  ///< A node's report arrived.
    std::function<void(std::uint64_t nonce)>
        verify;  ///< Asks the upstream source; AnswerQuestion() gets the answer.
    std::function<std::vector<std::string>()> gossip_addresses;
    /// Returns kOk when a subscriber is admitted now, else the code of the refusal.
    std::function<ResultCode(const Subscribe&)> admit;
  };

  Fanout(FanoutSettings settings, std::string instance, const Clock* clock,
         Random* random, Callbacks callbacks);

  SessionId Open(std::shared_ptr<MessageChannel> channel);
  void OnMessage(SessionId id, const std::string& message);
  void OnClosed(SessionId id);

  /// Sends a new configuration to all subscribers.
  void Publish(const Version& version, MeasuredConfiguration configuration);

  /// Sets the content of heartbeats: whether a control instance with a quorum stands
  /// behind this source, and the path from that control instance to this instance.
  void SetSource(bool quorum_backed, std::vector<std::string> path);

  /// Sends heartbeats and delayed updates. Must be called every heartbeat period.
  void SendHeartbeats();

  /// Answers the question with this nonce: `committed` was read after it was asked.
  void AnswerQuestion(std::uint64_t nonce, bool quorum_backed, const Version& committed);

  void CloseAll();

  /// Returns the message that updates `applied` to the last configuration; see
  /// ConfigurationHistory::UpdateFrom.
  const std::string& UpdateFrom(const Version& applied, std::uint64_t applied_digest) {
    return history_.UpdateFrom(applied, applied_digest);
  }

  const ConfigurationHistory& history() const { return history_; }
  std::size_t sessions() const { return sessions_.size(); }
  std::uint64_t bytes_sent() const { return bytes_sent_; }
  std::uint64_t refusals() const { return refusals_; }

  /// Returns the approximate bytes of memory per session, without its connection.
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
    std::map<std::string, NodeAck> last;  ///< Last full report of each node.
    std::vector<std::uint64_t> waiting;   ///< Nonces for the next question.
    std::vector<std::uint64_t> asked;     ///< Nonces covered by the question in flight.
  };

  void OnSubscribe(SessionId id, const Subscribe& subscribe);
  void OnAcks(Session* session, const Acks& acks);
  void Refuse(SessionId id, ResultCode code);
  void SendUpdate(Session* session);
  void SendTo(Session* session, const DownMessage& message);
  void SendBytes(Session* session, const std::string& bytes);
  void AskUpstream();
  std::size_t BufferedBytes() const;
  DownMessage MakeHeartbeat() const;

  FanoutSettings settings_;
  std::string instance_;
  const Clock* clock_;
  Random* random_;
  Callbacks callbacks_;
  ConfigurationHistory history_;
  std::map<SessionId, Session> sessions_;
  SessionId next_id_ = 1;
  bool quorum_backed_ = false;
  std::vector<std::string> path_;
  TokenBucket admissions_;
  std::uint64_t question_ = 0;
  bool asking_ = false;
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t refusals_ = 0;
};

}  // namespace quetzal

#endif  // QUETZAL_DISTRIBUTION_FANOUT_H_
