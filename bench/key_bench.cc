#include <malloc.h>

#include <condition_variable>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <mutex>

#include "base/random.h"
#include "bench_report.h"
#include "keys/quorum_key_records.h"
#include "net/stream_router.h"
#include "net/stream_rpc_client.h"
#include "net/stream_rpc_server.h"
#include "plugins/runtime_asio/worker_pool.h"
#include "plugins/stream_nghttp2/nghttp2_transport.h"

namespace quetzal {
namespace {

constexpr std::chrono::seconds kTimeout{5};
constexpr int kHolders = 3;
constexpr int kMemoryRecords = 10'000;
constexpr double kAccountedMemoryTolerance = 1.1;
constexpr std::size_t kUnlimitedBytes = std::size_t{1} << 40;

/// The key record services of one node, with its own sockets.
struct KeyNode {
  KeyNode(const std::string& name, WorkerPool* pool, const RoutingSource* routing)
      : transport(pool),
        executor(pool->MakeExecutor()),
        hybrid_clock(&clock),
        client(&transport, executor.get(), &hybrid_clock),
        server(&router, &hybrid_clock),
        service(std::make_shared<KeyHolderService>(name, 1, KeyAcceptorOptions{}, &client,
                                                   executor.get(), &clock, &events)),
        records(name, 1, routing, service, &client, executor.get(), &clock, 7) {
    service->Start(&server);
    endpoint = transport.Listen({"127.0.0.1", 0}, router.acceptor());
  }

  SystemClock clock;
  NullEventLog events;
  StreamRouter router;
  Nghttp2Transport transport;
  std::unique_ptr<Executor> executor;
  HybridClock hybrid_clock;
  StreamRpcClient client;
  StreamRpcServer server;
  std::shared_ptr<KeyHolderService> service;
  QuorumKeyRecords records;
  Endpoint endpoint;
};

class FixedRouting final : public RoutingSource {
 public:
  std::shared_ptr<const RoutingSnapshot> snapshot() const override { return snapshot_; }
  void set_snapshot(std::shared_ptr<const RoutingSnapshot> snapshot) {
    snapshot_ = std::move(snapshot);
  }

 private:
  std::shared_ptr<const RoutingSnapshot> snapshot_;
};

class CompletionCounter {
 public:
  void Done() {
    std::lock_guard<std::mutex> lock(mutex_);
    ++completed_;
    changed_.notify_all();
  }
  void WaitFor(int n) {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait(lock, [this, n] { return completed_ >= n; });
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  int completed_ = 0;
};

class KeyBench {
 public:
  KeyBench() : pool_(4) {
    auto configuration = std::make_shared<Configuration>();
    configuration->add_data_centres("haro");
    KeyGroup* group = configuration->add_key_groups();
    group->set_data_centre("haro");
    group->set_generation(1);
    group->set_formed_generation(1);
    for (int n = 0; n < kHolders; ++n) {
      const std::string name = "node-" + std::to_string(n);
      nodes_.push_back(std::make_unique<KeyNode>(name, &pool_, &routing_));
      KeyHolder* holder = group->add_members();
      holder->set_instance(name);
      holder->set_incarnation(1);
      holder->set_joined_generation(1);
      holder->set_stream_address(nodes_.back()->endpoint.ToString());
    }
    // A node outside the key group, like most nodes.
    nodes_.push_back(std::make_unique<KeyNode>("outside", &pool_, &routing_));
    auto snapshot = std::make_shared<RoutingSnapshot>();
    snapshot->configuration = configuration;
    routing_.set_snapshot(snapshot);
    for (auto& node : nodes_) node->service->SetConfiguration(*configuration);
  }

  ~KeyBench() { pool_.Stop(); }

  KeyBench(const KeyBench&) = delete;
  KeyBench& operator=(const KeyBench&) = delete;

  /// Claims `count` new keys one after another through node `from`. Returns the
  /// microseconds that each claim took.
  std::vector<double> ClaimOneByOne(std::size_t from, int count) {
    std::vector<double> latencies_us;
    for (int n = 0; n < count; ++n) {
      auto completions = std::make_shared<CompletionCounter>();
      const auto start = std::chrono::steady_clock::now();
      Claim(from, completions);
      completions->WaitFor(1);
      latencies_us.push_back(std::chrono::duration<double, std::micro>(
                                 std::chrono::steady_clock::now() - start)
                                 .count());
    }
    return latencies_us;
  }

  /// Claims `count` new keys, `concurrency` at a time. Returns the claims per second.
  double ClaimConcurrently(std::size_t from, int count, int concurrency) {
    const auto start = std::chrono::steady_clock::now();
    for (int done = 0; done < count; done += concurrency) {
      auto completions = std::make_shared<CompletionCounter>();
      for (int n = 0; n < concurrency; ++n) Claim(from, completions);
      completions->WaitFor(concurrency);
    }
    const std::chrono::duration<double> elapsed =
        std::chrono::steady_clock::now() - start;
    return count / elapsed.count();
  }

  std::size_t record_bytes() const { return nodes_[0]->service->record_bytes(); }
  std::size_t record_count() const { return nodes_[0]->service->record_count(); }
  std::uint64_t granted() const { return granted_; }

 private:
  void Claim(std::size_t from, const std::shared_ptr<CompletionCounter>& completions) {
    KeyClaim claim;
    claim.key = "haro.order-" + std::to_string(next_key_++);
    claim.fingerprint = "0123456789abcdef";
    claim.attempt_id = claim.key + "/1";
    claim.admitting_instance = "node-0";
    claim.admitting_incarnation = 1;
    claim.admitting_address = nodes_[0]->endpoint.ToString();
    nodes_[from]->records.Claim(claim, kTimeout,
                                [this, completions](const ClaimResult& result) {
                                  if (result.outcome == ClaimOutcome::kGranted)
                                    ++granted_;
                                  completions->Done();
                                });
  }

  WorkerPool pool_;
  FixedRouting routing_;
  std::vector<std::unique_ptr<KeyNode>> nodes_;
  std::uint64_t next_key_ = 0;
  std::atomic<std::uint64_t> granted_{0};
};

/// Measures the resident memory that records with answers of one size add to a holder.
/// Returns false if the holder accounts for less memory than that: its limit would then
/// not bound the memory of the process.
bool AddMemoryRow(int records, std::size_t answer_bytes, BenchReport* report) {
  SystemClock clock;
  KeyAcceptorOptions options;
  options.max_bytes = kUnlimitedBytes;
  KeyAcceptor holder("node-0", 1, options, &clock);
  Configuration configuration;
  KeyGroup* group = configuration.add_key_groups();
  group->set_data_centre("haro");
  group->set_generation(1);
  group->add_members()->set_instance("node-0");
  group->mutable_members(0)->set_incarnation(1);
  holder.SetGroups(configuration);
  const std::size_t before = ResidentBytes();
  KeyAccept accept;
  accept.mutable_group()->set_data_centre("haro");
  accept.mutable_group()->set_generation(1);
  accept.mutable_ballot()->set_proposer("node-0/1/1");
  KeyRecord* record = accept.mutable_record();
  record->set_fingerprint("0123456789abcdef");
  record->set_phase(KEY_DONE);
  record->set_admitting_instance("node-0");
  record->set_admitting_address("127.0.0.1:7000");
  record->mutable_answer()->set_status(201);
  record->mutable_answer()->set_body(std::string(answer_bytes, 'a'));
  for (int n = 0; n < records; ++n) {
    accept.set_key("haro.order-" + std::to_string(n));
    record->set_attempt_id(accept.key() + "/1");
    holder.Accept(accept);
  }
  const double resident_growth =
      static_cast<double>(ResidentBytes()) - static_cast<double>(before);
  report->AddRow({holder.record_count(), answer_bytes,
                  static_cast<double>(holder.record_bytes()) / records,
                  resident_growth / records, resident_growth / 1e6});
  return static_cast<double>(holder.record_bytes()) * kAccountedMemoryTolerance >=
         resident_growth;
}

int Run(int scale) {
  BenchReport memory_of_answers("Memory of the records of one holder",
                                {"records", "answer bytes", "accounted bytes/record",
                                 "resident bytes/record", "resident MB"});
  bool accounted = true;
  for (const std::size_t answer_bytes : {0, 256, 512, 1024}) {
    accounted &= AddMemoryRow(kMemoryRecords, answer_bytes, &memory_of_answers);
    malloc_trim(0);
  }
  BenchReport latency("Time of one claim, three holders on loopback, microseconds",
                      {"claimed at", "claims", "p50", "p99", "worst"});
  BenchReport cost(
      "Claims 32 at once, and memory of their records",
      {"claims", "claims/s", "processor us/claim", "records", "bytes/record"});
  KeyBench bench;
  bench.ClaimOneByOne(0, 20);
  bench.ClaimOneByOne(kHolders, 20);
  std::uint64_t expected = 40;
  for (const auto& [from, name] : {std::pair<std::size_t, std::string>{0, "a holder"},
                                   {kHolders, "a node outside the group"}}) {
    const SampleSummary summary = Summarize(bench.ClaimOneByOne(from, 200 * scale));
    expected += 200 * static_cast<std::uint64_t>(scale);
    latency.AddRow({name, summary.count, summary.median, summary.p99, summary.worst});
  }
  std::vector<std::pair<double, double>> memory;
  for (int step = 1; step <= 4; ++step) {
    const int count = 320 * scale;
    const double before = ProcessorSeconds();
    const double rate = bench.ClaimConcurrently(kHolders, count, 32);
    const double processor_us = (ProcessorSeconds() - before) * 1e6 / count;
    expected += static_cast<std::uint64_t>(count);
    const auto records = static_cast<double>(bench.record_count());
    memory.emplace_back(records, static_cast<double>(bench.record_bytes()));
    cost.AddRow({count, rate, processor_us, bench.record_count(),
                 static_cast<double>(bench.record_bytes()) / records});
  }
  const LineFit fit = FitLine(memory);
  cost.AddNote("Accounted memory: " + std::to_string(fit.slope) +
               " bytes for each record, residual " + std::to_string(fit.residual));
  memory_of_answers.Print();
  latency.Print();
  cost.Print();
  std::cout << "granted " << bench.granted() << " of " << expected << "\n";
  if (!accounted)
    std::cout << "the accounted bytes of the records are less than their memory\n";
  return bench.granted() == expected && accounted ? 0 : 1;
}

}  // namespace
}  // namespace quetzal

int main(int argc, char* argv[]) {
  return quetzal::Run(argc > 1 ? std::atoi(argv[1]) : 1);
}
