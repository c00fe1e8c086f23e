#ifndef QUETZAL_DISTRIBUTION_SOURCE_LINK_H_
#define QUETZAL_DISTRIBUTION_SOURCE_LINK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/backoff.h"
#include "base/clock.h"
#include "base/random.h"
#include "base/settings.h"
#include "distribution.pb.h"
#include "kernel/executor.h"
#include "net/rpc.h"

namespace quetzal {

/// Timeouts and delays of the link to the source.
struct SourceLinkSettings {
  Duration connect_timeout = std::chrono::seconds(1);  ///< In the first round.
  Duration connect_timeout_cap = std::chrono::seconds(8);
  Duration source_timeout = std::chrono::seconds(3);
  Duration heartbeat_limit = std::chrono::milliseconds(1200);  ///< Period and jitter.
  /// After a round in which every candidate failed, the next source is kept at least for
  /// this time, even without a quorum, unless its connection fails.
  Duration failed_round_hold = std::chrono::seconds(15);
  Duration backoff_base = std::chrono::milliseconds(100);
  Duration backoff_cap = std::chrono::seconds(2);
};

/// The channel over which a node receives its configurations from a relay or a control
/// instance. Connects to the next candidate when a source fails. All calls and callbacks
/// run on one executor.
class SourceLink : public std::enable_shared_from_this<SourceLink> {
 public:
  struct Candidate {
    Endpoint address;
    bool relay = false;
    std::string name;  ///< Instance name of a relay; empty for a control instance.
  };
  struct Callbacks {
    std::function<Subscribe()> subscribe;
    std::function<void(const DownMessage&)> on_message;  ///< Except refusals.
    std::function<void()> on_lost;
    std::function<void(const std::vector<std::string>&)> on_addresses;
  };

  SourceLink(SourceLinkSettings settings, std::string instance, MessageChannels* channels,
             Executor* executor, const Clock* clock, Random* random, Callbacks callbacks);

  /// Sets the sources in order of preference. Leaves the current source soon when it is
  /// no longer among them, and after a random delay when a relay can replace a control
  /// instance.
  void SetCandidates(std::vector<Candidate> candidates);

  /// Runs the timeouts; must be called about every 100 ms.
  void Tick();

  /// Sends a message to the source. Returns false when no source is open.
  bool Send(const UpMessage& message);

  /// Closes the current source and connects to the next one.
  void Drop();
  void Stop();

  bool open() const { return welcomed_; }
  bool quorum_backed() const { return welcomed_ && quorum_backed_; }

  /// True when the source may no longer deliver confirmed configurations: it is not
  /// connected, reports no quorum behind it, or its heartbeat is late.
  bool doubtful() const;
  bool through_relay() const { return channel_ != nullptr && current_.relay; }
  const Endpoint& address() const { return current_.address; }
  const std::vector<std::string>& path() const { return path_; }
  const Version& committed() const { return committed_; }
  std::uint64_t bytes_sent() const { return bytes_sent_; }
  std::uint64_t bytes_received() const { return bytes_received_; }

 private:
  class Handler;

  void Connect();
  void OnMessage(std::uint64_t epoch, const std::string& bytes);
  void OnClosed(std::uint64_t epoch);
  void OnHeartbeat(const Beat& heartbeat);
  void OnRefused(const Refused& refused);
  void SwitchSource();
  void ClosePrevious();
  void Close();
  void Fail(Duration at_least);
  void ScheduleSwitch(Duration min_delay, Duration jitter);
  Duration ConnectTimeout() const;
  std::size_t RankOfCurrent() const;

  SourceLinkSettings settings_;
  std::string instance_;
  MessageChannels* channels_;
  Executor* executor_;
  const Clock* clock_;
  Random* random_;
  Callbacks callbacks_;
  Backoff backoff_;
  std::vector<Candidate> candidates_;
  std::size_t next_ = 0;
  Candidate current_;
  std::shared_ptr<MessageChannel> channel_;
  std::uint64_t epoch_ = 0;
  std::shared_ptr<MessageChannel> previous_;  ///< Old source during a switch.
  std::uint64_t previous_epoch_ = 0;
  bool welcomed_ = false;
  bool quorum_backed_ = false;
  bool stopped_ = false;
  bool switch_scheduled_ = false;
  std::vector<std::string> path_;
  Version committed_;
  SteadyTime connect_at_;
  SteadyTime opened_at_;
  SteadyTime last_contact_at_;
  SteadyTime quorum_backed_at_;
  SteadyTime switch_at_;
  SteadyTime hold_until_;
  std::size_t failures_in_round_ = 0;
  std::size_t unanswered_ = 0;  ///< Timeouts since a quorum-backed heartbeat.
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t bytes_received_ = 0;
};

}  // namespace quetzal

#endif  // QUETZAL_DISTRIBUTION_SOURCE_LINK_H_
