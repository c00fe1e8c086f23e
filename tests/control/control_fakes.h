#ifndef QUETZAL_TESTS_CONTROL_CONTROL_FAKES_H_
#define QUETZAL_TESTS_CONTROL_CONTROL_FAKES_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "agreement/agreement.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "control/control_service.h"
#include "control/intent_api.h"
#include "control/intent_events.h"
#include "control/intent_machine.h"
#include "kernel/executor.h"
#include "net/rpc.h"

namespace quetzal {

/// Runs tasks only in Run and Advance. Timers follow a manually advanced clock.
class ManualExecutor final : public Executor {
 public:
  explicit ManualExecutor(ManualClock* clock) : clock_(clock) {}

  void Post(std::function<void()> task) override { tasks_.push_back(std::move(task)); }

  std::unique_ptr<Timer> After(Duration delay, std::function<void()> task) override {
    return Add(delay, Duration(0), std::move(task));
  }

  std::unique_ptr<Timer> Every(Duration period, std::function<void()> task) override {
    return Add(period, period, std::move(task));
  }

  void Run() {
    while (!tasks_.empty()) {
      auto task = std::move(tasks_.front());
      tasks_.pop_front();
      task();
    }
  }

  /// Advances the clock in steps of 10 ms, so that each timer runs when it is due.
  void Advance(Duration by) {
    constexpr Duration kStep = std::chrono::milliseconds(10);
    Run();
    for (; by > Duration(0); by -= kStep) {
      clock_->Advance(std::min(by, kStep));
      RunTimers();
      Run();
    }
  }

 private:
  struct Entry {
    SteadyTime at;
    Duration period;
    std::function<void()> task;
  };

  class Handle final : public Timer {
   public:
    explicit Handle(std::shared_ptr<Entry> entry) : entry_(std::move(entry)) {}

   private:
    std::shared_ptr<Entry> entry_;
  };

  std::unique_ptr<Timer> Add(Duration delay, Duration period,
                             std::function<void()> task) {
    auto entry =
        std::make_shared<Entry>(Entry{clock_->Now() + delay, period, std::move(task)});
    timers_.push_back(entry);
    return std::make_unique<Handle>(std::move(entry));
  }

  void RunTimers() {
    const std::vector<std::weak_ptr<Entry>> timers(timers_.begin(), timers_.end());
    timers_.clear();
    for (const auto& weak : timers) {
      const std::shared_ptr<Entry> entry = weak.lock();
      if (entry == nullptr) continue;
      if (entry->at > clock_->Now()) {
        timers_.push_back(entry);
        continue;
      }
      if (entry->period > Duration(0)) {
        entry->at = clock_->Now() + entry->period;
        timers_.push_back(entry);
      }
      entry->task();
    }
  }

  ManualClock* clock_;
  std::deque<std::function<void()>> tasks_;
  std::vector<std::weak_ptr<Entry>> timers_;
};

/// Outcome of a proposal.
enum class ProposalOutcome {
  kCommit,
  kCommitAnswerLost,  ///< Committed, but reported as unknown to the proposer.
  kCommitTwice,       ///< A duplicated message: two entries.
  kLost,              ///< Not committed; reported as unknown to the proposer.
  kRefused,           ///< Not added to the log.
};

/// One log shared by several control instances in one process.
class FakeLog {
 public:
  void Attach(StateMachine* machine) { machines_.push_back(machine); }
  void Detach(StateMachine* machine) {
    machines_.erase(std::remove(machines_.begin(), machines_.end(), machine),
                    machines_.end());
  }

  std::string Commit(StateMachine* proposer, const std::string& entry) {
    const LogPosition position{term, ++index_};
    std::string result;
    for (StateMachine* machine : machines_) {
      std::string own = machine->Apply(position, entry);
      if (machine == proposer) result = std::move(own);
    }
    entries_.emplace_back(position, entry);
    return result;
  }

  /// Applies all entries again, as a restart does.
  void Replay(StateMachine* machine) const {
    for (const auto& [position, entry] : entries_) machine->Apply(position, entry);
  }

  LogPosition last() const { return {term, index_}; }

  std::uint64_t term = 1;

 private:
  std::uint64_t index_ = 0;
  std::vector<StateMachine*> machines_;
  std::vector<std::pair<LogPosition, std::string>> entries_;
};

class FakeAgreement final : public Agreement {
 public:
  FakeAgreement(FakeLog* log, StateMachine* machine) : log_(log), machine_(machine) {}

  void Propose(std::string entry, ProposeDone done) override {
    ProposalOutcome outcome =
        view.leading ? ProposalOutcome::kCommit : ProposalOutcome::kRefused;
    if (view.leading && !next_outcomes.empty()) {
      outcome = next_outcomes.front();
      next_outcomes.pop_front();
    }
    if (outcome == ProposalOutcome::kRefused) return done(ResultCode::kNotLeader, {}, "");
    if (outcome == ProposalOutcome::kLost)
      return done(ResultCode::kLeadershipLost, {}, "");
    if (outcome == ProposalOutcome::kCommitTwice) log_->Commit(machine_, entry);
    const std::string result = log_->Commit(machine_, entry);
    if (outcome == ProposalOutcome::kCommitAnswerLost) {
      return done(ResultCode::kLeadershipLost, {}, "");
    }
    done(ResultCode::kOk, log_->last(), result);
  }

  void ReadBarrier(ReadDone done) override {
    done(view.leading ? ResultCode::kOk : follower_read_code);
  }

  LeadershipView leadership() const override { return view; }
  LogPosition committed() const override { return log_->last(); }
  std::vector<GroupMember> group() const override { return members; }

  void ProposeMembership(const MembershipChange& change,
                         const ProposeDone& done) override {
    changes.push_back(change);
    if (membership_code != ResultCode::kOk) return done(membership_code, {}, "no answer");
    if (change.kind == MembershipChangeKind::kAdd) {
      members.push_back({change.name, change.endpoint, false, true});
    } else {
      members.erase(std::remove_if(members.begin(), members.end(),
                                   [&](const GroupMember& member) {
                                     return member.name == change.name;
                                   }),
                    members.end());
    }
    done(ResultCode::kOk, log_->last(), "");
  }

  LeadershipView view;
  std::vector<GroupMember> members;
  std::vector<MembershipChange> changes;
  ResultCode membership_code = ResultCode::kOk;
  ResultCode follower_read_code = ResultCode::kNoQuorum;  ///< kNotLeader: may forward.
  std::deque<ProposalOutcome> next_outcomes;

 private:
  FakeLog* log_;
  StateMachine* machine_;
};

/// Delivers requests between instances of one process.
class FakeRpc final : public RpcClient, public RpcServer {
 public:
  explicit FakeRpc(std::map<Endpoint, FakeRpc*>* network) : network_(network) {}

  void Call(const Endpoint& peer, const std::string& method, std::string request,
            Duration /*timeout*/, RpcReply reply) override {
    const auto it = network_->find(peer);
    if (it == network_->end()) return reply(ResultCode::kConnectFailed, "");
    const auto handler = it->second->methods_.find(method);
    if (handler == it->second->methods_.end()) {
      return reply(ResultCode::kMethodUnknown, "");
    }
    handler->second(request, std::move(reply));
  }

  void Serve(const std::string& method, Method handler) override {
    methods_[method] = std::move(handler);
  }

 private:
  std::map<Endpoint, FakeRpc*>* network_;
  std::map<std::string, Method> methods_;
};

/// A control instance with fakes of all dependencies outside the control folder.
class ControlFixture {
 public:
  ControlFixture(const std::string& name, const Endpoint& address, FakeLog* log,
                 std::map<Endpoint, FakeRpc*>* network,
                 std::map<std::string, Endpoint> peers, ManualClock* clock,
                 ManualExecutor* executor, IntentRetention retention = {})
      : log_(log),
        machine(
            [this](const Version& version,
                   const std::shared_ptr<const Configuration>& configuration) {
              if (service != nullptr) service->OnConfigured(version, configuration);
            },
            retention),
        agreement(log, &machine),
        rpc(network),
        events(&null_log, clock) {
    (*network)[address] = &rpc;
    peers.erase(name);
    const PeerLookup lookup =
        [peers](const std::string& peer) -> std::optional<Endpoint> {
      const auto it = peers.find(peer);
      return it == peers.end() ? std::nullopt : std::optional(it->second);
    };
    ControlService::Distribution distribution{
        [this](const Version& version, const std::shared_ptr<const Configuration>&) {
          published = version;
          bytes += 100;
          if (on_publish) on_publish();
        },
        [this](bool is_quorum_backed) { quorum_backed = is_quorum_backed; },
        [this] { return bytes; }};
    service = std::make_unique<ControlService>(
        ControlService::Dependencies{&agreement, &machine, std::move(distribution), &rpc,
                                     &rpc, executor, clock, &events},
        lookup, ConvergenceSettings{});
    api = std::make_unique<IntentApi>(
        IntentApi::Dependencies{&agreement, &machine, service.get(), &rpc, &rpc, executor,
                                clock, &events},
        name, "haro", lookup);
    agreement.view.leader = name;
    log->Attach(&machine);
    service->Start();
    api->Start();
  }

  ~ControlFixture() {
    log_->Detach(&machine);
    service->Stop();
  }

  ControlFixture(const ControlFixture&) = delete;
  ControlFixture& operator=(const ControlFixture&) = delete;

 private:
  FakeLog* log_;

 public:
  IntentMachine machine;
  FakeAgreement agreement;
  FakeRpc rpc;
  NullEventLog null_log;
  IntentEvents events;
  std::unique_ptr<ControlService> service;
  std::unique_ptr<IntentApi> api;
  Version published;
  std::function<void()> on_publish;
  bool quorum_backed = false;
  std::uint64_t bytes = 0;
};

/// The acknowledgement of a live proxy.
inline ProxyAck MakeAck(const std::string& instance, const std::string& data_centre,
                        const std::string& service, const Version& applied,
                        std::uint64_t incarnation = 1) {
  ProxyAck ack;
  ack.instance = instance;
  ack.data_centre = data_centre;
  ack.service = service;
  ack.incarnation = incarnation;
  ack.applied_version = applied;
  return ack;
}

}  // namespace quetzal

#endif  // QUETZAL_TESTS_CONTROL_CONTROL_FAKES_H_
