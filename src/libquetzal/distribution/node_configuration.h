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

namespace quetzal {

/// What a node holds, and whether it may serve by it. `snapshot()` may be called from any
/// thread; all other calls come on one executor.
class NodeConfiguration final : public RoutingSource {
 public:
  /// A node that did not run for longer than `pause_limit` may not serve until it is
  /// vouched for again.
  NodeConfiguration(const Clock* clock, Duration pause_limit);

  std::shared_ptr<const RoutingSnapshot> snapshot() const override;

  /// Applies an update in one step. Returns false when it is not later than what is held.
  /// Throws Error(kDeltaBaseMismatch, kConfigurationInvalid); nothing has changed then.
  bool Apply(const ConfigurationUpdate& update);

  /// Sets the live backend servers. A service that would lose its last backend server
  /// through deaths alone keeps those it had.
  void SetTargets(std::vector<BackendTarget> targets,
                  const std::vector<std::string>& withdrawn);

  /// Nothing older than `floor` is in force from now on, and what is held is enough once
  /// it is not older.
  void Vouch(const Version& floor);

  /// May not serve until vouched for again.
  void Doubt();

  /// Says that the node runs; to be called more often than the pause limit. True when it
  /// had not run for longer than the pause limit.
  bool Alive();

  const Version& held() const { return held_; }
  std::uint64_t held_digest() const { return configuration_.digest.value; }
  const MeasuredConfiguration& configuration() const { return configuration_; }
  bool vouched() const { return vouched_; }
  bool serving() const;

 private:
  void Swap();

  const Clock* clock_;
  Duration pause_limit_;
  Version held_;
  Version floor_;
  MeasuredConfiguration configuration_;
  std::vector<BackendTarget> targets_;
  bool vouched_ = false;

  mutable std::mutex mutex_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
  SteadyTime alive_at_;
};

}  // namespace quetzal

#endif  // QUETZAL_DISTRIBUTION_NODE_CONFIGURATION_H_
