#include "agreement/agreement_service.h"
#include "agreement/replica_set.h"

#include <atomic>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include <gtest/gtest.h>

#include "agreement/faulty_disk.h"
#include "agreement/temporary_folder.h"
#include "plugins/log_file/file_log.h"
#include "plugins/runtime_asio/worker_pool.h"

namespace quetzal::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Passes requests between services of one process.
class LocalNetwork {
 public:
  void Serve(const Endpoint& at, RpcServer::Method method) {
    std::lock_guard<std::mutex> lock(mutex_);
    methods_[at] = std::move(method);
  }
  void Call(const Endpoint& to, const std::string& request, const RpcReply& reply) {
    RpcServer::Method method;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      auto it = methods_.find(to);
      if (it != methods_.end()) method = it->second;
    }
    if (!method) return reply(ResultCode::kConnectFailed, "");
    method(request, reply);
  }

 private:
  std::mutex mutex_;
  std::map<Endpoint, RpcServer::Method> methods_;
};

class LocalRpc final : public RpcClient, public RpcServer {
 public:
  LocalRpc(LocalNetwork* network, Endpoint self)
      : network_(network), self_(std::move(self)) {}
  void Call(const Endpoint& peer, const std::string&, std::string request, Duration,
            RpcReply reply) override {
    network_->Call(peer, request, reply);
  }
  void Serve(const std::string&, Method handler) override {
    network_->Serve(self_, std::move(handler));
  }

 private:
  LocalNetwork* network_;
  Endpoint self_;
};

/// State machine that appends every entry to a text.
class TextMachine final : public StateMachine {
 public:
  std::string Apply(const LogPosition&, const std::string& entry) override {
    std::lock_guard<std::mutex> lock(mutex_);
    return text_ += entry;
  }
  std::string TakeSnapshot() const override { return text(); }
  void RestoreSnapshot(const LogPosition&, const std::string& snapshot) override {
    std::lock_guard<std::mutex> lock(mutex_);
    text_ = snapshot;
  }
  std::string text() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return text_;
  }

 private:
  mutable std::mutex mutex_;
  std::string text_;
};

AgreementPeer PeerAt(int n) {
  return {"control-" + std::to_string(n),
          {"127.0.0.1", static_cast<std::uint16_t>(7000 + n)}};
}

/// A file log with a simulated full disk.
class FillableLog final : public LogStorage {
 public:
  explicit FillableLog(const std::string& folder) : log_(folder, &disk_) {}
  StoredLog Load() override { return log_.Load(); }
  void Write(const std::vector<LogWrite>& writes) override { log_.Write(writes); }
  void set_full(bool full) { disk_.set_full(full); }
  FaultyDisk* disk() { return &disk_; }

 private:
  FaultyDisk disk_;
  FileLog log_;
};

struct Process {
  Process(int n, int group, const std::string& folder, LocalNetwork* network,
          WorkerPool* pool, std::uint64_t snapshot_entries, Duration handover_timeout)
      : log(folder),
        rpc(network, PeerAt(n).endpoint),
        random(n + 1),
        executor(pool->MakeExecutor()) {
    AgreementOptions options;
    options.bootstrap = n < group;
    options.snapshot_entries = snapshot_entries;
    options.handover_timeout = handover_timeout;
    // Long enough for a busy machine with a sanitizer build.
    options.heartbeat_period = milliseconds(100);
    options.lease = milliseconds(1500);
    options.election_timeout_min = milliseconds(2000);
    options.election_timeout_max = milliseconds(3000);
    std::vector<AgreementPeer> peers;
    for (int peer = 0; peer < group; ++peer) {
      if (peer != n) peers.push_back(PeerAt(peer));
    }
    service = std::make_unique<AgreementService>(PeerAt(n), peers, &machine, &log, &rpc,
                                                 &rpc, executor.get(), &clock, &random,
                                                 &events, options);
    service->Start();
  }

  FillableLog log;
  LocalRpc rpc;
  TextMachine machine;
  SystemClock clock;
  Random random;
  NullEventLog events;
  std::unique_ptr<Executor> executor;
  std::unique_ptr<AgreementService> service;
};

class AgreementServiceTest : public ::testing::Test {
 protected:
  ~AgreementServiceTest() override {
    for (auto& it : processes_) it.reset();
    pool_.Stop();
  }

  void Launch(int n, int group, std::uint64_t snapshot_entries = 1000) {
    processes_[n] =
        std::make_unique<Process>(n, group, folders_[n].path(), &network_, &pool_,
                                  snapshot_entries, handover_timeout_);
  }

  AgreementService& ServiceAt(int n) { return *processes_[n]->service; }

  int AwaitLeader() {
    for (int tries = 0; tries < 2000; ++tries) {
      for (int n = 0; n < 4; ++n) {
        if (processes_[n] && ServiceAt(n).leadership().leading) return n;
      }
      std::this_thread::sleep_for(milliseconds(10));
    }
    return -1;
  }

  struct Outcome {
    ResultCode code;
    std::string result;
  };

  template <class Start>
  Outcome Await(Start start) {
    auto promise = std::make_shared<std::promise<Outcome>>();
    auto outcome = promise->get_future();
    start([promise](ResultCode code, LogPosition, std::string result) {
      promise->set_value({code, std::move(result)});
    });
    if (outcome.wait_for(seconds(30)) != std::future_status::ready) {
      return {ResultCode::kTimeout, "no outcome"};
    }
    return outcome.get();
  }

  Outcome Propose(int n, const std::string& entry) {
    return Await([&](auto done) { ServiceAt(n).Propose(entry, done); });
  }

  ResultCode Read(int n) {
    return Await([&](auto done) {
             ServiceAt(n).ReadBarrier([done](ResultCode code) { done(code, {}, ""); });
           })
        .code;
  }

  Duration handover_timeout_ = milliseconds(300);
  TemporaryFolder folders_[4];
  LocalNetwork network_;
  WorkerPool pool_{2};
  std::unique_ptr<Process> processes_[4];
};

TEST_F(AgreementServiceTest, ASingleInstanceCommitsAndRestores) {
  Launch(0, 1, 2);
  ASSERT_EQ(AwaitLeader(), 0);
  EXPECT_EQ(Propose(0, "a").result, "a");
  EXPECT_EQ(Propose(0, "b").result, "ab");
  EXPECT_EQ(Propose(0, "c").result, "abc");
  EXPECT_GT(ServiceAt(0).counters().snapshots_taken, 0u);
  processes_[0].reset();
  Launch(0, 1, 2);
  ASSERT_EQ(AwaitLeader(), 0);
  EXPECT_EQ(Read(0), ResultCode::kOk);
  EXPECT_EQ(processes_[0]->machine.text(), "abc");
}

TEST_F(AgreementServiceTest, AFullDiskReportsCorrectResults) {
  Launch(0, 1);
  ASSERT_EQ(AwaitLeader(), 0);
  ASSERT_EQ(Propose(0, "a").result, "a");
  processes_[0]->log.set_full(true);
  EXPECT_EQ(Propose(0, "b").code, ResultCode::kLeadershipLost);
  EXPECT_EQ(Propose(0, "c").code, ResultCode::kDiskFull);
  EXPECT_EQ(ServiceAt(0).disk_state(), ResultCode::kDiskFull);
  processes_[0]->log.set_full(false);
  ASSERT_EQ(AwaitLeader(), 0);
  // "b" was in the log and its outcome was reported as unknown; "c" was refused.
  EXPECT_EQ(Propose(0, "d").result, "abd");
}

// Guards against instances that run on and never write again once their disk was full, so
// that no majority is left after the second of them.
TEST_F(AgreementServiceTest, DisksThatWereFullInTurnLeaveAMajority) {
  for (int n = 0; n < 3; ++n) Launch(n, 3);
  ASSERT_GE(AwaitLeader(), 0);
  const auto propose = [this](const std::string& entry) {
    const SteadyTime limit = std::chrono::steady_clock::now() + seconds(20);
    while (std::chrono::steady_clock::now() < limit) {
      const int leader = AwaitLeader();
      if (leader < 0) return false;
      if (Propose(leader, entry).code == ResultCode::kOk) return true;
    }
    return false;
  };
  ASSERT_TRUE(propose("a"));
  for (int round = 0; round < 2; ++round) {
    for (int n = 0; n < 3; ++n) {
      processes_[n]->log.disk()->set_writes_part(round > 0);
      processes_[n]->log.set_full(true);
      EXPECT_TRUE(propose("b")) << "while the disk of " << n << " is full";
      processes_[n]->log.set_full(false);
      EXPECT_TRUE(propose("c")) << "after the disk of " << n << " was full";
    }
  }
  const SteadyTime limit = std::chrono::steady_clock::now() + seconds(20);
  for (int n = 0; n < 3; ++n) {
    while (Read(n) != ResultCode::kOk && std::chrono::steady_clock::now() < limit) {
      std::this_thread::sleep_for(milliseconds(50));
    }
    EXPECT_EQ(Read(n), ResultCode::kOk);
    EXPECT_EQ(ServiceAt(n).disk_state(), ResultCode::kOk) << n;
  }
}

TEST_F(AgreementServiceTest, ThreeInstancesAgree) {
  for (int n = 0; n < 3; ++n) Launch(n, 3);
  const int leader = AwaitLeader();
  ASSERT_GE(leader, 0);
  const int follower = (leader + 1) % 3;
  EXPECT_EQ(Propose(follower, "x").code, ResultCode::kNotLeader);
  EXPECT_EQ(Propose(leader, "a").result, "a");
  EXPECT_EQ(Read(follower), ResultCode::kOk);
  EXPECT_EQ(processes_[follower]->machine.text(), "a");
  EXPECT_EQ(ServiceAt(follower).leadership().leader, PeerAt(leader).name);
}

TEST_F(AgreementServiceTest, AStoppedLeaderHandsOver) {
  // The successor's election waits for the disks of two instances.
  handover_timeout_ = seconds(10);
  for (int n = 0; n < 3; ++n) Launch(n, 3);
  const int leader = AwaitLeader();
  ASSERT_GE(leader, 0);
  ASSERT_EQ(Propose(leader, "a").code, ResultCode::kOk);
  ServiceAt(leader).Stop();
  EXPECT_NE(ServiceAt(leader).leadership().leader, PeerAt(leader).name);
  EXPECT_NE(ServiceAt(leader).leadership().leader, "");
  processes_[leader].reset();
  const int successor = AwaitLeader();
  ASSERT_GE(successor, 0);
  EXPECT_EQ(Propose(successor, "b").result, "ab");
}

TEST_F(AgreementServiceTest, AddsANewInstanceFromASnapshot) {
  for (int n = 0; n < 3; ++n) Launch(n, 3, 2);
  const int leader = AwaitLeader();
  ASSERT_GE(leader, 0);
  for (const char* entry : {"a", "b", "c", "d"}) Propose(leader, entry);
  Launch(3, 3, 2);
  const MembershipChange add{MembershipChangeKind::kAdd, PeerAt(3).name,
                             PeerAt(3).endpoint};
  const auto change = [&](auto done) { ServiceAt(leader).ProposeMembership(add, done); };
  EXPECT_EQ(Await(change).code, ResultCode::kOk);
  EXPECT_EQ(Propose(leader, "e").result, "abcde");
  for (int tries = 0; tries < 2000 && processes_[3]->machine.text() != "abcde"; ++tries) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  EXPECT_EQ(processes_[3]->machine.text(), "abcde");
  // The leader refuses other changes until the new instance is a voter.
  ResultCode code = ResultCode::kOverloaded;
  for (int tries = 0; tries < 2000 && code == ResultCode::kOverloaded; ++tries) {
    code = Await(change).code;
    std::this_thread::sleep_for(milliseconds(10));
  }
  EXPECT_EQ(code, ResultCode::kPlanRefused);
  std::vector<GroupMember> group = ServiceAt(leader).group();
  ASSERT_EQ(group.size(), 4U);
  for (int tries = 0; tries < 2000 && !group.back().votes; ++tries) {
    std::this_thread::sleep_for(milliseconds(10));
    group = ServiceAt(leader).group();
  }
  EXPECT_EQ(group.back().name, PeerAt(3).name);
  EXPECT_EQ(group.back().endpoint, PeerAt(3).endpoint);
  for (const GroupMember& member : group) EXPECT_TRUE(member.votes) << member.name;
}

TEST(ReplicaSetTest, SetsOfOneSizeDifferByMembersVotesAndAddresses) {
  ReplicaSet set;
  Replica* replica = set.add_replicas();
  replica->set_name("a");
  replica->set_address("127.0.0.1:1");
  replica->set_replica(7);
  ReplicaSet other = set;
  EXPECT_TRUE(SameReplicas(set, other));
  other.mutable_replicas(0)->set_voter(true);
  EXPECT_FALSE(SameReplicas(set, other));
  other = set;
  other.mutable_replicas(0)->set_replica(8);
  EXPECT_FALSE(SameReplicas(set, other));
  other = set;
  other.mutable_replicas(0)->set_address("127.0.0.1:2");
  EXPECT_FALSE(SameReplicas(set, other));
}

}  // namespace
}  // namespace quetzal::testing
