#ifndef QUETZAL_TESTS_CALLS_WORLD_H_
#define QUETZAL_TESTS_CALLS_WORLD_H_

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

/// What a caller was told.
struct CallerLog final : StreamHandler {
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
  bool whole() const { return ended && !cut; }
  bool told_done() const { return whole() && result() == 0; }
  bool told_not_run() const {
    return whole() && body.find("\"not_run\":true") != std::string::npos;
  }

  StreamHeaders headers;
  std::string body;
  int answers = 0;
  bool ended = false;
  bool cut = false;
  bool reads = true;
  std::shared_ptr<Stream> stream;
};

/// What a stand-in backend server does with a request.
enum class Behaviour {
  kAnswer,
  kReadAndClose,   ///< Runs it and closes the connection.
  kCutAnswer,      ///< Runs it and closes amid the answer.
  kDoubledAnswer,  ///< Runs it and answers twice.
  kHang,           ///< Runs it and never answers.
  kSlow            ///< Runs it and answers after 8 s.
};

/// Counts what it runs, by the request's body.
class StandIn {
 public:
  StandIn(SimNet* net, const Endpoint& endpoint);

  int runs(const std::string& body) const;
  int all_runs() const;

  Behaviour behaviour = Behaviour::kAnswer;
  std::string status = "200";
  std::string answer = "done";
  bool states_length = true;
  StreamHeaders fields;  ///< Further fields of its answers.
  Duration service_time = std::chrono::milliseconds(1);
  int open = 0;       ///< Requests now running.
  int max_open = 0;   ///< Most at once.
  int cancelled = 0;  ///< Requests reset while running.
  StreamHeaders last_headers;

 private:
  class Handler;

  SimNet* net_;
  SimTransport transport_;
  std::map<std::string, int> runs_;
};

/// Key records of a whole cluster, as one map; each node has its own view.
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

  bool quorum = true;
  std::function<void()> on_claim;

 private:
  void Later(std::function<void()> task);
  ClaimResult View(const KeyRecord& record) const;

  SimLoop* loop_;
  Table* table_;
  const std::shared_ptr<bool> alive_;
};

class FakeRouting final : public RoutingSource {
 public:
  std::shared_ptr<const RoutingSnapshot> snapshot() const override { return held; }
  std::shared_ptr<const RoutingSnapshot> held;
};

/// Keeps the lines of the keyed calls of a session.
class LineLog final : public EventLog {
 public:
  LineLog(const Clock* clock, std::string who, std::vector<std::string>* lines)
      : clock_(clock), who_(std::move(who)), lines_(lines) {}
  void Emit(const Event& event) override;

 private:
  const Clock* clock_;
  const std::string who_;
  std::vector<std::string>* lines_;
};

/// One node, its stand-in backend server and what it works with.
struct SimNode {
  std::string name;
  std::string data_centre;
  Endpoint streams;
  Endpoint callers;
  Endpoint backend;
  std::uint64_t incarnation = 1;
  std::shared_ptr<bool> alive;
  std::unique_ptr<SimTransport> transport;
  std::unique_ptr<SimRpc> rpc;
  std::unique_ptr<SimExecutor> executor;
  std::unique_ptr<FakeKeyRecords> keys;
  std::unique_ptr<Random> random;
  std::unique_ptr<LineLog> events;
  std::unique_ptr<CallPath> path;
};

/// Nodes of two data centres with one service, "desk": GET /reports is idempotent, POST
/// /orders is not.
class World {
 public:
  explicit World(int nodes, std::uint32_t slots = 20);
  ~World();

  std::shared_ptr<CallerLog> Send(std::size_t node, const std::string& method,
                                  const std::string& path, const std::string& key,
                                  const std::string& body, StreamHeaders more = {});
  /// A POST whose body comes in pieces, without a stated length.
  std::shared_ptr<CallerLog> SendPieces(std::size_t node, const std::string& path,
                                        const std::string& key,
                                        const std::vector<std::string>& pieces);
  std::shared_ptr<CallerLog> Report(std::size_t node, const std::string& body = "") {
    return Send(node, "GET", "/reports/7", "", body);
  }
  std::shared_ptr<CallerLog> Order(std::size_t node, const std::string& key,
                                   const std::string& body) {
    return Send(node, "POST", "/orders", key, body);
  }

  void Kill(std::size_t node);
  void Restart(std::size_t node);
  void SetState(std::size_t node, ServerState state);
  void Run(Duration span) { loop.Run(span); }

  /// Runs of one body at all stand-ins.
  int runs(const std::string& body) const;

  /// Builds and gives out a snapshot from the nodes as they are.
  void Distribute();

  SimLoop loop;
  SimNet net{&loop};
  FakeKeyRecords::Table records;
  std::vector<std::string> lines;
  Configuration configuration;
  std::vector<SimNode> nodes;
  std::vector<std::unique_ptr<StandIn>> servers;
  std::vector<ServerState> states;
  FakeRouting routing;

 private:
  void Start(SimNode* node);

  std::uint32_t slots_;
  std::uint64_t version_ = 0;
  SimTransport caller_transport_;
  std::vector<SimNode> dead_;  ///< Kept so that late events of a crash find nobody.
};

}  // namespace quetzal

#endif  // QUETZAL_TESTS_CALLS_WORLD_H_
