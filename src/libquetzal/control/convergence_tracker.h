#ifndef QUETZAL_CONTROL_CONVERGENCE_TRACKER_H_
#define QUETZAL_CONTROL_CONVERGENCE_TRACKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "configuration.pb.h"
#include "distribution/publisher.h"

namespace quetzal {

/// Times and limits of the tracker.
struct ConvergenceSettings {
  /// A proxy without a report for longer is not waited for while others of its data
  /// centre respond. Longer than the period in which proxies repeat their
  /// acknowledgement.
  Duration proxy_lease = std::chrono::seconds(8);

  /// A longer gap between two calls means that this process was paused.
  Duration pause_limit = std::chrono::seconds(2);
  std::size_t kept_confirmations = 1000;
};

/// A proxy and its last report.
struct TrackedProxy {
  ProxyAck ack;
  SteadyTime last_report;
  SteadyTime first_report;  ///< Of this incarnation to this control instance.
};

/// A data centre of which no proxy responds.
struct UnresponsiveDataCentre {
  std::string name;
  std::size_t proxies = 0;  ///< Known ones; 0: none has reported to this leader.
  Duration unresponsive_for{0};
};

/// How far a confirmed configuration is applied.
struct ConvergenceReport {
  bool done = false;
  bool was_done = false;  ///< Was done once; restarted proxies may lack it again.
  std::size_t live = 0;
  std::size_t acknowledged = 0;
  std::vector<TrackedProxy> waiting;            ///< Live, and have not applied it.
  std::vector<TrackedProxy> unresponsive;       ///< Their lease expired; not waited for.
  std::vector<UnresponsiveDataCentre> cut_off;  ///< Unresponsive, but waited for.
  Duration leader_wait{0};                      ///< Time left to report to a new leader.
  std::optional<Duration> convergence_time;     ///< Known if confirmed under this leader.
  std::optional<std::uint64_t> control_bytes;
};

/// Decides from acknowledgements which confirmed configurations every live proxy has
/// applied. Acknowledgements of earlier incarnations do not count. Sweep must be called
/// more often than the pause limit. Not thread-safe.
class ConvergenceTracker {
 public:
  ConvergenceTracker(const Clock* clock, ConvergenceSettings settings);

  void OnAck(const ProxyAck& ack);

  /// Leadership began. No version is done before one proxy lease has passed, since a live
  /// proxy may not have reported to this leader yet.
  void OnLeading();

  /// A configuration was confirmed. `control_bytes` is the number of bytes sent to
  /// proxies so far.
  void OnConfirmed(const Version& version, const Configuration& configuration,
                   std::uint64_t control_bytes);

  /// Returns the versions that became done since the last call.
  std::vector<Version> TakeDone(std::uint64_t control_bytes);

  /// Forgets proxies that died or left and sent no report for ten leases.
  void Sweep();

  ConvergenceReport Report(const Version& version) const;

  /// Known proxies by name.
  const std::map<std::string, TrackedProxy>& proxies() const { return proxies_; }

  /// True when the proxy is neither dead nor left and its lease has not expired.
  bool IsLive(const TrackedProxy& proxy) const;

 private:
  struct Confirmation {
    Version version;
    SteadyTime confirmed_at;
    std::uint64_t bytes_before = 0;
    bool done = false;
    std::optional<SteadyTime> applied_since;  ///< Since when all live proxies have it.
    std::optional<Duration> convergence_time;
    std::optional<std::uint64_t> control_bytes;
  };

  void DetectPause();
  std::set<std::string> ResponsiveDataCentres() const;
  std::vector<UnresponsiveDataCentre> CutOff() const;

  const Clock* clock_;
  ConvergenceSettings settings_;
  SteadyTime leading_since_;
  SteadyTime last_call_at_;
  std::vector<std::string> data_centres_;
  std::map<std::string, TrackedProxy> proxies_;
  std::map<std::uint64_t, Confirmation> confirmations_;  ///< By log index.
};

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_CONVERGENCE_TRACKER_H_
