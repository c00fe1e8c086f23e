#include "keys/key_operation.h"

#include <algorithm>
#include <utility>

#include "keys/key_ballot.h"

namespace quetzal {
namespace {

using Holders = google::protobuf::RepeatedPtrField<KeyHolder>;
using HolderId = std::pair<std::string, std::uint64_t>;

HolderId IdOf(const KeyHolder& holder) {
  return {holder.instance(), holder.incarnation()};
}

/// Counter of fast-round ballots; lower than that of every two-phase ballot.
constexpr std::uint64_t kFastCounter = 0;

int CountIn(const Holders& holders, const std::set<HolderId>& ids) {
  return static_cast<int>(std::count_if(
      holders.begin(), holders.end(),
      [&ids](const KeyHolder& holder) { return ids.count(IdOf(holder)) != 0; }));
}

KeyGroupName NameOf(const KeyGroup& group) {
  KeyGroupName name;
  name.set_data_centre(group.data_centre());
  name.set_number(group.number());
  name.set_generation(group.generation());
  return name;
}

bool IsMajority(int n, const Holders& holders) { return n * 2 > holders.size(); }

}  // namespace

KeyOperation::KeyOperation(const KeyGroup& group, std::string key, std::string proposer,
                           std::shared_ptr<KeyChange> change)
    : group_(group),
      key_(std::move(key)),
      proposer_(std::move(proposer)),
      change_(std::move(change)) {}

std::vector<KeyHolder> KeyOperation::AllHolders() const {
  std::vector<KeyHolder> holders(group_.members().begin(), group_.members().end());
  for (const KeyHolder& holder : group_.previous()) {
    const bool listed = std::any_of(
        holders.begin(), holders.end(),
        [&holder](const KeyHolder& other) { return IdOf(other) == IdOf(holder); });
    if (!listed) holders.push_back(holder);
  }
  return holders;
}

bool KeyOperation::HasQuorum(const std::set<HolderId>& votes) const {
  if (!IsMajority(CountIn(group_.members(), votes), group_.members())) return false;
  return group_.previous().empty() ||
         IsMajority(CountIn(group_.previous(), votes), group_.previous());
}

bool KeyOperation::QuorumPossible() const {
  std::set<HolderId> available;
  for (const KeyHolder& holder : AllHolders()) {
    if (refused_.count(IdOf(holder)) == 0) available.insert(IdOf(holder));
  }
  return HasQuorum(available);
}

KeyOperation::Step KeyOperation::Start() {
  decision_ = change_->Decide(KeyRecord());
  // While the holders of a group change, a fast round would need the votes of all holders
  // of both lists.
  if (!decision_.write || group_.previous_size() > 0) return Restart();
  phase_ = Phase::kFast;
  ballot_.set_counter(kFastCounter);
  ballot_.set_proposer(proposer_);
  return SendAccepts();
}

KeyOperation::Step KeyOperation::Restart() {
  Step step;
  if (finished_) return step;
  phase_ = Phase::kPrepare;
  ++round_;
  ballot_.set_counter(next_counter_++);
  ballot_.set_proposer(proposer_);
  votes_.clear();
  refused_.clear();
  saw_higher_ballot_ = false;
  highest_accepted_.Clear();
  votes_agree_ = true;
  current_.Clear();
  for (const KeyHolder& holder : AllHolders()) {
    auto message = std::make_unique<KeyPrepare>();
    *message->mutable_group() = NameOf(group_);
    message->set_key(key_);
    *message->mutable_ballot() = ballot_;
    step.messages.push_back({holder, std::move(message), nullptr});
  }
  return step;
}

KeyOperation::Step KeyOperation::OnReply(std::uint64_t round, const KeyHolder& holder,
                                         const KeyVoteReply& reply) {
  if (finished_ || round != round_) return {};
  // A reply of another incarnation is not a vote of the listed holder.
  const bool other =
      reply.holder() != holder.instance() || reply.incarnation() != holder.incarnation();
  if (other || reply.vote() != KEY_VOTE_YES) {
    saw_full_ |= reply.vote() == KEY_VOTE_FULL;
    saw_not_authoritative_ |= reply.vote() == KEY_VOTE_NOT_VOUCHED;
    if (reply.vote() == KEY_VOTE_LOWER_BALLOT) {
      saw_higher_ballot_ = true;
      next_counter_ = std::max(next_counter_, reply.promised().counter() + 1);
    }
    refused_.insert(IdOf(holder));
    return OnRefusal();
  }
  if (phase_ == Phase::kPrepare) RecordPrepareReply(reply);
  votes_.insert(IdOf(holder));
  if (phase_ == Phase::kFast) {
    if (votes_.size() < AllHolders().size()) return {};
  } else if (!HasQuorum(votes_)) {
    return {};
  }
  if (phase_ == Phase::kPrepare) return BeginAccept();
  result_.record = decision_.record;
  return Finish(decision_.outcome);
}

void KeyOperation::RecordPrepareReply(const KeyVoteReply& reply) {
  if (!votes_.empty() && !(reply.accepted() == highest_accepted_)) votes_agree_ = false;
  if (highest_accepted_ < reply.accepted()) {
    highest_accepted_ = reply.accepted();
    current_ = reply.record();
  }
}

KeyOperation::Step KeyOperation::OnFailure(std::uint64_t round, const KeyHolder& holder) {
  if (finished_ || round != round_) return {};
  refused_.insert(IdOf(holder));
  return OnRefusal();
}

KeyOperation::Step KeyOperation::BeginAccept() {
  // A fast-round ballot is chosen only with the votes of all holders. One holder that has
  // not accepted it proves that it was not chosen, and the promises given to this ballot
  // keep it from being chosen later.
  if (highest_accepted_.counter() == kFastCounter && !votes_agree_) current_.Clear();
  decision_ = change_->Decide(current_);
  result_.record = current_;
  if (!decision_.write) return Finish(decision_.outcome);
  if (saw_full_) {
    decision_.record.mutable_answer()->clear_body();
    decision_.record.mutable_answer()->set_dropped(decision_.record.phase() == KEY_DONE);
  }
  phase_ = Phase::kAccept;
  return SendAccepts();
}

KeyOperation::Step KeyOperation::SendAccepts() {
  ++round_;
  votes_.clear();
  refused_.clear();
  Step step;
  for (const KeyHolder& holder : AllHolders()) {
    auto message = std::make_unique<KeyAccept>();
    *message->mutable_group() = NameOf(group_);
    message->set_key(key_);
    *message->mutable_ballot() = ballot_;
    *message->mutable_record() = decision_.record;
    step.messages.push_back({holder, nullptr, std::move(message)});
  }
  return step;
}

KeyOperation::Step KeyOperation::OnRefusal() {
  if (phase_ == Phase::kFast) return Restart();
  if (QuorumPossible()) return {};
  // After an accept was sent, only another round can show whether it took effect. A
  // higher ballot or an answer that is too large justifies that round; in all other cases
  // the outcome stays unknown.
  const bool answer_too_large = phase_ == Phase::kAccept && saw_full_;
  if (saw_higher_ballot_ || answer_too_large) {
    ++round_;
    Step step;
    step.retry_later = true;
    return step;
  }
  return Finish(RefusalOutcome());
}

ClaimOutcome KeyOperation::RefusalOutcome() const {
  if (phase_ == Phase::kAccept) return ClaimOutcome::kQuorumMissing;
  if (saw_not_authoritative_) return ClaimOutcome::kUnknown;
  return saw_full_ ? ClaimOutcome::kTableFull : ClaimOutcome::kQuorumMissing;
}

KeyOperation::Step KeyOperation::Finish(ClaimOutcome outcome) {
  finished_ = true;
  result_.outcome = outcome;
  Step step;
  step.finished = true;
  return step;
}

void KeyOperation::Expire() {
  if (!finished_) Finish(ClaimOutcome::kQuorumMissing);
}

}  // namespace quetzal
