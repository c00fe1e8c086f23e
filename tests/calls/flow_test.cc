#include <atomic>
#include <thread>

#include <gtest/gtest.h>

#include "calls/local_stream.h"
#include "calls/sim_cluster.h"
#include "plugins/runtime_asio/worker_pool.h"

namespace quetzal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kLarge = std::size_t{4} * 1024 * 1024;

TEST(FlowTest, LargeBodiesAreRelayedWholeInBothDirections) {
  SimCluster cluster(2);
  cluster.SetState(0, SERVER_NONE);
  cluster.Distribute();
  const std::string large(kLarge, 'x');
  cluster.servers[1]->answer = large;
  auto received = cluster.Send(0, "POST", "/reports", "", large);
  cluster.Run(seconds(1));
  EXPECT_EQ(cluster.runs(large), 1);
  EXPECT_TRUE(received->has_server_answer());
  EXPECT_EQ(received->body, large);
}

TEST(FlowTest, CallerThatDoesNotReadStopsTheBackendServer) {
  SimCluster cluster(2);
  cluster.SetState(0, SERVER_NONE);
  cluster.Distribute();
  std::shared_ptr<Stream> server;
  cluster.net.listeners[cluster.nodes[1].backend] =
      [&](const std::string&, const StreamHeaders&, std::shared_ptr<Stream> stream) {
        server = std::move(stream);
        return std::make_shared<AnswerRecorder>();
      };
  auto received = cluster.GetReport(0);
  received->reads = false;
  cluster.Run(milliseconds(50));
  ASSERT_NE(server, nullptr);
  server->SendHeaders({{":status", "200"}}, false);
  server->SendData(std::string(kLarge, 'x'), false);
  cluster.Run(seconds(1));
  EXPECT_EQ(received->body.size(), kLarge);
  EXPECT_EQ(server->buffered_bytes(), kLarge)
      << "the server got credit although the caller read nothing";
  received->stream->Consume(kLarge);
  cluster.Run(seconds(1));
  EXPECT_EQ(server->buffered_bytes(), 0U);
}

TEST(FlowTest, TruncatedLongAnswerIsResetForTheCaller) {
  SimCluster cluster(1);
  cluster.servers[0]->answer = std::string(kLarge, 'x');
  cluster.servers[0]->behaviour = Behaviour::kCutAnswer;
  auto received = cluster.GetReport(0);
  cluster.Run(seconds(1));
  EXPECT_TRUE(received->cut);
  EXPECT_FALSE(received->ended);
}

TEST(FlowTest, CancellationAndDeadlineReachTheBackendServer) {
  SimCluster cluster(2);
  cluster.SetState(0, SERVER_NONE);
  cluster.Distribute();
  cluster.servers[1]->behaviour = Behaviour::kHang;
  cluster.PostOrder(0, "key", "hoops");
  cluster.Run(milliseconds(50));
  EXPECT_EQ(HeaderValue(cluster.servers[1]->last_headers, "x-quetzal-deadline-ms"),
            "4999")
      << "the claim of the key takes 1 ms of the time limit";
  auto received = cluster.GetReport(0);
  cluster.Run(milliseconds(50));
  received->stream->Reset();
  cluster.Run(milliseconds(50));
  EXPECT_EQ(cluster.servers[1]->cancelled, 1);
  auto late =
      cluster.Send(0, "GET", "/reports", "", "", {{"x-quetzal-deadline-ms", "80"}});
  cluster.Run(milliseconds(100));
  EXPECT_EQ(late->result(), static_cast<int>(ResultCode::kDeadlineExceeded));
  EXPECT_EQ(cluster.servers[1]->cancelled, 2);
}

/// In-process streams between callers, nodes and backend servers on several threads.
class ThreadedTransport final : public StreamTransport {
 public:
  void StartAccepting() override {}
  Endpoint Bind(const Endpoint& endpoint, StreamAcceptor acceptor) override {
    acceptors_[endpoint] = std::move(acceptor);
    return endpoint;
  }
  std::shared_ptr<Stream> Open(const Endpoint& peer, const std::string& path,
                               StreamHeaders headers, bool end,
                               std::shared_ptr<StreamHandler> handler) override {
    return streams_.Open(acceptors_.at(peer), path, headers, end, handler);
  }
  void Drain() override {}
  std::size_t open_streams() const override { return 0; }

 private:
  LocalStreams streams_;
  std::map<Endpoint, StreamAcceptor> acceptors_;
};

class ThreadedServer final : public StreamHandler {
 public:
  ThreadedServer(Executor* executor, std::shared_ptr<Stream> stream)
      : executor_(executor), stream_(std::move(stream)) {}
  void OnHeaders(StreamHeaders /*headers*/) override {}
  void OnData(std::string_view /*bytes*/) override {}
  void OnEnd() override {
    executor_->Post([stream = std::exchange(stream_, nullptr)] {
      stream->SendHeaders({{":status", "200"}, {"content-length", "4"}}, false);
      stream->SendData("done", true);
    });
  }
  void OnReset(ResultCode /*code*/) override { stream_.reset(); }

 private:
  Executor* executor_;
  std::shared_ptr<Stream> stream_;
};

class CountingCaller final : public StreamHandler {
 public:
  explicit CountingCaller(std::atomic<int>* whole) : whole_(whole) {}
  void OnHeaders(StreamHeaders headers) override { headers_ = std::move(headers); }
  void OnData(std::string_view bytes) override { body_.append(bytes); }
  void OnEnd() override {
    if (HeaderValue(headers_, ":status") == "200" && body_ == "done") ++*whole_;
  }
  void OnReset(ResultCode /*code*/) override {}

 private:
  std::atomic<int>* whole_;
  StreamHeaders headers_;
  std::string body_;
};

TEST(FlowTest, CallsOnSeveralThreadsGetWholeAnswers) {
  constexpr int kThreads = 4;
  constexpr int kCalls = 300;
  SimCluster cluster(2);  // Only for its snapshot and addresses.
  WorkerPool pool(kThreads);
  std::vector<std::unique_ptr<Executor>> executors;
  ThreadedTransport transport;
  SystemClock clock;
  NullEventLog events;
  std::vector<std::unique_ptr<Random>> randoms;
  std::vector<std::unique_ptr<CallPath>> paths;
  for (int n = 0; n < 2; ++n) {
    executors.push_back(pool.MakeExecutor());
    randoms.push_back(std::make_unique<Random>(n));
    transport.Listen(
        cluster.nodes[n].backend,
        [executor = executors[n].get()](const std::string&, const StreamHeaders&,
                                        std::shared_ptr<Stream> stream) {
          return std::make_shared<ThreadedServer>(executor, std::move(stream));
        });
    CallDependencies deps;
    deps.routing = &cluster.routing;
    deps.peers = deps.backends = &transport;
    deps.rpc_client = cluster.nodes[n].rpc.get();
    deps.rpc_server = cluster.nodes[n].rpc.get();
    deps.executor = executors[n].get();
    deps.clock = &clock;
    deps.random = randoms[n].get();
    deps.events = &events;
    CallOptions options;
    options.instance = cluster.nodes[n].name;
    options.data_centre = cluster.nodes[n].data_centre;
    options.incarnation = 1;
    paths.push_back(std::make_unique<CallPath>(deps, options));
    transport.Listen(cluster.nodes[n].streams, paths[n]->peer_acceptor());
    transport.Listen(cluster.nodes[n].callers, paths[n]->caller_acceptor());
    paths[n]->SetBackendServer({"desk", cluster.nodes[n].backend, 20, 130, SERVER_UP});
  }
  std::atomic<int> whole{0};
  std::vector<std::thread> threads;
  for (int n = 0; n < kThreads; ++n) {
    threads.emplace_back([&, n] {
      for (int call = 0; call < kCalls; ++call) {
        transport.Open(cluster.nodes[(n + call) % 2].callers, "/reports",
                       {{":method", "GET"}}, true,
                       std::make_shared<CountingCaller>(&whole));
        while (paths[0]->counts().in_flight + paths[1]->counts().in_flight > 16) {
          std::this_thread::yield();
        }
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  std::atomic<int> drained{0};
  for (auto& path : paths) path->Drain([&drained] { ++drained; });
  while (drained < 2) std::this_thread::yield();
  pool.Stop();
  EXPECT_EQ(whole, kThreads * kCalls);
}

}  // namespace
}  // namespace quetzal
