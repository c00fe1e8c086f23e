#include "calls/sim_cluster.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace quetzal {
namespace {

constexpr char kCallerHost[] = "10.9.0.1";
constexpr Duration kRecordDelay = std::chrono::milliseconds(1);

}  // namespace

int AnswerRecorder::result() const {
  return std::atoi(std::string(HeaderValue(headers, "x-quetzal-result")).c_str());
}

class FakeBackendServer::Handler final : public StreamHandler,
                                         public std::enable_shared_from_this<Handler> {
 public:
  Handler(FakeBackendServer* server, std::string path, std::shared_ptr<Stream> stream)
      : server_(server), path_(std::move(path)), stream_(std::move(stream)) {}

  void OnHeaders(StreamHeaders /*headers*/) override {}
  void OnData(std::string_view bytes) override {
    body_.append(bytes);
    stream_->Consume(bytes.size());
  }
  void OnEnd() override {
    ++server_->runs_[body_];
    server_->max_running = std::max(server_->max_running, ++server_->running);
    if (server_->on_run) server_->on_run(path_, body_);
    const Behaviour behaviour = server_->behaviour;
    if (behaviour == Behaviour::kHang) return;
    const bool slow = behaviour == Behaviour::kSlow;
    server_->net_->loop->Schedule(slow ? std::chrono::seconds(8) : server_->service_time,
                                  [self = shared_from_this(), behaviour] {
                                    if (!self->finished_) self->Answer(behaviour);
                                  });
  }
  void OnReset(ResultCode /*code*/) override {
    if (finished_) return;
    ++server_->cancelled;
    Finish();
  }

 private:
  void Answer(Behaviour behaviour) {
    Finish();
    if (behaviour == Behaviour::kRunAndClose) return stream_->Reset();
    const std::string& answer = server_->answer;
    StreamHeaders headers = {{":status", server_->status}};
    if (server_->sends_content_length) {
      headers.emplace_back("content-length", std::to_string(answer.size()));
    }
    headers.insert(headers.end(), server_->extra_headers.begin(),
                   server_->extra_headers.end());
    stream_->SendHeaders(std::move(headers), false);
    if (behaviour == Behaviour::kCutAnswer) {
      stream_->SendData(answer.substr(0, answer.size() / 2), false);
      return stream_->Reset();
    }
    stream_->SendData(answer, true);
    if (behaviour != Behaviour::kDoubledAnswer) return;
    stream_->SendHeaders({{":status", "200"}}, false);
    stream_->SendData(answer, true);
  }
  void Finish() {
    finished_ = true;
    --server_->running;
  }

  FakeBackendServer* server_;
  const std::string path_;
  std::shared_ptr<Stream> stream_;
  std::string body_;
  bool finished_ = false;
};

FakeBackendServer::FakeBackendServer(SimNet* net, const Endpoint& endpoint)
    : net_(net), transport_(net, endpoint.address, std::make_shared<bool>(true)) {
  transport_.Listen(endpoint,
                    [this](const std::string& path, const StreamHeaders& headers,
                           std::shared_ptr<Stream> stream) {
                      last_headers = headers;
                      return std::make_shared<Handler>(this, path, std::move(stream));
                    });
}

int FakeBackendServer::runs(const std::string& body) const {
  auto it = runs_.find(body);
  return it == runs_.end() ? 0 : it->second;
}

int FakeBackendServer::total_runs() const {
  int all = 0;
  for (const auto& [body, runs] : runs_) all += runs;
  return all;
}

void FakeKeyRecords::RunLater(std::function<void()> task) {
  if (!*alive_) return;
  loop_->Schedule(kRecordDelay, [alive = alive_, task = std::move(task)] {
    if (*alive) task();
  });
}

ClaimResult FakeKeyRecords::ResultOf(const KeyRecord& record) const {
  ClaimResult result;
  result.record = record;
  result.outcome = record.phase() == KEY_DONE   ? ClaimOutcome::kDone
                   : record.phase() == KEY_SENT ? ClaimOutcome::kInProgress
                                                : ClaimOutcome::kGranted;
  return result;
}

void FakeKeyRecords::Claim(const KeyClaim& claim, Duration /*timeout*/, ClaimDone done) {
  if (on_claim) on_claim();
  RunLater([this, claim, done = std::move(done)] {
    if (!quorum) return done(ClaimResult());
    KeyRecord& record = (*table_)[claim.key];
    ClaimResult result = ResultOf(record);
    if (record.phase() != KEY_ABSENT && record.fingerprint() != claim.fingerprint) {
      result.outcome = ClaimOutcome::kReused;
    }
    if (result.outcome == ClaimOutcome::kGranted) {
      record.set_fingerprint(claim.fingerprint);
      record.set_phase(KEY_SENT);
      record.set_attempt_id(claim.attempt_id);
      record.set_admitting_instance(claim.admitting_instance);
      record.set_admitting_incarnation(claim.admitting_incarnation);
      record.set_admitting_address(claim.admitting_address);
      result.record = record;
    }
    done(result);
  });
}

void FakeKeyRecords::Resolve(const std::string& key, const std::string& attempt_id,
                             AttemptOutcome outcome, const KeyAnswer& answer,
                             Duration /*timeout*/, ResolveDone done) {
  RunLater([this, key, attempt_id, outcome, answer, done = std::move(done)] {
    if (!quorum) return done(ResultCode::kKeyQuorumMissing);
    KeyRecord& record = (*table_)[key];
    if (record.attempt_id() != attempt_id) return done(ResultCode::kKeyReused);
    if (record.phase() == KEY_DONE) return done(ResultCode::kOk);
    record.set_phase(outcome == AttemptOutcome::kDone ? KEY_DONE : KEY_NOT_RUN);
    if (outcome == AttemptOutcome::kDone) *record.mutable_answer() = answer;
    done(ResultCode::kOk);
  });
}

void FakeKeyRecords::Read(const std::string& key, Duration /*timeout*/, ClaimDone done) {
  RunLater([this, key, done = std::move(done)] {
    done(quorum ? ResultOf((*table_)[key]) : ClaimResult());
  });
}

void TextEventLog::Emit(const Event& event) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      clock_->Now().time_since_epoch() - std::chrono::hours(1));
  std::string line = std::to_string(ms.count()) + " ms " + node_name_ + " " + event.name;
  for (const auto& [name, value] : event.fields) {
    line.append(" ").append(name).append("=").append(value);
  }
  lines_->push_back(line);
}

SimCluster::SimCluster(int count, std::uint32_t slots, const CallDialect* dialect)
    : states(count, SERVER_UP),
      versions(count),
      slots_(slots),
      dialect_(dialect),
      caller_transport_(&net, kCallerHost, std::make_shared<bool>(true)) {
  Service* service = configuration.add_services();
  service->set_name("desk");
  Route* reports = configuration.add_routes();
  reports->set_name("reports");
  reports->set_path_prefix("/reports");
  reports->set_idempotent(true);
  Route* orders = configuration.add_routes();
  orders->set_name("orders");
  orders->set_path_prefix("/orders");
  for (Route& route : *configuration.mutable_routes()) {
    route.set_timeout_ms(5000);
    Target* target = route.add_targets();
    target->set_service("desk");
    target->set_weight(1);
  }
  configuration.mutable_policy()->set_retry_budget_percent(20);
  configuration.mutable_policy()->set_load_policy("two_choices");
  nodes.resize(count);
  for (int n = 0; n < count; ++n) {
    const std::string number = std::to_string(n + 1);
    SimNode& node = nodes[n];
    node.name = "node-" + number;
    node.data_centre = n % 2 == 0 ? "haro" : "logrono";
    node.streams = {"10.0.0." + number, 7000};
    node.callers = {"10.0.0." + number, 8000};
    node.backend = {"10.0.1." + number, 9000};
    servers.push_back(std::make_unique<FakeBackendServer>(&net, node.backend));
    Start(&node);
  }
  Distribute();
}

SimCluster::~SimCluster() {
  for (SimNode& node : nodes) *node.alive = false;
  net.should_drop = nullptr;
}

void SimCluster::Start(SimNode* node) {
  const std::size_t n = node - nodes.data();
  const std::string& host = node->streams.address;
  node->alive = std::make_shared<bool>(true);
  node->transport = std::make_unique<SimTransport>(&net, host, node->alive);
  node->rpc = std::make_unique<SimRpc>(&net, node->streams, node->alive);
  node->executor = std::make_unique<SimExecutor>(&loop, node->alive);
  node->keys = std::make_unique<FakeKeyRecords>(&loop, &records, node->alive);
  node->random = std::make_unique<Random>(100 * n + node->incarnation);
  node->events = std::make_unique<TextEventLog>(&loop.clock, node->name, &lines);
  CallDependencies deps;
  node->routing = std::make_unique<NodeRouting>(&routing);
  deps.routing = node->routing.get();
  deps.peers = node->transport.get();
  deps.backends = node->transport.get();
  deps.rpc_client = node->rpc.get();
  deps.rpc_server = node->rpc.get();
  deps.keys = node->keys.get();
  deps.executor = node->executor.get();
  deps.clock = &loop.clock;
  deps.random = node->random.get();
  deps.events = node->events.get();
  deps.dialect = dialect_;
  // As the monitor of a node does.
  deps.on_backend_leaving = [this, n](const std::string& /*server_id*/) {
    SetState(n, SERVER_LEAVING);
  };
  deps.on_trial_passed = [this, n](const Acquittal& acquittal) {
    if (on_trial_passed) on_trial_passed(n, acquittal);
  };
  deps.on_request_cut = [this, n](const CutRequest& cut) {
    if (on_request_cut) on_request_cut(n, cut);
  };
  deps.on_backend_unreachable = [this, n] {
    if (on_backend_unreachable) on_backend_unreachable(n);
  };
  CallOptions options;
  options.instance = node->name;
  options.data_centre = node->data_centre;
  options.incarnation = node->incarnation;
  node->path = std::make_unique<CallPath>(deps, options);
  node->transport->Listen(node->streams, node->path->peer_acceptor());
  node->transport->Listen(node->callers, node->path->caller_acceptor());
  SetState(n, states[n]);
}

void SimCluster::SetState(std::size_t node, ServerState state) {
  states[node] = state;
  nodes[node].path->SetBackendServer({"desk",
                                      nodes[node].backend,
                                      slots_,
                                      130,
                                      state,
                                      "i-" + nodes[node].name,
                                      {},
                                      versions[node]});
}

void SimCluster::Distribute() {
  auto snapshot = std::make_shared<RoutingSnapshot>();
  snapshot->version.set_index(++version_);
  snapshot->configuration = std::make_shared<const Configuration>(configuration);
  for (std::size_t n = 0; n < nodes.size(); ++n) {
    const SimNode& node = nodes[n];
    snapshot->targets.push_back({node.name, node.data_centre, node.incarnation,
                                 node.streams, "desk", slots_, states[n], versions[n]});
  }
  snapshot->crashing = crashing;
  routing.current = std::move(snapshot);
}

std::shared_ptr<AnswerRecorder> SimCluster::Send(
    std::size_t node, const std::string& method, const std::string& path,
    const std::string& key, const std::string& body, StreamHeaders more) {
  auto received = std::make_shared<AnswerRecorder>();
  StreamHeaders headers = {{":method", method}};
  if (HeaderValue(more, "host").empty()) headers.emplace_back("host", "desk.example");
  if (!key.empty()) headers.emplace_back("idempotency-key", key);
  if (!body.empty()) headers.emplace_back("content-length", std::to_string(body.size()));
  headers.insert(headers.end(), more.begin(), more.end());
  received->stream = caller_transport_.Open(nodes[node].callers, path, std::move(headers),
                                            body.empty(), received);
  if (!body.empty()) received->stream->SendData(body, true);
  return received;
}

std::shared_ptr<AnswerRecorder> SimCluster::SendPieces(
    std::size_t node, const std::string& path, const std::string& key,
    const std::vector<std::string>& pieces) {
  auto received = SendUnfinished(node, path, {}, key);
  for (const std::string& piece : pieces) received->stream->SendData(piece, false);
  received->stream->SendData({}, true);
  return received;
}

std::shared_ptr<AnswerRecorder> SimCluster::SendUnfinished(std::size_t node,
                                                           const std::string& path,
                                                           const std::string& start,
                                                           const std::string& key) {
  auto received = std::make_shared<AnswerRecorder>();
  StreamHeaders headers = {
      {":method", "POST"}, {"host", "desk.example"}, {"idempotency-key", key}};
  received->stream = caller_transport_.Open(nodes[node].callers, path, std::move(headers),
                                            false, received);
  if (!start.empty()) received->stream->SendData(start, false);
  return received;
}

void SimCluster::Kill(std::size_t node) {
  *nodes[node].alive = false;
  net.Kill(nodes[node].streams.address);
}

void SimCluster::Restart(std::size_t node) {
  SimNode& old = nodes[node];
  if (*old.alive) Kill(node);
  SimNode fresh;
  fresh.name = old.name;
  fresh.data_centre = old.data_centre;
  fresh.streams = old.streams;
  fresh.callers = old.callers;
  fresh.backend = old.backend;
  fresh.incarnation = old.incarnation + 1;
  dead_.push_back(std::exchange(old, std::move(fresh)));
  net.down.erase(old.streams.address);
  net.methods[old.streams].clear();
  Start(&old);
  Distribute();
}

int SimCluster::runs(const std::string& body) const {
  int all = 0;
  for (const auto& server : servers) all += server->runs(body);
  return all;
}

}  // namespace quetzal
