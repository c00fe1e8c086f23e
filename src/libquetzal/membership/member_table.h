#ifndef QUETZAL_MEMBERSHIP_MEMBER_TABLE_H_
#define QUETZAL_MEMBERSHIP_MEMBER_TABLE_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "membership.pb.h"

namespace quetzal {

/// The latest record of every instance. Records are ordered by (incarnation, sequence),
/// then by how final their state is; an earlier record never replaces a later one.
class MemberTable {
 public:
  static constexpr std::size_t kBuckets = 64;

  struct Entry {
    Member member;
    MemberState own_state = MEMBER_ALIVE;  ///< From the instance's own record.
    SteadyTime changed;                    ///< When this record was merged.
  };

  /// Merges a record or a third-party report (suspect, dead). Returns true when it
  /// changed the table; a third-party report on an unknown instance does not.
  bool Merge(const Member& update, SteadyTime now);

  const Entry* Find(const std::string& instance) const;
  void Remove(const std::string& instance);

  /// Removes every entry for which `test` is true; returns whether there was one.
  template <class Test>
  bool RemoveIf(Test test) {
    bool removed = false;
    for (auto it = entries_.begin(); it != entries_.end();) {
      if (!test(it->second)) {
        ++it;
        continue;
      }
      buckets_[BucketOf(it->first)] ^= HashOf(it->second);
      it = entries_.erase(it);
      removed = true;
    }
    return removed;
  }

  const std::map<std::string, Entry>& entries() const { return entries_; }

  /// Hashes of the entries of each bucket; equal tables have equal hashes.
  const std::array<std::uint64_t, kBuckets>& buckets() const { return buckets_; }

  /// Hash of the whole table.
  std::uint64_t Digest() const;

  static std::size_t BucketOf(const std::string& instance);

  /// Approximate bytes that one entry takes.
  static std::size_t BytesOf(const Entry& entry);

 private:
  static std::uint64_t HashOf(const Entry& entry);

  std::map<std::string, Entry> entries_;
  std::array<std::uint64_t, kBuckets> buckets_{};
};

/// True when `a` comes after `b` in the order of records of one instance.
bool IsNewer(const Member& a, const Member& b);

/// True when `member` is a third-party report: only a state, without the instance's own
/// record.
bool IsThirdPartyReport(const Member& member);

/// True for a member that still takes part (alive, suspect or leaving).
bool TakesPart(const Member& member);

}  // namespace quetzal

#endif  // QUETZAL_MEMBERSHIP_MEMBER_TABLE_H_
