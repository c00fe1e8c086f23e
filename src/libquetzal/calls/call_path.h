#ifndef QUETZAL_CALLS_CALL_PATH_H_
#define QUETZAL_CALLS_CALL_PATH_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/clock.h"
#include "base/event_log.h"
#include "base/random.h"
#include "calls/routing_snapshot.h"
#include "kernel/executor.h"
#include "net/rpc.h"
#include "net/stream.h"

namespace quetzal {

class CallDialect;
class KeyRecords;

/// Stream path of requests between instances.
inline constexpr char kCallStreamPath[] = "/call";

/// Identity of the node and the limits of its calls.
struct CallOptions {
  std::string instance;
  std::string data_centre;
  std::uint64_t incarnation = 0;
  Duration default_timeout = std::chrono::seconds(30);  ///< Of routes without one.
  int hop_limit = 12;                                   ///< Nodes that a request passes.
  std::size_t replay_bytes =
      std::size_t{64} * 1024;  ///< Request body kept for another attempt.
  std::size_t keyed_body_bytes =
      std::size_t{256} * 1024;  ///< Largest body of a request with a key.
  std::size_t answer_bytes =
      std::size_t{16} * 1024;  ///< Answer kept for a resend, for each key.
  Duration key_wait = std::chrono::seconds(2);  ///< Wait for a running request of a key.
  std::string service;  ///< Of the own backend server, as the settings state it.

  /// Retries of all nodes together, for each service, beyond a share of its requests; 0:
  /// the budget of the configuration's policy alone counts.
  std::uint32_t shared_retry_burst = 0;
  std::uint32_t retry_percent = 0;  ///< With a shared burst: share of the requests.
};

/// What a CallPath works with; all of it outlives the CallPath.
struct CallDependencies {
  RoutingSource* routing = nullptr;
  StreamTransport* peers = nullptr;     ///< Streams to other nodes.
  StreamTransport* backends = nullptr;  ///< HTTP/1.1 to the own backend server.
  RpcClient* rpc_client = nullptr;
  RpcServer* rpc_server = nullptr;
  const CallDialect* dialect = nullptr;  ///< Null: kOwnDialect.
  KeyRecords* keys = nullptr;            ///< Null: non-idempotent requests are refused.
  Executor* executor = nullptr;
  const Clock* clock = nullptr;
  Random* random = nullptr;  ///< Used by the CallPath alone.
  EventLog* events = nullptr;

  /// Called when the own backend server refused a connection; may be null.
  std::function<void()> on_backend_unreachable;
};

/// The backend server of this node, as it announced itself.
struct LocalBackendServer {
  std::string service;
  Endpoint address;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  ServerState state = SERVER_NONE;
  std::string id;  ///< Of its incarnation; empty when it announces none.
};

/// Counts since the start, for the metrics of a node.
struct CallCounts {
  std::uint64_t accepted = 0;   ///< Requests from callers.
  std::uint64_t answered = 0;   ///< Answered whole by a backend server.
  std::uint64_t refused = 0;    ///< Told a result code in place of an answer.
  std::uint64_t retried = 0;    ///< Attempts after the first.
  std::uint64_t admitted = 0;   ///< Requests sent to the own backend server.
  std::uint64_t shed = 0;       ///< Requests that admission refused.
  std::uint64_t in_flight = 0;  ///< Calls now running, of callers and of peers.
  std::uint64_t queued = 0;     ///< Requests now waiting for a slot.
};

/// The path of callers' requests through this node: receives them, chooses an instance,
/// forwards them, and admits what other nodes forward to the own backend server. Safe for
/// use from several threads.
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

  /// Takes in what the own backend server announced. SERVER_LEAVING, SERVER_DOWN and
  /// SERVER_NONE admit nothing more.
  void SetBackendServer(const LocalBackendServer& server);

  /// Refuses new requests (not run), finishes those in flight, then calls `done` once on
  /// the executor. The transports may then still hold bytes of the last answers: wait for
  /// StreamTransport::open_streams() to reach zero before leaving.
  void Drain(std::function<void()> done);

  CallCounts counts() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_CALL_PATH_H_
