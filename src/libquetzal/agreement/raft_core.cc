#include "agreement/raft_core.h"

#include <algorithm>
#include <utility>

#include "agreement/replica_set.h"

namespace quetzal {

RaftCore::RaftCore(AgreementPeer self, std::vector<AgreementPeer> peers, StoredLog stored,
                   const Clock* clock, Random* random, AgreementOptions options)
    : self_(std::move(self)),
      peers_(std::move(peers)),
      clock_(clock),
      random_(random),
      options_(options),
      replica_(stored.replica),
      hard_state_(std::move(stored.hard_state)),
      log_(std::move(stored.snapshot), std::move(stored.entries)) {
  commit_ = log_.snapshot_index();
  applied_ = commit_;
  synced_index_ = log_.last_index();
  // The replica may have acknowledged a leader just before its restart. That leader's
  // lease relies on it, so the replica grants no vote for an election timeout.
  written_term_ = term();
  if (term() > 0) last_leader_contact_ = clock_->Now();
  ResetElectionDeadline();
  output_.restore = log_.snapshot();
}

bool RaftCore::fresh() const { return log_.last_index() == 0; }

void RaftCore::Tick() {
  if (storage_state_ != ResultCode::kOk) return;
  if (role_ == RaftRole::kLeader) {
    LeaderTick();
  } else if (fresh()) {
    TryBootstrap();
  } else if (MayCampaign()) {
    TickRestart();
    const bool sole_voter = VoterCount(log_.replicas()) == 1 &&
                            !IsJoint(log_.replicas()) &&
                            IsVoter(log_.replicas(), replica_);
    if (sole_voter && role_ == RaftRole::kFollower && !HeardFromLeaderRecently()) {
      Campaign(false, ElectionKind::kNormal);
    } else if (clock_->Now() >= election_deadline_) {
      Campaign(true, ElectionKind::kNormal);
    }
  }
  ResolveReads();
}

void RaftCore::Receive(const AgreementMessage& message) {
  if (message.to() != replica_ && message.body_case() != AgreementMessage::kHello) {
    // The sender still uses the identity of a data folder that this instance has lost.
    OnHello(message);
    return;
  }
  if (role_ == RaftRole::kLeader && storage_state_ == ResultCode::kOk) {
    StepDownWithoutQuorum();
  }
  Dispatch(message);
  ResolveReads();
}

void RaftCore::Dispatch(const AgreementMessage& message) {
  switch (message.body_case()) {
    case AgreementMessage::kHello:
      return OnHello(message);
    case AgreementMessage::kHelloReply:
      return OnHelloReply(message);
    case AgreementMessage::kRead:
      return OnRead(message);
    case AgreementMessage::kReadReply:
      return OnReadReply(message);
    default:
      break;
  }
  // Without durable storage a replica must neither vote nor acknowledge entries.
  if (storage_state_ != ResultCode::kOk) return;
  if (!CheckTerm(message)) return;
  switch (message.body_case()) {
    case AgreementMessage::kAppend:
      return OnAppend(message);
    case AgreementMessage::kAppendReply:
      return OnAppendReply(message);
    case AgreementMessage::kVote:
      return OnVote(message);
    case AgreementMessage::kVoteReply:
      return OnVoteReply(message);
    case AgreementMessage::kSnapshot:
      return OnSnapshot(message);
    case AgreementMessage::kSnapshotReply:
      return OnSnapshotReply(message);
    case AgreementMessage::kHandover:
      if (role_ != RaftRole::kLeader && MayCampaign()) {
        Campaign(false, ElectionKind::kHandover);
      }
      return;
    default:
      ++refused_;
  }
}

/// Adopts a later term and answers an outdated one. Returns false when the message needs
/// no further handling.
bool RaftCore::CheckTerm(const AgreementMessage& message) {
  const bool vote = message.has_vote();
  const bool no_lease = vote && (message.vote().handover() ||
                                 (message.vote().group_restarted() && !had_leader_));
  if (vote && !no_lease && HeardFromLeaderRecently()) {
    if (message.vote().pre_vote() || message.term() <= term()) {
      AgreementMessage refusal = MakeMessage(message.from());
      refusal.mutable_vote_reply()->set_pre_vote(message.vote().pre_vote());
      Send(std::move(refusal), message.from_address());
    }
    return false;
  }
  if (vote && message.vote().pre_vote()) return true;
  if (message.has_vote_reply() && message.vote_reply().pre_vote() &&
      message.vote_reply().granted()) {
    return true;
  }
  if (message.term() > term()) BecomeFollower(message.term(), 0, ResultCode::kOk);
  if (message.term() == term()) return true;
  if (message.has_append() || message.has_snapshot()) {
    AgreementMessage refusal = MakeMessage(message.from());
    refusal.mutable_append_reply()->set_last_index(log_.last_index());
    SendAfterSync(std::move(refusal), message.from_address());
    return false;
  }
  return vote;
}

/// An instance that an uncommitted entry removes may still campaign: it may be the only
/// one with that entry, and the others can commit the entry only under its leadership.
bool RaftCore::MayCampaign() const {
  if (HasVote(log_.replicas(), replica_)) return true;
  const std::uint64_t index = log_.replicas_index();
  return index > commit_ && HasVote(log_.ReplicasAt(index - 1), replica_);
}

bool RaftCore::HeardFromLeaderRecently() const {
  if (role_ == RaftRole::kLeader) return true;
  return clock_->Now() < last_leader_contact_ + options_.election_timeout_min;
}

void RaftCore::ResetElectionDeadline() {
  const Duration spread = options_.election_timeout_max - options_.election_timeout_min;
  const auto extra =
      static_cast<Duration::rep>(random_->Unit() * static_cast<double>(spread.count()));
  election_deadline_ = clock_->Now() + options_.election_timeout_min + Duration(extra);
}

void RaftCore::BecomeFollower(std::uint64_t term, std::uint64_t leader,
                              ResultCode reason) {
  if (role_ == RaftRole::kLeader) {
    Report(reason == ResultCode::kNoQuorum ? CoreEventKind::kQuorumLost
                                           : CoreEventKind::kSteppedDown);
    if (pending_add_) EndMembershipStep(ResultCode::kNotLeader, "leadership was lost");
    ResetElectionDeadline();
  }
  role_ = RaftRole::kFollower;
  leader_ = leader;
  progress_.clear();
  votes_.clear();
  assembly_.reset();
  if (term > hard_state_.term()) {
    hard_state_.set_term(term);
    hard_state_.set_voted_for(0);
    NewWrite();
  }
}

void RaftCore::Campaign(bool pre_vote, ElectionKind kind) {
  // Questions during the wait after a restart do not postpone the election that follows.
  if (!pre_vote || kind != ElectionKind::kGroupRestarted) ResetElectionDeadline();
  role_ = pre_vote ? RaftRole::kPreCandidate : RaftRole::kCandidate;
  leader_ = 0;
  election_kind_ = kind;
  votes_.clear();
  if (pre_vote) {
    votes_.insert(replica_);
  } else {
    FixLostReplicas();
    Report(CoreEventKind::kElectionStarted);
    hard_state_.set_term(term() + 1);
    hard_state_.set_voted_for(replica_);
    own_vote_write_ = NewWrite().number;
  }
  for (const Replica& it : Participants(log_.replicas())) {
    const bool asked = it.voter() || kind == ElectionKind::kGroupRestarted;
    if (!asked || it.replica() == replica_) continue;
    AgreementMessage message = MakeMessage(it.replica());
    message.set_term(pre_vote ? term() + 1 : term());
    VoteRequest* request = message.mutable_vote();
    request->set_pre_vote(pre_vote);
    request->set_handover(kind == ElectionKind::kHandover);
    request->set_group_restarted(kind == ElectionKind::kGroupRestarted);
    request->set_last_index(log_.last_index());
    request->set_last_term(log_.last_term());
    if (pre_vote) {
      Send(std::move(message), it.address());
    } else {
      SendAfterSync(std::move(message), it.address());
    }
  }
  CountVotes();
}

bool RaftCore::IsUpToDate(const VoteRequest& request) const {
  if (request.last_term() != log_.last_term()) {
    return request.last_term() > log_.last_term();
  }
  return request.last_index() >= log_.last_index();
}

void RaftCore::OnVote(const AgreementMessage& message) {
  const VoteRequest& request = message.vote();
  AgreementMessage reply = MakeMessage(message.from());
  VoteReply* vote = reply.mutable_vote_reply();
  vote->set_pre_vote(request.pre_vote());
  if (request.pre_vote()) {
    vote->set_granted(message.term() > term() && IsUpToDate(request));
    if (vote->granted()) reply.set_term(message.term());
    Send(std::move(reply), message.from_address());
    return;
  }
  const bool vote_available =
      hard_state_.voted_for() == 0 || hard_state_.voted_for() == message.from();
  const bool granted = message.term() == term() && role_ == RaftRole::kFollower &&
                       vote_available && IsUpToDate(request);
  if (granted && hard_state_.voted_for() == 0) {
    hard_state_.set_voted_for(message.from());
    NewWrite();
    ResetElectionDeadline();
  }
  vote->set_granted(granted);
  SendAfterSync(std::move(reply), message.from_address());
}

void RaftCore::OnVoteReply(const AgreementMessage& message) {
  const VoteReply& reply = message.vote_reply();
  if (!reply.granted()) return;
  const bool expected =
      reply.pre_vote() ? role_ == RaftRole::kPreCandidate && message.term() == term() + 1
                       : role_ == RaftRole::kCandidate;
  if (!expected) return;
  votes_.insert(message.from());
  CountVotes();
}

void RaftCore::CountVotes() {
  if (fresh()) {
    if (role_ == RaftRole::kCandidate && votes_.size() > peers_.size()) BootstrapGroup();
    return;
  }
  if (election_kind_ == ElectionKind::kGroupRestarted) return OnRestartVotes();
  const LostReplicas& lost = role_ == RaftRole::kPreCandidate ? lost_ : term_lost_;
  const bool won = QuorumSatisfies(
      log_.replicas(), lost, [this](std::uint64_t id) { return votes_.count(id) > 0; });
  if (!won) return;
  if (role_ == RaftRole::kPreCandidate) {
    Campaign(false, ElectionKind::kNormal);
  } else if (role_ == RaftRole::kCandidate) {
    BecomeLeader(LOG_ENTRY_EMPTY, "");
  }
}

void RaftCore::BecomeLeader(LogEntryKind first_kind, std::string first_payload) {
  role_ = RaftRole::kLeader;
  had_leader_ = true;
  leader_ = replica_;
  leader_address_ = self_.endpoint.ToString();
  leader_since_ = clock_->Now();
  progress_.clear();
  term_start_ = log_.last_index() + 1;
  Report(CoreEventKind::kElected);
  AppendAsLeader(first_kind, std::move(first_payload));
  RebuildProgress();
}

void RaftCore::OnSynced(std::uint64_t number) {
  storage_state_ = ResultCode::kOk;
  synced_number_ = number;
  auto last = unsynced_.upper_bound(number);
  if (last != unsynced_.begin()) synced_index_ = std::prev(last)->second;
  unsynced_.erase(unsynced_.begin(), last);

  std::vector<DeferredMessage> waiting;
  for (DeferredMessage& it : deferred_) {
    if (it.number > number) {
      waiting.push_back(std::move(it));
    } else if (it.term == term()) {
      // Messages of an earlier term are dropped, since the log may have changed.
      output_.messages.push_back(std::move(it.outgoing));
    }
  }
  deferred_ = std::move(waiting);

  if (role_ == RaftRole::kCandidate && number >= own_vote_write_) {
    votes_.insert(replica_);
    CountVotes();
  }
  if (role_ == RaftRole::kLeader) {
    StepDownWithoutQuorum();
    CommitByQuorum();
  }
  ResolveReads();
}

void RaftCore::OnStorageFailed(ResultCode code) {
  if (role_ == RaftRole::kLeader) Handover();
  BecomeFollower(term(), 0, ResultCode::kOk);
  storage_state_ = code;
}

/// Asks every other instance whether its data folder is empty and, once all are, for its
/// vote. Since all instances must vote in one term, no entry of an earlier attempt can
/// reappear.
void RaftCore::TryBootstrap() {
  const bool has_lowest_name =
      std::all_of(peers_.begin(), peers_.end(),
                  [this](const AgreementPeer& peer) { return self_.name < peer.name; });
  if (!options_.bootstrap || !has_lowest_name) return;
  if (role_ == RaftRole::kCandidate) {
    if (clock_->Now() < election_deadline_) return;
    role_ = RaftRole::kFollower;
    bootstrap_replicas_.clear();
  }
  if (bootstrap_replicas_.size() == peers_.size()) return CampaignToBootstrap();
  if (clock_->Now() < bootstrap_hello_sent_at_ + options_.heartbeat_period) return;
  bootstrap_hello_sent_at_ = clock_->Now();
  for (const AgreementPeer& peer : peers_) {
    AgreementMessage message = MakeMessage(0);
    message.mutable_hello();
    Send(std::move(message), peer.endpoint.ToString());
  }
}

void RaftCore::CampaignToBootstrap() {
  ResetElectionDeadline();
  role_ = RaftRole::kCandidate;
  votes_.clear();
  FixLostReplicas();
  Report(CoreEventKind::kElectionStarted);
  hard_state_.set_term(std::max(term(), bootstrap_term_) + 1);
  hard_state_.set_voted_for(replica_);
  own_vote_write_ = NewWrite().number;
  for (const AgreementPeer& peer : peers_) {
    AgreementMessage message = MakeMessage(bootstrap_replicas_[peer.name]);
    message.mutable_vote();
    SendAfterSync(std::move(message), peer.endpoint.ToString());
  }
}

void RaftCore::BootstrapGroup() {
  ReplicaSet set;
  const auto add = [&set](const AgreementPeer& peer, std::uint64_t id) {
    Replica* replica = set.add_replicas();
    replica->set_name(peer.name);
    replica->set_address(peer.endpoint.ToString());
    replica->set_replica(id);
    replica->set_voter(true);
  };
  add(self_, replica_);
  for (const AgreementPeer& peer : peers_) add(peer, bootstrap_replicas_[peer.name]);
  Report(CoreEventKind::kGroupBootstrapped);
  BecomeLeader(LOG_ENTRY_MEMBERSHIP, set.SerializeAsString());
}

void RaftCore::OnHello(const AgreementMessage& message) {
  if (message.from() == replica_ || message.has_hello_reply()) return;
  AgreementMessage reply = MakeMessage(message.from());
  reply.mutable_hello_reply()->set_fresh(fresh());
  reply.mutable_hello_reply()->set_no_voter(!HasVote(log_.replicas(), replica_));
  reply.mutable_hello_reply()->set_lost_replica(message.to());
  Send(std::move(reply), message.from_address());
}

void RaftCore::OnHelloReply(const AgreementMessage& message) {
  RecordLostFolder(message);
  if (role_ == RaftRole::kLeader) {
    FinishAdd(message);
    ReplaceLostFolder(message);
    return;
  }
  if (!fresh() || !options_.bootstrap) return;
  const bool known = std::any_of(
      peers_.begin(), peers_.end(),
      [&message](const AgreementPeer& peer) { return peer.name == message.from_name(); });
  if (known && message.hello_reply().fresh()) {
    bootstrap_replicas_[message.from_name()] = message.from();
    bootstrap_term_ = std::max(bootstrap_term_, message.term());
  } else {
    bootstrap_replicas_.erase(message.from_name());
  }
}

CoreOutput RaftCore::TakeOutput() {
  CompleteChange();
  if (has_unsent_updates_ && role_ == RaftRole::kLeader) SendAppends();
  has_unsent_updates_ = false;
  CoreOutput output = std::move(output_);
  output_ = CoreOutput();
  return output;
}

AgreementMessage RaftCore::MakeMessage(std::uint64_t to) const {
  AgreementMessage message;
  message.set_from(replica_);
  message.set_to(to);
  message.set_from_name(self_.name);
  message.set_from_address(self_.endpoint.ToString());
  message.set_term(term());
  return message;
}

void RaftCore::Send(AgreementMessage message, const std::string& address) {
  output_.messages.push_back({address, std::move(message)});
}

void RaftCore::SendAfterSync(AgreementMessage message, const std::string& address) {
  if (synced_number_ == write_number_) return Send(std::move(message), address);
  deferred_.push_back({write_number_, term(), {address, std::move(message)}});
}

LogWrite& RaftCore::NewWrite() {
  LogWrite& write = output_.writes.emplace_back();
  write.number = ++write_number_;
  write.hard_state = hard_state_;
  if (written_term_ != term()) term_write_ = write_number_;
  written_term_ = term();
  unsynced_[write_number_] = log_.last_index();
  return write;
}

void RaftCore::Report(CoreEventKind kind, std::uint64_t peer) {
  output_.events.push_back({kind, term(), peer});
}

}  // namespace quetzal
