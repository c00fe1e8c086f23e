#ifndef QUETZAL_KEYS_KEY_ACCEPTOR_H_
#define QUETZAL_KEYS_KEY_ACCEPTOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "configuration.pb.h"
#include "configuration/key_residue.h"
#include "key_records.pb.h"

namespace quetzal {

/// Limits for the key records that one instance holds.
struct KeyAcceptorOptions {
  std::size_t max_records = 40'000;
  std::size_t max_bytes = 14U << 20;
  Duration retention = std::chrono::minutes(10);
  Duration clock_skew = std::chrono::seconds(5);  ///< Largest difference of wall clocks.
};

/// Keeps the records of the key groups that one instance belongs to and votes on ballots
/// for them (an acceptor of Paxos). Does no I/O; not thread-safe.
///
/// An instance votes in a group only in the incarnation that the configuration lists, and
/// only if it was a member when the group was formed or has copied the records from a
/// majority of the earlier holders.
class KeyAcceptor {
 public:
  KeyAcceptor(std::string instance, std::uint64_t incarnation,
              const KeyAcceptorOptions& options, const Clock* clock);

  /// Adopts the groups of a configuration and ignores older generations. A group that was
  /// split off another one takes over its share of that group's records and votes.
  void SetGroups(const Configuration& configuration);

  KeyVoteReply Prepare(const KeyPrepare& message);
  KeyVoteReply Accept(const KeyAccept& message);

  /// Returns the records of a group in key order. Answers only when the request names the
  /// generation that this instance has adopted: after a copy, the instance must not vote
  /// in an earlier generation.
  KeyCopyReply Copy(const KeyCopyRequest& message) const;

  /// True while at least one group lists this instance.
  bool holds_any_group() const;

  /// Returns the adopted generation of a group and whether its records are complete.
  KeyStatusReply Status(const KeyGroupName& name) const;

  /// A group whose records this instance still has to copy, and the holders to ask.
  struct MissingCopy {
    KeyGroupName group;
    std::vector<KeyHolder> sources;  ///< Holders whose records are not copied yet.
  };
  std::vector<MissingCopy> MissingCopies() const;

  /// Merges one part of the copy of the records of `source`.
  void MergeCopy(const KeyGroupName& name, const KeyHolder& source,
                 const KeyCopyReply& part);

  /// Drops records that have not changed for the retention time.
  void Expire();

  std::size_t record_count() const { return record_count_; }
  std::size_t record_bytes() const { return record_bytes_; }

 private:
  /// Promise, accepted ballot and record of one key.
  struct Slot {
    KeyBallot promised;
    KeyBallot accepted;
    KeyRecord record;
    SteadyTime changed_at;
    std::size_t bytes = 0;
  };

  struct Group {
    KeyGroup definition;
    KeyResidue residue;
    bool caught_up = false;
    std::set<std::pair<std::string, std::uint64_t>> copied;
    std::map<std::string, Slot> slots;
  };

  using GroupId = std::pair<std::string, std::uint32_t>;

  void SplitOff(const KeyGroup& definition, const KeyResidue& residue);
  void AdoptGroup(const KeyGroup& definition, const KeyResidue& residue);
  void ClearSlots(Group* group);
  bool IsHolder(const Group& group) const;
  std::uint64_t JoinedGeneration(const Group& group) const;
  bool IsSelf(const KeyHolder& holder) const;
  std::vector<KeyHolder> CopySources(const Group& group) const;
  bool HasCopiedMajority(const Group& group) const;
  KeyVote CheckVote(const KeyGroupName& name, const std::string& key, Group** group);
  KeyVote AddSlot(Group* group, const std::string& key);
  bool IsAuthoritativeFor(const Group& group, const std::string& key) const;
  KeyVoteReply Reply(KeyVote vote, const Slot* slot) const;
  void Store(Slot* slot, const std::string& key, const KeyRecord& record);
  void UpdateBytes(Slot* slot, const std::string& key);

  std::string instance_;
  std::uint64_t incarnation_;
  KeyAcceptorOptions options_;
  const Clock* clock_;
  std::map<GroupId, Group> groups_;
  std::size_t record_count_ = 0;
  std::size_t record_bytes_ = 0;
};

}  // namespace quetzal

#endif  // QUETZAL_KEYS_KEY_ACCEPTOR_H_
