// Usage: agreement_bench [FOLDER]. Measures the consensus protocol among three control
// instances over HTTP/2 on loopback. Their logs are under FOLDER (default: the folder for
// temporary files).
#include <stdlib.h>

#include <atomic>
#include <condition_variable>
#include <filesystem>
#include <iostream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "agreement/agreement_service.h"
#include "agreement/raft_log.h"
#include "base/random.h"
#include "bench_report.h"
#include "net/stream_router.h"
#include "net/stream_rpc_client.h"
#include "net/stream_rpc_server.h"
#include "plugins/log_file/file_log.h"
#include "plugins/runtime_asio/worker_pool.h"
#include "plugins/stream_nghttp2/nghttp2_transport.h"

namespace quetzal {
namespace {

constexpr int kInstances = 3;
constexpr int kRuns = 5;
constexpr int kProposals = 2000;
constexpr std::size_t kEntryBytes = 200;

double MillisSince(SteadyTime start) {
  const std::chrono::duration<double, std::milli> elapsed = SystemClock().Now() - start;
  return elapsed.count();
}

class BenchFolder {
 public:
  explicit BenchFolder(const std::string& parent) {
    std::string pattern = parent + "/quetzal-bench-XXXXXX";
    path_ = mkdtemp(pattern.data());
  }
  ~BenchFolder() { std::filesystem::remove_all(path_); }
  BenchFolder(const BenchFolder&) = delete;
  BenchFolder& operator=(const BenchFolder&) = delete;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

class CountingStateMachine final : public StateMachine {
 public:
  std::string Apply(const LogPosition& /*position*/,
                    const std::string& /*entry*/) override {
    return std::to_string(++count_);
  }
  std::string TakeSnapshot() const override { return std::to_string(count_); }
  void RestoreSnapshot(const LogPosition& /*position*/,
                       const std::string& snapshot) override {
    count_ = std::stoull(snapshot);
  }

 private:
  std::uint64_t count_ = 0;
};

AgreementOptions BenchOptions() {
  AgreementOptions options;
  options.bootstrap = true;
  options.snapshot_entries = 1'000'000;
  options.snapshot_log_bytes = 1 << 30;
  return options;
}

/// One control instance with its own sockets and folder.
struct Instance {
  Instance(WorkerPool* pool, const std::string& folder, int n)
      : name("control-" + std::to_string(n)),
        log(folder),
        random(n + 1),
        hybrid_clock(&clock),
        transport(pool),
        executor(pool->MakeExecutor()),
        client(&transport, executor.get(), &hybrid_clock),
        server(&router, &hybrid_clock) {
    endpoint = transport.Listen({"127.0.0.1", 0}, router.acceptor());
  }

  void Start(const std::vector<AgreementPeer>& peers) {
    service = std::make_unique<AgreementService>(
        AgreementPeer{name, endpoint}, peers, &machine, &log, &client, &server,
        executor.get(), &clock, &random, &events, BenchOptions());
    service->Start();
  }

  std::string name;
  FileLog log;
  CountingStateMachine machine;
  SystemClock clock;
  Random random;
  NullEventLog events;
  HybridClock hybrid_clock;
  StreamRouter router;
  Nghttp2Transport transport;
  std::unique_ptr<Executor> executor;
  StreamRpcClient client;
  StreamRpcServer server;
  Endpoint endpoint;
  std::unique_ptr<AgreementService> service;
};

/// Three instances, and proposals of which a limited number is in flight.
class Group {
 public:
  explicit Group(const std::string& parent) {
    for (int n = 0; n < kInstances; ++n) {
      folders_.push_back(std::make_unique<BenchFolder>(parent));
      instances_.push_back(
          std::make_unique<Instance>(&pool_, folders_.back()->path(), n));
    }
    for (const auto& instance : instances_) {
      std::vector<AgreementPeer> peers;
      for (const auto& peer : instances_) {
        if (peer != instance) peers.push_back({peer->name, peer->endpoint});
      }
      instance->Start(peers);
    }
    AwaitLeader();
  }

  ~Group() {
    for (auto& instance : instances_) instance->service.reset();
    pool_.Stop();
  }

  AgreementService& leader() { return *leader_->service; }

  void AwaitLeader() {
    while (true) {
      for (const auto& instance : instances_) {
        leader_ = instance.get();
        if (instance->service->leadership().leading) return;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  /// Returns the milliseconds from each proposal to its commit. At most `max_in_flight`
  /// proposals are uncommitted at a time.
  std::vector<double> Propose(int count, int max_in_flight) {
    std::unique_lock<std::mutex> lock(mutex_);
    samples_.clear();
    failures_ = 0;
    in_flight_ = 0;
    for (int n = 0; n < count; ++n) {
      changed_.wait(lock, [&] { return in_flight_ < max_in_flight; });
      ++in_flight_;
      lock.unlock();
      ProposeOne();
      lock.lock();
    }
    changed_.wait(lock, [&] { return in_flight_ == 0; });
    return samples_;
  }

  int failures() const { return failures_; }

 private:
  void ProposeOne() {
    const SteadyTime start = SystemClock().Now();
    leader().Propose(std::string(kEntryBytes, 'e'),
                     [this, start](ResultCode code, LogPosition, const std::string&) {
                       const double elapsed = MillisSince(start);
                       std::lock_guard<std::mutex> lock(mutex_);
                       if (code == ResultCode::kOk) {
                         samples_.push_back(elapsed);
                       } else {
                         ++failures_;
                       }
                       --in_flight_;
                       changed_.notify_one();
                     });
  }

  WorkerPool pool_{4};
  std::vector<std::unique_ptr<BenchFolder>> folders_;
  std::vector<std::unique_ptr<Instance>> instances_;
  Instance* leader_ = nullptr;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<double> samples_;
  int failures_ = 0;
  int in_flight_ = 0;
};

LogWrite MakeWrite(std::uint64_t first, std::uint64_t count) {
  LogWrite write;
  write.hard_state.emplace();
  write.hard_state->set_term(1);
  for (std::uint64_t n = 0; n < count; ++n) {
    LogEntry& entry = write.entries.emplace_back();
    entry.set_term(1);
    entry.set_index(first + n);
    entry.set_kind(LOG_ENTRY_COMMAND);
    entry.set_payload(std::string(kEntryBytes, 'e'));
  }
  return write;
}

void MeasureSync(const std::string& parent) {
  BenchReport report("One write and sync of a single log, ms",
                     {"run", "writes", "median", "p99", "worst"});
  for (int run = 0; run < kRuns; ++run) {
    BenchFolder folder(parent);
    FileLog log(folder.path());
    log.Load();
    std::vector<double> samples;
    for (std::uint64_t n = 1; n <= kProposals; ++n) {
      const SteadyTime start = SystemClock().Now();
      log.Write({MakeWrite(n, 1)});
      samples.push_back(MillisSince(start));
    }
    const SampleSummary summary = Summarize(samples);
    report.AddRow({run, summary.count, summary.median, summary.p99, summary.worst});
  }
  report.Print();
}

void MeasureCommit(const std::string& parent) {
  BenchReport report("Proposal to commit, three instances, one at a time, ms",
                     {"run", "commits", "failed", "median", "p99", "worst"});
  for (int run = 0; run < kRuns; ++run) {
    Group group(parent);
    const SampleSummary summary = Summarize(group.Propose(kProposals, 1));
    report.AddRow({run, summary.count, group.failures(), summary.median, summary.p99,
                   summary.worst});
  }
  report.Print();
}

void MeasureGroupCommit(const std::string& parent) {
  BenchReport report(
      "Group commit, three instances",
      {"in flight", "commits/s", "median ms", "p99 ms", "entries per leader sync"});
  Group group(parent);
  for (const int max_in_flight : {1, 2, 4, 8, 16, 32, 64, 128, 256}) {
    const AgreementCounters before = group.leader().counters();
    const SteadyTime start = SystemClock().Now();
    const SampleSummary summary = Summarize(group.Propose(kProposals * 2, max_in_flight));
    const double elapsed = MillisSince(start);
    const std::uint64_t syncs = group.leader().counters().syncs - before.syncs;
    report.AddRow({max_in_flight, static_cast<double>(summary.count) * 1000 / elapsed,
                   summary.median, summary.p99,
                   static_cast<double>(summary.count) / static_cast<double>(syncs)});
  }
  report.Print();
}

void MeasureRestart(const std::string& parent) {
  BenchReport report("Restart: reading the log of one instance, ms",
                     {"entries after the snapshot", "journal MB", "median", "worst"});
  std::vector<std::pair<double, double>> points;
  for (const std::uint64_t length : {0, 1'000, 10'000, 50'000, 100'000}) {
    BenchFolder folder(parent);
    {
      FileLog log(folder.path());
      log.Load();
      for (std::uint64_t n = 0; n < length; n += 100) log.Write({MakeWrite(n + 1, 100)});
    }
    std::vector<double> samples;
    for (int run = 0; run < kRuns; ++run) {
      const SteadyTime start = SystemClock().Now();
      FileLog log(folder.path());
      StoredLog stored = log.Load();
      RaftLog entries(stored.snapshot, std::move(stored.entries));
      samples.push_back(MillisSince(start));
    }
    const SampleSummary summary = Summarize(samples);
    const auto bytes = std::filesystem::file_size(folder.path() + "/journal-1");
    report.AddRow(
        {length, static_cast<double>(bytes) / 1e6, summary.median, summary.worst});
    points.emplace_back(static_cast<double>(length), summary.median);
  }
  const LineFit fit = FitLine(points);
  report.AddNote("Per 1,000 entries: " + std::to_string(fit.slope * 1000) + " ms.");
  report.Print();
}

void MeasureMemory() {
  BenchReport report("Memory of the entries in the log",
                     {"entries", "payload bytes each", "resident bytes each"});
  constexpr std::uint64_t kEntries = 200'000;
  RaftLog log(nullptr, {});
  const std::size_t before = ResidentBytes();
  for (std::uint64_t n = 1; n <= kEntries; ++n) {
    log.Append(std::move(MakeWrite(n, 1).entries.front()));
  }
  const auto each =
      static_cast<double>(ResidentBytes() - before) / static_cast<double>(kEntries);
  report.AddRow({kEntries, kEntryBytes, each});
  report.Print();
}

}  // namespace
}  // namespace quetzal

int main(int argc, char** argv) {
  const std::string parent =
      argc > 1 ? argv[1] : std::filesystem::temp_directory_path().string();
  quetzal::MeasureMemory();
  quetzal::MeasureSync(parent);
  quetzal::MeasureCommit(parent);
  quetzal::MeasureGroupCommit(parent);
  quetzal::MeasureRestart(parent);
}
