#include "keys/quorum_key_records.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "keys/key_identity.h"

namespace quetzal {
namespace {

constexpr std::chrono::milliseconds kMaxRetryDelay{4};
constexpr std::chrono::milliseconds kHolderTimeout{400};
constexpr std::chrono::milliseconds kFastRoundTimeout{3};
constexpr std::chrono::milliseconds kGroupChangeRetryDelay{20};

}  // namespace

/// One operation in flight. Replies arrive on any thread; one mutex guards the operation
/// and is not locked while messages are sent or the caller is notified.
class QuorumKeyRecords::PendingOperation
    : public std::enable_shared_from_this<PendingOperation> {
 public:
  PendingOperation(QuorumKeyRecords* records, std::unique_ptr<KeyOperation> operation,
                   SteadyTime deadline, ClaimDone done)
      : records_(records),
        operation_(std::move(operation)),
        deadline_(deadline),
        done_(std::move(done)) {}

  void Start() {
    const auto remaining = std::max(Duration(0), deadline_ - records_->clock_->Now());
    {
      std::lock_guard<std::mutex> lock(mutex_);
      deadline_timer_ = records_->executor_->After(
          remaining, [self = shared_from_this()] { self->Expire(); });
    }
    Advance([](KeyOperation* operation) { return operation->Start(); });
    LimitFastRound();
  }

 private:
  using Messages = std::vector<KeyOperation::OutgoingMessage>;

  void Restart() {
    Advance([](KeyOperation* operation) { return operation->Restart(); });
  }

  /// Falls back to a two-phase ballot when the fast round is slow, so that one
  /// unresponsive holder does not delay the operation for its whole timeout.
  void LimitFastRound() {
    std::lock_guard<std::mutex> lock(mutex_);
    if (finished_ || !operation_->in_fast_round()) return;
    round_timer_ =
        records_->executor_->After(kFastRoundTimeout, [self = shared_from_this()] {
          self->Advance([](KeyOperation* operation) {
            return operation->in_fast_round() ? operation->Restart()
                                              : KeyOperation::Step();
          });
        });
  }

  void Expire() {
    Advance([](KeyOperation* operation) {
      operation->Expire();
      KeyOperation::Step step;
      step.finished = true;
      return step;
    });
  }

  /// Runs one step under the mutex, then carries out the actions that it returned.
  template <class Function>
  void Advance(Function function) {
    KeyOperation::Step step;
    std::uint64_t round = 0;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      if (finished_) return;
      step = function(operation_.get());
      round = operation_->round();
      finished_ = step.finished;
    }
    if (step.finished) return Finish();
    if (step.retry_later) return RestartLater();
    SendAll(step.messages, round);
  }

  void RestartLater() {
    const Duration delay = records_->JitteredDelay();
    std::lock_guard<std::mutex> lock(mutex_);
    if (finished_) return;
    round_timer_ = records_->executor_->After(
        delay, [self = shared_from_this()] { self->Restart(); });
  }

  bool IsLocal(const KeyHolder& holder) const {
    return holder.instance() == records_->instance_ &&
           holder.incarnation() == records_->incarnation_;
  }

  void SendAll(const Messages& messages, std::uint64_t round) {
    for (const KeyOperation::OutgoingMessage& outgoing : messages) {
      if (!IsLocal(outgoing.to)) SendTo(outgoing, round);
    }
    // The local vote comes last because it may finish the operation inside this call.
    for (const KeyOperation::OutgoingMessage& outgoing : messages) {
      if (!IsLocal(outgoing.to)) continue;
      OnReply(round, outgoing.to,
              outgoing.prepare ? records_->local_->Prepare(*outgoing.prepare)
                               : records_->local_->Accept(*outgoing.accept));
    }
  }

  void SendTo(const KeyOperation::OutgoingMessage& outgoing, std::uint64_t round) {
    const bool prepare = outgoing.prepare != nullptr;
    std::string body = prepare ? outgoing.prepare->SerializeAsString()
                               : outgoing.accept->SerializeAsString();
    records_->client_->Call(
        ParseEndpoint(outgoing.to.stream_address()),
        prepare ? kKeyPrepareMethod : kKeyAcceptMethod, std::move(body), kHolderTimeout,
        [self = shared_from_this(), round, holder = outgoing.to](
            ResultCode code, const std::string& body) {
          KeyVoteReply reply;
          if (code == ResultCode::kOk && reply.ParseFromString(body)) {
            return self->OnReply(round, holder, reply);
          }
          self->Advance([round, &holder](KeyOperation* operation) {
            return operation->OnFailure(round, holder);
          });
        });
  }

  void OnReply(std::uint64_t round, const KeyHolder& holder, const KeyVoteReply& reply) {
    Advance([&](KeyOperation* operation) {
      return operation->OnReply(round, holder, reply);
    });
  }

  void Finish() {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      deadline_timer_.reset();
      round_timer_.reset();
    }
    done_(operation_->result());
  }

  QuorumKeyRecords* records_;
  std::mutex mutex_;
  std::unique_ptr<KeyOperation> operation_;
  bool finished_ = false;
  SteadyTime deadline_;
  ClaimDone done_;
  std::unique_ptr<Timer> deadline_timer_;
  std::unique_ptr<Timer> round_timer_;
};

QuorumKeyRecords::QuorumKeyRecords(std::string instance, std::uint64_t incarnation,
                                   const RoutingSource* routing,
                                   std::shared_ptr<KeyHolderService> local,
                                   RpcClient* client, Executor* executor,
                                   const Clock* clock, std::uint64_t seed)
    : instance_(std::move(instance)),
      incarnation_(incarnation),
      routing_(routing),
      local_(std::move(local)),
      client_(client),
      executor_(executor),
      clock_(clock),
      random_(seed) {}

void QuorumKeyRecords::Claim(const KeyClaim& claim, Duration timeout, ClaimDone done) {
  Begin(claim.key, MakeClaimChange(claim), timeout, std::move(done));
}

void QuorumKeyRecords::Resolve(const std::string& key, const std::string& attempt_id,
                               AttemptOutcome outcome, const KeyAnswer& answer,
                               Duration timeout, ResolveDone done) {
  Begin(key, MakeResolveChange(attempt_id, outcome, answer), timeout,
        [done = std::move(done)](const ClaimResult& result) {
          switch (result.outcome) {
            case ClaimOutcome::kGranted:
              return done(ResultCode::kOk);
            case ClaimOutcome::kReused:
              return done(ResultCode::kKeyReused);
            case ClaimOutcome::kUnknown:
              return done(ResultCode::kOutcomeUnknown);
            default:
              return done(ResultCode::kKeyQuorumMissing);
          }
        });
}

void QuorumKeyRecords::Read(const std::string& key, Duration timeout, ClaimDone done) {
  Begin(key, MakeReadChange(), timeout, std::move(done));
}

void QuorumKeyRecords::Begin(const std::string& key,
                             const std::shared_ptr<KeyChange>& change, Duration timeout,
                             ClaimDone done) {
  StartOperation(key, change, clock_->Now() + timeout, std::move(done));
}

void QuorumKeyRecords::StartOperation(const std::string& key,
                                      const std::shared_ptr<KeyChange>& change,
                                      SteadyTime deadline, ClaimDone done) {
  const auto snapshot = routing_->snapshot();
  const KeyGroup* group =
      snapshot == nullptr ? nullptr : FindKeyGroup(key, *snapshot->configuration);
  if (group == nullptr) {
    executor_->Post([done = std::move(done)] { done(ClaimResult{}); });
    return;
  }
  // Ballots of two operations must differ even when one instance runs both.
  const std::string proposer = instance_ + '/' + std::to_string(incarnation_) + '/' +
                               std::to_string(next_operation_.fetch_add(1));
  auto operation = std::make_unique<KeyOperation>(*group, key, proposer, change);
  auto finish = [this, key, change, deadline,
                 done = std::move(done)](const ClaimResult& result) {
    // While a group changes, its holders refuse ballots of the previous generation. A
    // retry in the new generation finds any record that the first try has left.
    const bool retry = result.outcome == ClaimOutcome::kQuorumMissing &&
                       clock_->Now() + kGroupChangeRetryDelay < deadline;
    if (!retry) return done(result);
    RunAfter(kGroupChangeRetryDelay, [this, key, change, deadline, done] {
      StartOperation(key, change, deadline, done);
    });
  };
  auto pending = std::make_shared<PendingOperation>(this, std::move(operation), deadline,
                                                    std::move(finish));
  executor_->Post([pending] { pending->Start(); });
}

void QuorumKeyRecords::RunAfter(Duration delay, std::function<void()> task) {
  auto timer = std::make_shared<std::unique_ptr<Timer>>();
  executor_->Post([this, timer, delay, task = std::move(task)] {
    *timer = executor_->After(delay, [timer, task] {
      task();
      timer->reset();
    });
  });
}

Duration QuorumKeyRecords::JitteredDelay() {
  std::lock_guard<std::mutex> lock(random_mutex_);
  return Duration(
      static_cast<Duration::rep>(random_.Unit() * Duration(kMaxRetryDelay).count()));
}

}  // namespace quetzal
