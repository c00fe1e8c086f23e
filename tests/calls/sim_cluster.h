#ifndef QUETZAL_TESTS_CALLS_SIM_CLUSTER_H_
#define QUETZAL_TESTS_CALLS_SIM_CLUSTER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/random.h"
#include "calls/call_path.h"
#include "calls/sim_net.h"
#include "keys/key_records.h"

namespace quetzal {

/// The caller's side of a call: records the answer.
struct AnswerRecorder final : StreamHandler {
  void OnHeaders(StreamHeaders fields) override {
    headers = std::move(fields);
    ++answers;
  }
  void OnData(std::string_view bytes) override {
    body.append(bytes);
    if (stream && reads) stream->Consume(bytes.size());
  }
  void OnEnd() override { ended = true; }
  void OnReset(ResultCode /*code*/) override { cut = true; }

  std::string status() const { return std::string(HeaderValue(headers, ":status")); }
  int result() const;  ///< Number of X-Quetzal-Result; 0 when there is none.
  /// True when the answer has ended and was not reset.
  bool whole() const { return ended && !cut; }
  /// True for a whole answer of a backend server, whatever its status.
  bool has_server_answer() const { return whole() && result() == 0; }
  /// True for a whole answer that states that the request has not run.
  bool reports_not_run() const {
    return whole() && body.find("\"not_run\":true") != std::string::npos;
  }

  StreamHeaders headers;
  std::string body;
  int answers = 0;  ///< Received header blocks.
  bool ended = false;
  bool cut = false;   ///< The stream was reset.
  bool reads = true;  ///< False: returns no flow-control credit.
  std::shared_ptr<Stream> stream;
};

/// How a fake backend server handles a request.
enum class Behaviour {
  kAnswer,
  kRunAndClose,    ///< Runs it and closes the connection.
  kCutAnswer,      ///< Runs it and closes in the middle of the answer.
  kDoubledAnswer,  ///< Runs it and answers twice.
  kHang,           ///< Runs it and never answers.
  kSlow            ///< Runs it and answers after 8 s.
};

/// A backend server that counts the requests it runs, by their body.
class FakeBackendServer {
 public:
  FakeBackendServer(SimNet* net, const Endpoint& endpoint);

  int runs(const std::string& body) const;
  int total_runs() const;

  Behaviour behaviour = Behaviour::kAnswer;
  std::string status = "200";
  std::string answer = "done";
  bool sends_content_length = true;
  StreamHeaders extra_headers;  ///< Added to its answers.
  Duration service_time = std::chrono::milliseconds(1);
  int running = 0;      ///< Requests now running.
  int max_running = 0;  ///< Highest value of `running` so far.
  int cancelled = 0;    ///< Requests reset while running.
  StreamHeaders last_headers;
  /// Called for each request that it begins to run; may be null.
  std::function<void(const std::string& path, const std::string& body)> on_run;

 private:
  class Handler;

  SimNet* net_;
  SimTransport transport_;
  std::map<std::string, int> runs_;
};

/// One node's access to the key records, which all nodes of the cluster share in one map.
class FakeKeyRecords final : public KeyRecords {
 public:
  using Table = std::map<std::string, KeyRecord>;

  FakeKeyRecords(SimLoop* loop, Table* table, std::shared_ptr<bool> alive)
      : loop_(loop), table_(table), alive_(std::move(alive)) {}

  void Claim(const KeyClaim& claim, Duration timeout, ClaimDone done) override;
  void Resolve(const std::string& key, const std::string& attempt_id,
               AttemptOutcome outcome, const KeyAnswer& answer, Duration timeout,
               ResolveDone done) override;
  void Read(const std::string& key, Duration timeout, ClaimDone done) override;

  bool quorum = true;              ///< False: every operation fails for lack of a quorum.
  std::function<void()> on_claim;  ///< Called at the start of each Claim.

 private:
  void RunLater(std::function<void()> task);
  ClaimResult ResultOf(const KeyRecord& record) const;

  SimLoop* loop_;
  Table* table_;
  const std::shared_ptr<bool> alive_;
};

class FakeRouting final : public RoutingSource {
 public:
  std::shared_ptr<const RoutingSnapshot> snapshot() const override { return current; }
  bool credentials_proved() const override { return proved; }
  std::shared_ptr<const RoutingSnapshot> current;  ///< Null: none received yet.
  bool proved = true;
};

/// The routing of one node: that of the cluster, or an earlier one that it is stuck with.
class NodeRouting final : public RoutingSource {
 public:
  explicit NodeRouting(const FakeRouting* shared) : shared_(shared) {}
  std::shared_ptr<const RoutingSnapshot> snapshot() const override {
    return stuck ? stuck : shared_->current;
  }
  bool credentials_proved() const override { return shared_->proved; }
  std::shared_ptr<const RoutingSnapshot> stuck;  ///< Null: follows the cluster.

 private:
  const FakeRouting* shared_;
};

/// Appends each event to a list, as a line with its time and node.
class TextEventLog final : public EventLog {
 public:
  TextEventLog(const Clock* clock, std::string node_name, std::vector<std::string>* lines)
      : clock_(clock), node_name_(std::move(node_name)), lines_(lines) {}
  void Emit(const Event& event) override;

 private:
  const Clock* clock_;
  const std::string node_name_;
  std::vector<std::string>* lines_;
};

/// One node with its addresses and dependencies.
struct SimNode {
  std::string name;
  std::string data_centre;
  Endpoint streams;  ///< For calls and requests of other nodes.
  Endpoint callers;  ///< For callers.
  Endpoint backend;  ///< Of its backend server.
  std::uint64_t incarnation = 1;
  std::shared_ptr<bool> alive;  ///< False once the process was killed.
  std::unique_ptr<SimTransport> transport;
  std::unique_ptr<SimRpc> rpc;
  std::unique_ptr<SimExecutor> executor;
  std::unique_ptr<FakeKeyRecords> keys;
  std::unique_ptr<NodeRouting> routing;
  std::unique_ptr<Random> random;
  std::unique_ptr<TextEventLog> events;
  std::unique_ptr<CallPath> path;
};

/// A simulated cluster: nodes in two data centres, each with a backend server of the
/// service "desk". GET /reports is idempotent, POST /orders is not.
class SimCluster {
 public:
  explicit SimCluster(int nodes, std::uint32_t slots = 20,
                      const CallDialect* dialect = nullptr);
  ~SimCluster();

  std::shared_ptr<AnswerRecorder> Send(std::size_t node, const std::string& method,
                                       const std::string& path, const std::string& key,
                                       const std::string& body, StreamHeaders more = {});
  /// Sends a POST whose body comes in pieces, without a content length.
  std::shared_ptr<AnswerRecorder> SendPieces(std::size_t node, const std::string& path,
                                             const std::string& key,
                                             const std::vector<std::string>& pieces);
  /// Sends a POST with the start of its body; its end is left to the test.
  std::shared_ptr<AnswerRecorder> SendUnfinished(std::size_t node,
                                                 const std::string& path,
                                                 const std::string& start,
                                                 const std::string& key = "");
  std::shared_ptr<AnswerRecorder> GetReport(std::size_t node,
                                            const std::string& body = "") {
    return Send(node, "GET", "/reports/7", "", body);
  }
  std::shared_ptr<AnswerRecorder> PostOrder(std::size_t node, const std::string& key,
                                            const std::string& body) {
    return Send(node, "POST", "/orders", key, body);
  }

  /// Ends the node's backend server and the connections to it.
  void EndServer(std::size_t node) { net.Kill(nodes[node].backend.address); }
  /// Lets the node's backend server accept connections again.
  void StartServer(std::size_t node) { net.down.erase(nodes[node].backend.address); }

  void Kill(std::size_t node);
  /// Replaces the process of the node by a new one with empty memory.
  void Restart(std::size_t node);
  /// Sets the state of the node's backend server. Other nodes learn it by Distribute.
  void SetState(std::size_t node, ServerState state);
  void Run(Duration span) { loop.Run(span); }

  /// How often a request with this body ran, at all backend servers together.
  int runs(const std::string& body) const;

  /// Gives all nodes a new routing snapshot of the present configuration and states.
  void Distribute();

  SimLoop loop;
  SimNet net{&loop};
  FakeKeyRecords::Table records;
  std::vector<std::string> lines;  ///< Written by the event logs of all nodes.
  Configuration configuration;
  std::vector<SimNode> nodes;
  std::vector<std::unique_ptr<FakeBackendServer>> servers;
  std::vector<ServerState> states;
  std::vector<std::string> versions;  ///< Of the servers. Set together with SetState.
  FakeRouting routing;
  std::shared_ptr<const CrashingRequests> crashing;  ///< Known after the next Distribute.
  /// In place of the node's monitor of its backend server; may be null.
  std::function<void(std::size_t node, const CutRequest& cut)> on_request_cut;
  std::function<void(std::size_t node, const Acquittal& acquittal)> on_trial_passed;
  std::function<void(std::size_t node)> on_backend_unreachable;

 private:
  void Start(SimNode* node);

  std::uint32_t slots_;
  const CallDialect* dialect_;
  std::uint64_t version_ = 0;
  SimTransport caller_transport_;
  std::vector<SimNode> dead_;  ///< Kept since scheduled tasks still refer to them.
};

}  // namespace quetzal

#endif  // QUETZAL_TESTS_CALLS_SIM_CLUSTER_H_
