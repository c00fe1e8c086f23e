#ifndef QUETZAL_CALLS_CALL_PATH_H_
#define QUETZAL_CALLS_CALL_PATH_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/event_log.h"
#include "base/random.h"
#include "calls/crash_report.h"
#include "calls/request_fingerprint.h"
#include "calls/routing_snapshot.h"
#include "distribution.pb.h"
#include "kernel/executor.h"
#include "net/rpc.h"
#include "net/stream.h"

namespace quetzal {

class CallDialect;
class KeyRecords;
class TeamQuota;

/// Stream path of requests between instances.
inline constexpr char kCallStreamPath[] = "/call";

/// Identity of the node and the limits of its calls.
struct CallOptions {
  std::string instance;
  std::string data_centre;
  std::uint64_t incarnation = 0;  ///< Of the node: higher after each restart.
  Duration default_timeout = std::chrono::seconds(30);  ///< Of routes that set none.
  int hop_limit = 12;  ///< Most nodes that a request may pass.
  std::size_t replay_bytes = std::size_t{64} * 1024;  ///< Request body kept for retries.
  /// Largest body of a request with a key.
  std::size_t keyed_body_bytes = std::size_t{256} * 1024;
  /// Answer kept for a resend, per key.
  std::size_t answer_bytes = std::size_t{16} * 1024;
  /// Longest wait for a running request with the same key.
  Duration key_wait = std::chrono::seconds(2);
  std::string service;  ///< Of the local backend server, from the settings.

  /// Load policy where the configuration names none; empty: kDefaultLoadPolicy.
  std::string load_policy;

  /// Burst of the retry budget of each service, shared by all nodes; 0: only the budget
  /// of the configuration's policy applies.
  std::uint32_t shared_retry_burst = 0;
  std::uint32_t retry_percent = 0;  ///< With a shared burst: retries per 100 requests.
};

/// A request whose connection the local backend server closed before the answer's end.
struct CutRequest {
  std::string server_id;  ///< Process that the request was sent to.
  RequestFingerprint request;
  SteadyTime sent_at;
  bool finished_before = false;  ///< It has run to its end, and was not cut since.
  bool on_trial = false;         ///< It was known to be suspected.
  std::uint32_t software = 0;    ///< HashOfSoftware of the server.
};

/// Dependencies of a CallPath; all of them must outlive it.
struct CallDependencies {
  RoutingSource* routing = nullptr;
  StreamTransport* peers = nullptr;     ///< Streams to other nodes.
  StreamTransport* backends = nullptr;  ///< HTTP/1.1 to the local backend server.
  RpcClient* rpc_client = nullptr;
  RpcServer* rpc_server = nullptr;
  const CallDialect* dialect = nullptr;  ///< Null: kDefaultDialect.
  KeyRecords* keys = nullptr;            ///< Null: non-idempotent requests are refused.
  Executor* executor = nullptr;
  const Clock* clock = nullptr;
  Random* random = nullptr;  ///< Exclusive to the CallPath.
  EventLog* events = nullptr;
  TeamQuota* quotas = nullptr;  ///< Null: teams have no quotas.

  /// Called when the local backend server refused a connection; may be null.
  std::function<void()> on_backend_unreachable;

  /// Called with the id of the local backend server when an answer of it says that it
  /// leaves; may be null.
  std::function<void(const std::string& server_id)> on_backend_leaving;

  /// Called when the local backend server closed the connection of a request before the
  /// answer's end; may be null.
  std::function<void(const CutRequest& cut)> on_request_cut;

  /// Called when the local backend server has answered a suspected request often enough;
  /// may be null.
  std::function<void(const Acquittal& acquittal)> on_trial_passed;
};

/// The backend server of this node, as the server announced itself.
struct LocalBackendServer {
  std::string service;
  Endpoint address;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  ServerState state = SERVER_NONE;
  std::string id;  ///< Of the server process; empty when it announces none.
  /// Of this and earlier servers of the node; null before the first one, also if earlier
  /// runs of the node had some that it has not learned yet.
  std::optional<ServerObservations> observations;
  std::string version;  ///< Of the server's software; empty: not stated.
};

/// Counts since the start, for the metrics of a node.
struct CallCounts {
  std::uint64_t accepted = 0;  ///< Requests from callers.
  std::uint64_t answered = 0;  ///< Answered completely by a backend server.
  std::uint64_t refused = 0;   ///< Answered with a result code instead.
  std::uint64_t retried = 0;   ///< Attempts after the first.
  std::uint64_t admitted = 0;  ///< Requests sent to the local backend server.
  std::uint64_t shed = 0;      ///< Requests that admission refused.
  std::uint64_t blocked = 0;   ///< Refused as they crash servers; also in `refused`.
  /// Refused with the code of this name; also in `refused`.
  std::uint64_t credential_unknown = 0;
  std::uint64_t credential_unproved = 0;
  std::uint64_t quota_exceeded = 0;
  std::uint64_t in_flight = 0;  ///< Active calls of callers and peers.
  std::uint64_t queued = 0;     ///< Requests queued for a slot.
  /// Requests per second that the local backend server takes; null: no limit.
  std::optional<double> rate_limit;
};

/// Handles requests on this node: receives them from callers, chooses an instance and
/// forwards them, and admits requests from other nodes to the local backend server. Safe
/// for use from several threads.
class CallPath {
 public:
  CallPath(const CallDependencies& dependencies, const CallOptions& options);
  ~CallPath();

  CallPath(const CallPath&) = delete;
  CallPath& operator=(const CallPath&) = delete;

  /// Accepts requests of callers (HTTP/1.1).
  StreamAcceptor caller_acceptor();

  /// Accepts streams of other nodes with path kCallStreamPath; null for other paths.
  StreamAcceptor peer_acceptor();

  /// Applies an announcement of the local backend server. With SERVER_LEAVING,
  /// SERVER_DOWN and SERVER_NONE no further requests are admitted.
  void SetBackendServer(const LocalBackendServer& server);

  /// The process ends at `limit`. From now on a request counts as taken once its body is
  /// whole, and none is passed on to a server that can hardly answer before the limit.
  void PrepareStop(SteadyTime limit);

  /// Refuses new requests (not run), finishes those in flight, then calls `done` once on
  /// the executor. The transports may then still hold bytes of the last answers: wait for
  /// StreamTransport::open_streams() to reach zero before the process exits.
  void Drain(std::function<void()> done);

  /// Answers the requests of callers that are still in flight: not run, or that the
  /// outcome is unknown.
  void EndCalls();

  CallCounts counts() const;

  /// Responses that this node received as coordinating node, by route and version, while
  /// rollouts are running or shifting.
  std::vector<VersionCounts> version_counts() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_CALL_PATH_H_
