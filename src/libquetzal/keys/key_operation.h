#ifndef QUETZAL_KEYS_KEY_OPERATION_H_
#define QUETZAL_KEYS_KEY_OPERATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "configuration.pb.h"
#include "key_records.pb.h"
#include "keys/key_change.h"
#include "keys/key_records.h"

namespace quetzal {

/// One change of one key's record, made by a two-phase ballot (Paxos) among the holders
/// of its group. Does no I/O: it returns the messages to send and is given the replies.
/// Not thread-safe.
class KeyOperation {
 public:
  /// A message for one holder; either `prepare` or `accept` is set.
  struct OutgoingMessage {
    KeyHolder to;
    std::unique_ptr<KeyPrepare> prepare;
    std::unique_ptr<KeyAccept> accept;
  };

  /// Actions for the caller.
  struct Step {
    std::vector<OutgoingMessage> messages;
    bool finished = false;
    bool retry_later = false;  ///< Call Restart() after a jittered delay.
  };

  /// `proposer` is unique among all operations of all instances and incarnations.
  KeyOperation(const KeyGroup& group, std::string key, std::string proposer,
               std::shared_ptr<KeyChange> change);

  /// Starts the operation. A change that writes an absent record is first tried in a fast
  /// round of one round trip: it needs no promises, but the votes of all holders.
  Step Start();

  /// Starts again with a two-phase ballot, which needs the votes of a majority.
  Step Restart();

  /// True while the fast round waits for the votes of all holders.
  bool in_fast_round() const { return phase_ == Phase::kFast && !finished_; }

  /// Handles the reply of `holder` to a message of `round`; ignores other rounds.
  Step OnReply(std::uint64_t round, const KeyHolder& holder, const KeyVoteReply& reply);

  /// Records that `holder` will not reply in `round`.
  Step OnFailure(std::uint64_t round, const KeyHolder& holder);

  /// Ends the operation at its deadline.
  void Expire();

  /// Number of the current round. Each phase of each ballot is a round of its own.
  std::uint64_t round() const { return round_; }
  const ClaimResult& result() const { return result_; }
  bool finished() const { return finished_; }

 private:
  enum class Phase { kFast, kPrepare, kAccept };
  using HolderId = std::pair<std::string, std::uint64_t>;

  std::vector<KeyHolder> AllHolders() const;
  bool HasQuorum(const std::set<HolderId>& votes) const;
  bool QuorumPossible() const;
  Step SendAccepts();
  Step BeginAccept();
  void RecordPrepareReply(const KeyVoteReply& reply);
  Step OnRefusal();
  Step Finish(ClaimOutcome outcome);
  ClaimOutcome RefusalOutcome() const;

  KeyGroup group_;
  std::string key_;
  std::string proposer_;
  std::shared_ptr<KeyChange> change_;
  Phase phase_ = Phase::kPrepare;
  std::uint64_t round_ = 0;
  std::uint64_t next_counter_ = 1;
  KeyBallot ballot_;
  std::set<HolderId> votes_;
  std::set<HolderId> refused_;
  bool saw_higher_ballot_ = false;
  bool saw_full_ = false;
  bool saw_not_authoritative_ = false;
  KeyBallot highest_accepted_;
  bool votes_agree_ = true;  ///< All promises name the same accepted ballot.
  KeyRecord current_;
  KeyChange::Decision decision_;
  ClaimResult result_;
  bool finished_ = false;
};

}  // namespace quetzal

#endif  // QUETZAL_KEYS_KEY_OPERATION_H_
