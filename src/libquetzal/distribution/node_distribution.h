#ifndef QUETZAL_DISTRIBUTION_NODE_DISTRIBUTION_H_
#define QUETZAL_DISTRIBUTION_NODE_DISTRIBUTION_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/event_log.h"
#include "base/random.h"
#include "base/settings.h"
#include "calls/routing_snapshot.h"
#include "distribution/fanout.h"
#include "kernel/executor.h"
#include "membership.pb.h"
#include "membership/membership.h"
#include "net/datagram.h"
#include "net/rpc.h"

namespace quetzal {

class TeamLimiter;

/// Name and addresses of a node.
struct NodeIdentity {
  std::string instance;
  std::string data_centre;
  std::uint64_t incarnation = 0;  ///< 0: wall time in ns at the start.
  Endpoint gossip;                ///< Bound for datagrams; port 0: any free port.
  Endpoint stream;                ///< Where peers reach this node (already listening).
  Endpoint caller;                ///< Where callers reach this node; may be empty.
};

/// Bounds of a relay. Its subscribers are always close to the latest configuration, so a
/// short history is enough.
inline FanoutSettings RelayFanout() {
  FanoutSettings settings;
  settings.history_entries = 2;
  return settings;
}

/// Settings of membership and distribution on a node.
struct NodeDistributionSettings {
  std::vector<Endpoint> controls;  ///< Stream addresses of the control instances.
  std::vector<Endpoint> seeds;     ///< Gossip addresses of some other nodes.
  MembershipSettings membership;
  FanoutSettings fanout = RelayFanout();
  std::size_t relay_threshold = 8;  ///< Fewer members use no relays.
  Duration ack_period = std::chrono::seconds(2);
  /// Longest time until changed counts are reported while a rollout is under way.
  Duration counts_period = std::chrono::milliseconds(500);
  Duration source_timeout =
      std::chrono::seconds(2);  ///< Without a heartbeat; one may be late.
  Duration pause_limit = std::chrono::seconds(5);
  /// Time without a quorum-backed source after which the node counts as cut off and asks
  /// its peers.
  Duration cut_off_timeout = std::chrono::seconds(3);
  Duration leave_limit = std::chrono::seconds(3);
  Duration join_limit = std::chrono::seconds(2);  ///< See Status::joined.
  /// Time for which credentials of teams are used after the question to which a control
  /// instance has answered that none is withdrawn; 0: without such answers.
  Duration credential_lease{};
  Duration backoff_base = std::chrono::milliseconds(100);
  Duration backoff_cap = std::chrono::seconds(2);
};

/// Membership and distribution of one node: joins the fleet, applies configurations, and
/// forwards them to other nodes when it is chosen as a relay. All public calls are safe
/// from any thread.
class NodeDistribution {
 public:
  struct Dependencies {
    DatagramSocket* datagrams = nullptr;
    RpcClient* rpc_client = nullptr;
    RpcServer* rpc_server = nullptr;
    MessageChannels* channels = nullptr;
    Executor* executor = nullptr;
    const Clock* clock = nullptr;
    Random* random = nullptr;  ///< Used on the executor only.
    EventLog* events = nullptr;
    TeamLimiter* team_limiter = nullptr;  ///< Null: quotas are not enforced.

    /// Called on the executor with observations that this node, or an earlier incarnation
    /// of it, published; the same ones may be repeated. May be null.
    std::function<void(const ServerObservations&)> on_former_observations;

    /// Returns the responses that this node has counted by version. Called on the
    /// executor while a rollout is running or shifting. May be null.
    std::function<std::vector<VersionCounts>()> version_counts;
  };

  /// State of a node as it sees itself.
  struct Status {
    Version applied_version;
    Version known;  ///< Highest version that the node learned of.
    bool serving = false;
    /// The members are known: a peer has answered, or none did within the join limit.
    bool joined = false;
    /// Other members and the log have told what an earlier process of this node observed
    /// of its backend server, or did not answer within the join limit.
    bool former_known = false;
    bool quorum_backed = false;  ///< A control instance with a quorum backs `source`.
    bool relay = false;
    bool cut_off = false;  ///< No quorum-backed source for cut_off_timeout.
    std::string source;    ///< Address of the source; empty when there is none.
    std::size_t subscribers = 0;
    std::vector<std::string> cut_off_data_centres;
    std::string quota_coordinator;  ///< Of this node; empty without quotas.
  };

  NodeDistribution(NodeIdentity identity, NodeDistributionSettings settings,
                   const Dependencies& dependencies);
  ~NodeDistribution();

  NodeDistribution(const NodeDistribution&) = delete;
  NodeDistribution& operator=(const NodeDistribution&) = delete;

  /// Binds the datagram socket, serves peers and starts to join the fleet. Throws
  /// Error(kPortTaken).
  void Start();

  /// Sets the state that the local backend server announced. SERVER_LEAVING: it accepts
  /// no new work; SERVER_NONE: it left.
  void SetBackendServer(const BackendServer& server);

  /// Calls `done` on the executor once the departure of the backend server that was
  /// announced last is kept for the next process of this node, in the log of the control
  /// instances or, without them, by other members; with false when that does not happen
  /// within `limit`.
  void AwaitHeld(Duration limit, std::function<void(bool held)> done);

  /// Announces to the fleet that this node is about to leave. It stays subscribed and
  /// applies configurations until Leave.
  void AnnounceLeaving();

  /// Announces to the fleet that this node leaves, waits until its subscribers use other
  /// sources (at most the leave limit), then calls `done` on the executor.
  void Leave(std::function<void()> done);

  /// Stops all work; no callback runs afterwards. The executor must still exist.
  void Stop();

  /// Source of routing snapshots for calls; lives as long as this object.
  RoutingSource& routing();

  /// All known members with their states, including this node.
  std::vector<Member> members() const;

  Status status() const;
  Endpoint gossip_address() const;
  std::uint64_t incarnation() const;

 private:
  class Core;
  std::shared_ptr<Core> core_;
};

}  // namespace quetzal

#endif  // QUETZAL_DISTRIBUTION_NODE_DISTRIBUTION_H_
