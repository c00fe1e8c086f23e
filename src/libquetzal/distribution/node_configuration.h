#ifndef QUETZAL_DISTRIBUTION_NODE_CONFIGURATION_H_
#define QUETZAL_DISTRIBUTION_NODE_CONFIGURATION_H_

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock.h"
#include "calls/routing_snapshot.h"
#include "configuration.pb.h"
#include "distribution.pb.h"
#include "distribution/configuration_history.h"
#include "distribution/credential_lease.h"

namespace quetzal {

/// The configuration that a node has applied, and whether it may serve with it.
/// `snapshot()` and `credentials_proved()` may be called from any thread; all other calls
/// must come on one executor.
class NodeConfiguration final : public RoutingSource {
 public:
  /// A node that did not run for longer than `pause_limit` may not serve until its
  /// configuration is confirmed as fresh again.
  /// Without a `lease`, credentials are always proved; it must outlive this object.
  NodeConfiguration(const Clock* clock, Duration pause_limit,
                    const CredentialLease* lease = nullptr);

  std::shared_ptr<const RoutingSnapshot> snapshot() const override;
  bool credentials_proved() const override;

  /// True when the applied configuration has teams.
  bool has_teams() const;

  /// Applies an update atomically. Returns false when it is not later than the applied
  /// version. Throws the errors of ApplyUpdate and changes nothing then.
  bool Apply(const ConfigurationUpdate& update);

  /// Sets the live backend servers. `withdrawn`: instances that ended service on purpose.
  /// A service that would lose its last backend server through failures alone keeps its
  /// previous ones.
  void SetTargets(std::vector<BackendTarget> targets,
                  const std::vector<std::string>& withdrawn);

  /// Sets the requests that must not be sent to a backend server; null: none.
  void SetCrashingRequests(std::shared_ptr<const CrashingRequests> crashing);

  /// Confirms the configuration as fresh: the node serves with a version that is not
  /// older than `floor`, and waits for such a version if it has none.
  void ConfirmFresh(const Version& floor);

  /// Stops serving until the configuration is confirmed as fresh again.
  void MarkStale();

  /// Records that the process is running; must be called more often than the pause limit.
  /// Returns true, and stops serving, when it had not run for longer than that limit.
  bool DetectPause();

  const Version& applied_version() const { return applied_version_; }
  std::uint64_t applied_digest() const { return configuration_.digest.value; }
  const MeasuredConfiguration& configuration() const { return configuration_; }
  bool fresh() const { return fresh_; }
  bool serving() const;

 private:
  void PublishSnapshot();

  const Clock* clock_;
  Duration pause_limit_;
  const CredentialLease* lease_;
  Version applied_version_;
  Version floor_;
  MeasuredConfiguration configuration_;
  std::vector<BackendTarget> targets_;
  std::shared_ptr<const CrashingRequests> crashing_;
  bool fresh_ = false;

  mutable std::mutex mutex_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
  SteadyTime last_run_at_;
};

}  // namespace quetzal

#endif  // QUETZAL_DISTRIBUTION_NODE_CONFIGURATION_H_
