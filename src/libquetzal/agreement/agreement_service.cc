#include "agreement/agreement_service.h"

#include <future>
#include <map>
#include <mutex>
#include <utility>

#include "agreement/log_writer.h"
#include "agreement/raft_core.h"
#include "agreement/replica_set.h"
#include "base/result_code.h"
#include "membership/endpoint_text.h"

namespace quetzal {
namespace {

constexpr char kMessageMethod[] = "/agreement/message";
constexpr int kTicksPerHeartbeat = 5;
constexpr std::chrono::seconds kStopMargin{1};

}  // namespace

/// Connects the core with the executor, the network and the disk. Members that no mutex
/// guards are used on the executor only. `accepting_tasks_mutex_` is held while a task is
/// posted; the other mutexes are never held during a call to another object.
class AgreementService::Runner : public std::enable_shared_from_this<Runner> {
 public:
  struct Proposal {
    std::string entry;
    ProposeDone done;
  };

  Runner(AgreementPeer self, std::vector<AgreementPeer> peers,
         StateMachine* state_machine, LogStorage* storage, RpcClient* rpc_client,
         RpcServer* rpc_server, Executor* executor, const Clock* clock, Random* random,
         EventLog* event_log, AgreementOptions options)
      : self_(std::move(self)),
        peers_(std::move(peers)),
        state_machine_(state_machine),
        storage_(storage),
        rpc_client_(rpc_client),
        rpc_server_(rpc_server),
        executor_(executor),
        clock_(clock),
        random_(random),
        event_log_(event_log),
        options_(options),
        started_(clock->Now()) {}

  void Start() {
    core_ = std::make_unique<RaftCore>(self_, peers_, storage_->Load(), clock_, random_,
                                       options_);
    next_read_ = random_->Next();
    std::weak_ptr<Runner> weak = weak_from_this();
    writer_ = std::make_unique<LogWriter>(storage_, options_.disk_retry_period,
                                          [weak](ResultCode code, std::uint64_t number) {
                                            if (auto self = weak.lock())
                                              self->OnWritten(code, number);
                                          });
    HandleOutput();
    rpc_server_->Serve(kMessageMethod,
                       [weak](const std::string& request, const RpcReply& reply) {
                         auto self = weak.lock();
                         if (self == nullptr)
                           return reply(ResultCode::kConnectionLost, "");
                         self->OnRequest(request, reply);
                       });
    ticker_ = executor_->Every(options_.heartbeat_period / kTicksPerHeartbeat, [weak] {
      if (auto self = weak.lock()) self->Step([&] { self->core_->Tick(); });
    });
  }

  void Stop() {
    if (std::exchange(stop_called_, true) || core_ == nullptr) return;
    auto stopped = stopped_promise_.get_future();
    PostTask([this] { BeginStop(); });
    stopped.wait_for(options_.handover_timeout + kStopMargin);
    writer_->Stop();
    std::lock_guard<std::mutex> lock(accepting_tasks_mutex_);
    accepting_tasks_ = false;
  }

  void Propose(std::string entry, ProposeDone done) {
    {
      std::lock_guard<std::mutex> lock(proposals_mutex_);
      proposals_.push_back({std::move(entry), std::move(done)});
      if (proposals_.size() > 1) return;
    }
    if (!PostTask([this] { SubmitProposals(); })) RefuseProposals();
  }

  void ReadBarrier(const ReadDone& done) {
    const bool posted = PostTask([this, done] {
      if (stopped_) return done(ResultCode::kNotLeader);
      const std::uint64_t id = next_read_++;
      reads_[id] = done;
      Step([&] { core_->BeginRead(id); });
    });
    if (!posted) done(ResultCode::kNotLeader);
  }

  void ProposeMembership(const MembershipChange& change, const ProposeDone& done) {
    const bool posted = PostTask([this, change, done] {
      const bool stale_term = change.term != 0 && change.term != core_->term();
      if (stopped_ || stale_term) return done(ResultCode::kNotLeader, {}, "");
      if (membership_done_) {
        return done(ResultCode::kOverloaded, {}, "another change is under way");
      }
      membership_done_ = done;
      Step([&] {
        core_->ProposeMembership(change.kind, {change.name, change.endpoint});
      });
    });
    if (!posted) done(ResultCode::kNotLeader, {}, "");
  }

  LeadershipView leadership() const {
    std::lock_guard<std::mutex> lock(view_mutex_);
    // Compares the lease with the current time, because the process may have been paused
    // since the last update of the view.
    const SteadyTime now = clock_->Now();
    LeadershipView view = view_.leadership;
    view.leading = view_.leads && now < view_.lease_until;
    view.since_quorum = now - std::max(view_.last_quorum_contact, started_);
    return view;
  }

  LogPosition committed() const {
    std::lock_guard<std::mutex> lock(view_mutex_);
    return view_.committed;
  }

  std::vector<GroupMember> group() const {
    std::lock_guard<std::mutex> lock(view_mutex_);
    return view_.group;
  }

  ReplicaSet replicas() const {
    std::lock_guard<std::mutex> lock(view_mutex_);
    return view_.replicas;
  }

  AgreementCounters counters() const {
    std::lock_guard<std::mutex> lock(view_mutex_);
    return view_.counters;
  }

  ResultCode disk_state() const {
    std::lock_guard<std::mutex> lock(view_mutex_);
    return view_.disk_state;
  }

 private:
  struct Pending {
    std::uint64_t term;
    ProposeDone done;
  };

  struct View {
    LeadershipView leadership;
    bool leads = false;
    SteadyTime lease_until{};
    SteadyTime last_quorum_contact{};
    LogPosition committed;
    ReplicaSet replicas;
    std::vector<GroupMember> group;
    AgreementCounters counters;
    ResultCode disk_state = ResultCode::kOk;
  };

  /// Posts a task. Returns false after Stop(): a late request may arrive when the
  /// executor no longer exists.
  template <class Task>
  bool PostTask(Task task) {
    std::lock_guard<std::mutex> lock(accepting_tasks_mutex_);
    if (!accepting_tasks_) return false;
    executor_->Post([self = shared_from_this(), task = std::move(task)] { task(); });
    return true;
  }

  /// Passes one event to the core and processes its output.
  template <class Action>
  void Step(Action action) {
    if (stopped_) return;
    action();
    HandleOutput();
    CompactWhenDue();
    if (handover_timer_ && core_->leader() != 0) FinishStop("leader.handed_over");
  }

  void BeginStop() {
    const bool hands_over =
        core_->role() == RaftRole::kLeader && VoterCount(core_->log().replicas()) > 1;
    // Without ticks this instance starts no election while it waits for its successor.
    ticker_.reset();
    stop_began_ = clock_->Now();
    Step([&] { core_->Handover(); });
    FailPending(ResultCode::kLeadershipLost);
    auto reads = std::exchange(reads_, {});
    for (auto& [id, done] : reads) done(ResultCode::kNotLeader);
    if (!hands_over) return FinishStop(nullptr);
    std::weak_ptr<Runner> weak = weak_from_this();
    handover_timer_ = executor_->After(options_.handover_timeout, [weak] {
      auto self = weak.lock();
      if (self && !self->stopped_) self->FinishStop("leader.handover_unanswered");
    });
  }

  void FinishStop(const char* event) {
    stopped_ = true;
    handover_timer_.reset();
    if (event != nullptr) {
      const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
          clock_->Now() - stop_began_);
      event_log_->Emit({event, {{"waited_ms", std::to_string(waited.count())}}});
    }
    stopped_promise_.set_value();
  }

  void OnRequest(const std::string& request, const RpcReply& reply) {
    auto message = std::make_shared<AgreementMessage>();
    if (!message->ParseFromString(request)) {
      return reply(ResultCode::kMessageMalformed, "");
    }
    reply(ResultCode::kOk, "");
    PostTask([this, message] {
      ++counters_.messages_received;
      Step([&] { core_->Receive(*message); });
    });
  }

  void OnWritten(ResultCode code, std::uint64_t number) {
    PostTask([this, code, number] {
      if (code != ResultCode::kOk) {
        ++counters_.disk_failures;
        if (disk_state_ != code) EmitDiskEvent(code);
      }
      disk_state_ = code;
      Step([&] {
        if (code == ResultCode::kOk) {
          core_->OnSynced(number);
        } else {
          core_->OnStorageFailed(code);
        }
      });
    });
  }

  std::vector<Proposal> DrainProposals() {
    std::lock_guard<std::mutex> lock(proposals_mutex_);
    return std::exchange(proposals_, {});
  }

  void RefuseProposals() {
    for (const Proposal& it : DrainProposals()) it.done(ResultCode::kNotLeader, {}, "");
  }

  void SubmitProposals() {
    if (stopped_) return RefuseProposals();
    std::vector<Proposal> proposals = DrainProposals();
    Step([&] {
      for (Proposal& it : proposals) SubmitProposal(&it);
    });
  }

  void SubmitProposal(Proposal* proposal) {
    ProposeDone& done = proposal->done;
    if (pending_.size() >= options_.pending_max) {
      return done(ResultCode::kOverloaded, {}, "");
    }
    const ProposeAnswer answer = core_->Propose(std::move(proposal->entry));
    if (answer.code != ResultCode::kOk) return done(answer.code, {}, "");
    pending_[answer.index] = {answer.term, std::move(done)};
  }

  void HandleOutput() {
    CoreOutput output = core_->TakeOutput();
    if (output.restore != nullptr) {
      const SnapshotInfo& info = output.restore->info;
      state_machine_->RestoreSnapshot({info.term(), info.index()}, output.restore->data);
      applied_ = {info.term(), info.index()};
    }
    for (const LogEntry& it : output.committed) Apply(it);
    UpdateView();
    for (const Outgoing& it : output.messages) SendMessage(it);
    if (!output.writes.empty()) writer_->Add(std::move(output.writes));
    for (const MembershipStep& it : output.membership_steps) FinishMembership(it);
    for (const CoreEvent& it : output.events) HandleEvent(it);
    for (const ReadOutcome& it : output.reads) FinishRead(it);
  }

  void Apply(const LogEntry& entry) {
    std::string result;
    if (entry.kind() == LOG_ENTRY_COMMAND) {
      result = state_machine_->Apply({entry.term(), entry.index()}, entry.payload());
    }
    applied_ = {entry.term(), entry.index()};
    auto node = pending_.extract(entry.index());
    if (node.empty()) return;
    const Pending& pending = node.mapped();
    // Another committed entry at this index means that the proposed one never commits.
    const bool same = pending.term == entry.term();
    pending.done(same ? ResultCode::kOk : ResultCode::kNotLeader, applied_,
                 std::move(result));
  }

  void SendMessage(const Outgoing& outgoing) {
    try {
      rpc_client_->Call(ParseEndpoint(outgoing.address), kMessageMethod,
                        outgoing.message.SerializeAsString(), options_.message_timeout,
                        [](ResultCode, const std::string&) {});
    } catch (const Error& error) {
      event_log_->Emit({"agreement.send_failed", {{"message", error.what()}}});
    }
  }

  void FinishMembership(const MembershipStep& step) {
    ProposeDone done = std::exchange(membership_done_, nullptr);
    if (!done) return;
    if (step.code == ResultCode::kOk) {
      pending_[step.index] = {step.term, std::move(done)};
    } else {
      done(step.code, {}, step.text);
    }
  }

  void FinishRead(const ReadOutcome& outcome) {
    auto node = reads_.extract(outcome.id);
    if (!node.empty()) node.mapped()(outcome.code);
  }

  void FailPending(ResultCode code) {
    for (auto& [index, it] : std::exchange(pending_, {})) it.done(code, {}, "");
    if (membership_done_) std::exchange(membership_done_, nullptr)(code, {}, "");
  }

  void HandleEvent(const CoreEvent& event) {
    if (event.kind == CoreEventKind::kElectionStarted) ++counters_.elections_started;
    if (event.kind == CoreEventKind::kElected) ++counters_.elections_won;
    if (event.kind == CoreEventKind::kSnapshotInstalled) ++counters_.snapshots_installed;
    Event line{NameOf(event.kind), {{"term", std::to_string(event.term)}}};
    if (event.peer != 0) {
      const Replica* peer = FindReplica(core_->log().replicas(), event.peer);
      line.fields.emplace_back("peer", peer == nullptr ? "" : peer->name());
    }
    event_log_->Emit(line);
    if (event.kind == CoreEventKind::kSteppedDown) {
      FailPending(ResultCode::kLeadershipLost);
    } else if (event.kind == CoreEventKind::kQuorumLost) {
      FailPending(ResultCode::kNoQuorum);
    }
  }

  void EmitDiskEvent(ResultCode code) {
    event_log_->Emit({"agreement.disk_refused",
                      {{"code", std::to_string(static_cast<int>(code))},
                       {"message", std::string(InfoOf(code).meaning)}}});
  }

  void CompactWhenDue() {
    const RaftLog& log = core_->log();
    const bool many = applied_.index >= log.snapshot_index() + options_.snapshot_entries;
    const bool large = log.entry_bytes() >= options_.snapshot_log_bytes;
    if (!many && !large) return;
    if (applied_.index <= log.snapshot_index()) return;
    core_->Compact(state_machine_->TakeSnapshot());
    ++counters_.snapshots_taken;
    HandleOutput();
  }

  void UpdateView() {
    const ReplicaSet& replicas = core_->log().replicas();
    const Replica* leader = FindReplica(replicas, core_->leader());
    counters_.messages_refused = core_->refused_messages();
    counters_.syncs = writer_->syncs();
    counters_.writes_synced = writer_->writes_synced();
    std::lock_guard<std::mutex> lock(view_mutex_);
    view_.leads = core_->role() == RaftRole::kLeader;
    view_.lease_until = core_->lease_until();
    view_.last_quorum_contact = core_->last_quorum_contact();
    view_.leadership.term = core_->term();
    view_.leadership.leader = leader == nullptr ? "" : leader->name();
    view_.committed = applied_;
    if (!SameReplicas(view_.replicas, replicas)) {
      view_.replicas = replicas;
      view_.group.clear();
      for (const Replica& it : replicas.replicas()) {
        const Endpoint endpoint = TryEndpoint(it.address()).value_or(Endpoint{});
        view_.group.push_back({it.name(), endpoint, it.voter(), false});
      }
    }
    for (int n = 0; n < replicas.replicas_size(); ++n) {
      view_.group[static_cast<std::size_t>(n)].answers =
          view_.leads && core_->Responds(replicas.replicas(n).replica());
    }
    view_.counters = counters_;
    view_.disk_state = disk_state_;
  }

  const AgreementPeer self_;
  const std::vector<AgreementPeer> peers_;
  StateMachine* state_machine_;
  LogStorage* storage_;
  RpcClient* rpc_client_;
  RpcServer* rpc_server_;
  Executor* executor_;
  const Clock* clock_;
  Random* random_;
  EventLog* event_log_;
  const AgreementOptions options_;
  const SteadyTime started_;

  std::unique_ptr<RaftCore> core_;
  std::unique_ptr<LogWriter> writer_;
  std::unique_ptr<Timer> ticker_;
  std::map<std::uint64_t, Pending> pending_;
  std::map<std::uint64_t, ReadDone> reads_;
  ProposeDone membership_done_;
  std::uint64_t next_read_ = 0;
  LogPosition applied_;
  AgreementCounters counters_;
  ResultCode disk_state_ = ResultCode::kOk;
  bool stopped_ = false;
  bool stop_called_ = false;
  SteadyTime stop_began_{};
  std::unique_ptr<Timer> handover_timer_;
  std::promise<void> stopped_promise_;

  std::mutex accepting_tasks_mutex_;
  bool accepting_tasks_ = true;
  std::mutex proposals_mutex_;
  std::vector<Proposal> proposals_;
  mutable std::mutex view_mutex_;
  View view_;
};

AgreementService::AgreementService(AgreementPeer self, std::vector<AgreementPeer> peers,
                                   StateMachine* state_machine, LogStorage* storage,
                                   RpcClient* rpc_client, RpcServer* rpc_server,
                                   Executor* executor, const Clock* clock, Random* random,
                                   EventLog* event_log, AgreementOptions options)
    : runner_(std::make_shared<Runner>(std::move(self), std::move(peers), state_machine,
                                       storage, rpc_client, rpc_server, executor, clock,
                                       random, event_log, options)) {}

AgreementService::~AgreementService() { runner_->Stop(); }

void AgreementService::Start() { runner_->Start(); }

void AgreementService::Stop() { runner_->Stop(); }

void AgreementService::Propose(std::string entry, ProposeDone done) {
  runner_->Propose(std::move(entry), std::move(done));
}

void AgreementService::ReadBarrier(ReadDone done) { runner_->ReadBarrier(done); }

LeadershipView AgreementService::leadership() const { return runner_->leadership(); }

LogPosition AgreementService::committed() const { return runner_->committed(); }

void AgreementService::ProposeMembership(const MembershipChange& change,
                                         const ProposeDone& done) {
  runner_->ProposeMembership(change, done);
}

std::vector<GroupMember> AgreementService::group() const { return runner_->group(); }

ReplicaSet AgreementService::replicas() const { return runner_->replicas(); }

AgreementCounters AgreementService::counters() const { return runner_->counters(); }

ResultCode AgreementService::disk_state() const { return runner_->disk_state(); }

}  // namespace quetzal
