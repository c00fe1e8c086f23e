#ifndef QUETZAL_CALLS_ROLLOUT_ROUTER_H_
#define QUETZAL_CALLS_ROLLOUT_ROUTER_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "calls/routing_snapshot.h"

namespace quetzal {

/// The last rollout of a service; null when there was none.
const Rollout* FindRollout(const Configuration& configuration, std::string_view service);

/// True while requests are counted by version.
bool IsUnderWay(const Rollout& rollout);

/// True when the node of a server with `server_version` must refuse a call, because its
/// sender may not know the state of the rollout. `stated`: index of the configuration
/// that the sender used; `applied`: of the node's own configuration.
bool RefusesCall(const Rollout& rollout, const std::string& server_version,
                 std::optional<std::uint64_t> stated, std::uint64_t applied);

/// Which versions a request may use while a rollout is running. Drawn once per request.
struct CanaryDraw {
  std::uint64_t rollout = 0;  ///< Log index of the rollout's order; 0: not drawn.
  bool is_new = false;        ///< New version; counts against the share until released.
};

/// Decides which backend servers of a service a request may use while the service has a
/// rollout. While it is running, at most max_share_permille of the requests that reach a
/// server go to the new version. Every node keeps below that share by itself, and so does
/// the fleet. Safe for use from several threads; its mutex is a leaf lock.
class RolloutRouter {
 public:
  using Targets = std::vector<const BackendTarget*>;

  /// Returns those of `targets`, the servers of the rollout's service, that the next
  /// attempt of a request may use. `unit` is uniform in [0, 1); `repeated`: a server has
  /// seen the request before; `since_start` selects the new servers that are in use.
  Targets Admissible(const Rollout& rollout, const Targets& targets, double unit,
                     bool repeated, std::chrono::microseconds since_start,
                     CanaryDraw* draw);

  /// Frees the place that `draw` holds in the share: no server of the new version has
  /// seen the request. It uses the old version from now on.
  void Release(const std::string& service, CanaryDraw* draw);

  /// Counts a request that a server has seen, once per request.
  void CountServed(const std::string& service, std::uint64_t rollout);

  /// Records that the node of a server with this version refused a call because the
  /// configuration with `configuration_index` is too old for it. False when it is known.
  bool RecordRefusal(const BackendTarget& target, std::uint64_t configuration_index);

  /// Drops targets whose version refuses this configuration, unless all do: the version
  /// of a server may have changed before it refused a call.
  void DropRefused(std::uint64_t configuration_index, Targets* targets) const;
  bool has_refusals() const { return has_refusals_; }

  /// Drops what is recorded of rollouts that are not running in `configuration`.
  void Prune(const Configuration& configuration);

 private:
  struct Share {
    std::uint64_t rollout = 0;   ///< Log index of its order.
    std::uint64_t served = 0;    ///< Requests that a server has seen, of either version.
    std::uint64_t canaries = 0;  ///< Requests sent to the new version, also unfinished.
  };

  bool TakeCanary(const Rollout& rollout, double unit);

  mutable std::mutex mutex_;
  std::map<std::string, Share> shares_;  ///< By service.
  /// Latest configuration that was refused, by service and version.
  std::map<std::pair<std::string, std::string>, std::uint64_t> refusals_;
  std::atomic<bool> has_refusals_{false};
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_ROLLOUT_ROUTER_H_
