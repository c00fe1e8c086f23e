#include <atomic>
#include <condition_variable>
#include <map>
#include <set>
#include <thread>

#include <gtest/gtest.h>

#include "configuration/key_residue.h"
#include "keys/memory_rpc.h"
#include "keys/quorum_key_records.h"
#include "plugins/runtime_asio/worker_pool.h"

namespace quetzal {
namespace {

constexpr int kWorkers = 4;
constexpr int kInstances = 4;  ///< The first three are holders at the start.
constexpr int kKeys = 40;
constexpr int kClaimsOfKey = 3;  ///< Per instance.
constexpr std::uint64_t kSeed = 20261204;

std::string NameOf(int n) { return "node-" + std::to_string(n); }
Endpoint AddressOf(int n) { return {"127.0.0.1", static_cast<std::uint16_t>(7001 + n)}; }

class SharedRouting final : public RoutingSource {
 public:
  std::shared_ptr<const RoutingSnapshot> snapshot() const override {
    std::lock_guard<std::mutex> lock(mutex_);
    return snapshot_;
  }
  void Set(const Configuration& configuration) {
    auto snapshot = std::make_shared<RoutingSnapshot>();
    snapshot->configuration = std::make_shared<Configuration>(configuration);
    std::lock_guard<std::mutex> lock(mutex_);
    snapshot_ = std::move(snapshot);
  }

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
};

/// Key records of four instances whose operations run on several worker threads. Guards
/// against races by which a key runs twice or a callback is called twice.
class KeyThreadsTest : public testing::Test {
 protected:
  void Start(unsigned loss_percent) {
    std::vector<std::unique_ptr<Executor>> executors;
    for (int n = 0; n < kWorkers; ++n) executors.push_back(pool_.MakeExecutor());
    rpc_ = std::make_unique<MemoryRpc>(std::move(executors), kSeed, loss_percent);
    for (int n = 0; n < kInstances; ++n) {
      instances_.push_back(std::make_unique<Instance>(n, this));
      rpc_->AddServer(AddressOf(n), &instances_.back()->server);
    }
    for (auto& instance : instances_) instance->service->Start(&instance->server);
    Adopt(FirstConfiguration());
  }

  void TearDown() override { pool_.Stop(); }

  static Configuration FirstConfiguration() {
    Configuration configuration;
    configuration.add_data_centres("haro");
    KeyGroup* group = configuration.add_key_groups();
    group->set_data_centre("haro");
    group->set_generation(1);
    group->set_modulus(1);
    group->set_formed_generation(1);
    for (int n = 0; n < kInstances - 1; ++n) AddHolder(n, 1, group);
    return configuration;
  }

  /// Replaces the first instance by the last one; both lists of holders are in use.
  static Configuration JointConfiguration() {
    Configuration configuration = FirstConfiguration();
    KeyGroup* group = configuration.mutable_key_groups(0);
    *group->mutable_previous() = group->members();
    group->set_generation(2);
    group->clear_members();
    for (int n = 1; n < kInstances; ++n) {
      AddHolder(n, n == kInstances - 1 ? 2 : 1, group);
    }
    return configuration;
  }

  /// Uses only the new list; its holders must have caught up.
  static Configuration LastConfiguration() {
    Configuration configuration = JointConfiguration();
    configuration.mutable_key_groups(0)->clear_previous();
    configuration.mutable_key_groups(0)->set_generation(3);
    return configuration;
  }

  /// Splits the group into halves with the same holders.
  static Configuration SplitConfiguration() {
    Configuration configuration = LastConfiguration();
    const KeyGroup other = SplitKeyGroup(configuration.mutable_key_groups(0));
    *configuration.add_key_groups() = other;
    return configuration;
  }

  /// Blocks until the last instance holds all records of the group.
  void WaitForCopy() {
    KeyStatusRequest request;
    request.mutable_group()->set_data_centre("haro");
    while (!instances_.back()->service->Status(request).caught_up()) {
      std::this_thread::yield();
    }
  }

  static void AddHolder(int n, std::uint64_t joined, KeyGroup* group) {
    KeyHolder* holder = group->add_members();
    holder->set_instance(NameOf(n));
    holder->set_incarnation(1);
    holder->set_joined_generation(joined);
    holder->set_stream_address(AddressOf(n).ToString());
  }

  void Adopt(const Configuration& configuration) {
    for (auto& instance : instances_) instance->service->SetConfiguration(configuration);
    routing_.Set(configuration);
  }

  /// Claims every key several times through `instance`; runs on a thread of its own.
  void ClaimAll(int instance) {
    Random random(kSeed + static_cast<std::uint64_t>(instance));
    for (int round = 0; round < kClaimsOfKey; ++round) {
      for (int n = 0; n < kKeys; ++n) {
        // Some claims time out while their messages are in flight.
        const Duration timeout = random.Below(3) == 0 ? kShortTimeout : kLongTimeout;
        Claim(instance, "haro.order-" + std::to_string(n), timeout);
      }
    }
  }

  void ClaimAllAtOnce() {
    std::vector<std::thread> threads;
    for (int n = 0; n < kInstances; ++n) {
      threads.emplace_back([this, n] { ClaimAll(n); });
    }
    for (std::thread& thread : threads) thread.join();
  }

  /// Blocks until a third of the claims of all threads have begun.
  void WaitForSomeClaims() {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait(lock, [this] { return begun_ >= kInstances * kKeys; });
  }

  void WaitForAll() {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait(lock, [this] { return begun_ == ended_; });
  }

  void ExpectEachKeyRanOnceAtMost() {
    std::lock_guard<std::mutex> lock(mutex_);
    EXPECT_EQ(ended_twice_, 0);
    EXPECT_GE(begun_, kInstances * kKeys * kClaimsOfKey);
    EXPECT_GT(executions_.size(), 0U);
    for (const auto& [key, count] : executions_) EXPECT_EQ(count, 1) << key;
    EXPECT_FALSE(wrongly_reported_done_);
  }

 private:
  static constexpr std::chrono::microseconds kShortTimeout{300};
  static constexpr std::chrono::seconds kLongTimeout{2};

  struct Instance {
    Instance(int n, KeyThreadsTest* test)
        : executor(test->pool_.MakeExecutor()),
          service(std::make_shared<KeyHolderService>(NameOf(n), 1, KeyAcceptorOptions{},
                                                     test->rpc_.get(), executor.get(),
                                                     &test->clock_, &test->events_)),
          records(NameOf(n), 1, &test->routing_, service, test->rpc_.get(),
                  executor.get(), &test->clock_, kSeed) {}

    MemoryRpc::Server server;
    std::unique_ptr<Executor> executor;
    std::shared_ptr<KeyHolderService> service;
    QuorumKeyRecords records;
  };

  /// Wraps a callback so that its second call is counted as a fault.
  template <class Function>
  auto ExpectOneCall(Function function) {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      ++begun_;
      changed_.notify_all();
    }
    auto calls = std::make_shared<std::atomic<int>>(0);
    return [this, calls, function](const auto& result) {
      const bool first = calls->fetch_add(1) == 0;
      if (first) function(result);
      std::lock_guard<std::mutex> lock(mutex_);
      if (first) {
        ++ended_;
      } else {
        ++ended_twice_;
      }
      changed_.notify_all();
    };
  }

  void Claim(int instance, const std::string& key, Duration timeout) {
    KeyClaim claim;
    claim.key = key;
    claim.fingerprint = "f";
    claim.attempt_id = "attempt-" + std::to_string(next_attempt_.fetch_add(1));
    instances_[instance]->records.Claim(
        claim, timeout,
        ExpectOneCall([=, id = claim.attempt_id](const ClaimResult& result) {
          OnClaim(instance, key, id, result);
        }));
  }

  void OnClaim(int instance, const std::string& key, const std::string& id,
               const ClaimResult& result) {
    if (result.outcome == ClaimOutcome::kGranted) Send(instance, key, id);
    if (result.outcome == ClaimOutcome::kInProgress) {
      ResolveAsAdmittingNode(instance, key, result.record.attempt_id());
    }
    std::lock_guard<std::mutex> lock(mutex_);
    const bool done = result.outcome == ClaimOutcome::kDone;
    if (done && executions_.count(key) == 0) wrongly_reported_done_ = true;
  }

  /// Executes the granted attempt unless it was fenced.
  void Send(int instance, const std::string& key, const std::string& id) {
    bool fenced = false;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      fenced = fenced_.count(id) != 0;
      if (!fenced) {
        executed_.insert(id);
        ++executions_[key];
      }
    }
    Resolve(instance, key, id, fenced ? AttemptOutcome::kNotRun : AttemptOutcome::kDone);
  }

  /// Records the answer of the admitting node about an attempt: it ran, or it never will.
  void ResolveAsAdmittingNode(int instance, const std::string& key,
                              const std::string& id) {
    bool ran = false;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      ran = executed_.count(id) != 0;
      if (!ran) fenced_.insert(id);
    }
    Resolve(instance, key, id, ran ? AttemptOutcome::kDone : AttemptOutcome::kNotRun);
  }

  void Resolve(int instance, const std::string& key, const std::string& id,
               AttemptOutcome outcome) {
    instances_[instance]->records.Resolve(key, id, outcome, {}, kLongTimeout,
                                          ExpectOneCall([](ResultCode) {}));
  }

  SystemClock clock_;
  NullEventLog events_;
  SharedRouting routing_;
  WorkerPool pool_{kWorkers};
  std::unique_ptr<MemoryRpc> rpc_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::atomic<int> next_attempt_{0};

  std::mutex mutex_;
  std::condition_variable changed_;
  int begun_ = 0;
  int ended_ = 0;
  int ended_twice_ = 0;
  std::set<std::string> executed_;
  std::set<std::string> fenced_;
  std::map<std::string, int> executions_;
  bool wrongly_reported_done_ = false;
};

TEST_F(KeyThreadsTest, EveryOperationEndsOnceAndNoKeyRunsTwice) {
  Start(0);
  ClaimAllAtOnce();
  WaitForAll();
  ExpectEachKeyRanOnceAtMost();
}

TEST_F(KeyThreadsTest, LostMessagesEndNoOperationTwiceAndRunNoKeyTwice) {
  Start(8);
  ClaimAllAtOnce();
  WaitForAll();
  ExpectEachKeyRanOnceAtMost();
}

TEST_F(KeyThreadsTest, SplittingTheGroupDuringClaimsRunsNoKeyTwice) {
  Start(2);
  std::thread callers([this] { ClaimAllAtOnce(); });
  WaitForSomeClaims();
  Adopt(JointConfiguration());
  WaitForCopy();
  Adopt(LastConfiguration());
  Adopt(SplitConfiguration());
  callers.join();
  ClaimAllAtOnce();
  WaitForAll();
  ExpectEachKeyRanOnceAtMost();
}

TEST_F(KeyThreadsTest, ReplacingAHolderDuringClaimsRunsNoKeyTwice) {
  Start(2);
  std::thread callers([this] { ClaimAllAtOnce(); });
  WaitForSomeClaims();
  Adopt(JointConfiguration());
  callers.join();
  WaitForCopy();
  Adopt(LastConfiguration());
  ClaimAllAtOnce();
  WaitForAll();
  ExpectEachKeyRanOnceAtMost();
}

}  // namespace
}  // namespace quetzal
