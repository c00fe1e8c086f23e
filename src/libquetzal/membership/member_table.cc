#include "membership/member_table.h"

#include <xxhash.h>

namespace quetzal {

namespace {

int Finality(MemberState state) {
  switch (state) {
    case MEMBER_SUSPECT:
      return 1;
    case MEMBER_DEAD:
      return 2;
    case MEMBER_LEFT:
      return 3;
    default:
      return 0;
  }
}

}  // namespace

bool IsNewer(const Member& a, const Member& b) {
  if (a.incarnation() != b.incarnation()) return a.incarnation() > b.incarnation();
  if (a.sequence() != b.sequence()) return a.sequence() > b.sequence();
  return Finality(a.state()) > Finality(b.state());
}

bool IsThirdPartyReport(const Member& member) { return member.gossip_address().empty(); }

bool TakesPart(const Member& member) {
  return member.state() != MEMBER_DEAD && member.state() != MEMBER_LEFT;
}

bool MemberTable::Merge(const Member& update, SteadyTime now) {
  auto it = entries_.find(update.instance());
  if (it == entries_.end()) {
    if (IsThirdPartyReport(update)) return false;
    Entry entry{update, update.state(), now};
    buckets_[BucketOf(update.instance())] ^= HashOf(entry);
    entries_.emplace(update.instance(), std::move(entry));
    return true;
  }
  Entry& entry = it->second;
  if (!IsNewer(update, entry.member)) return false;
  const bool same_record = update.incarnation() == entry.member.incarnation() &&
                           update.sequence() == entry.member.sequence();
  // A suspicion of a record that has not been received yet does not apply to the stored
  // one.
  if (update.state() == MEMBER_SUSPECT && IsThirdPartyReport(update) && !same_record)
    return false;
  buckets_[BucketOf(update.instance())] ^= HashOf(entry);
  if (IsThirdPartyReport(update)) {
    entry.member.set_incarnation(update.incarnation());
    entry.member.set_sequence(update.sequence());
    entry.member.set_state(update.state());
  } else {
    ServerObservations former;
    former.Swap(entry.member.mutable_server()->mutable_observations());
    entry.member = update;
    // An instance that has just started publishes none until it learns them from others.
    if (!update.server().has_observations() && former.ByteSizeLong() > 0) {
      entry.member.mutable_server()->mutable_observations()->Swap(&former);
    }
  }
  if (update.state() != MEMBER_SUSPECT) entry.own_state = update.state();
  if (update.state() == MEMBER_SUSPECT && !same_record) entry.own_state = MEMBER_ALIVE;
  entry.changed = now;
  buckets_[BucketOf(update.instance())] ^= HashOf(entry);
  return true;
}

const MemberTable::Entry* MemberTable::Find(const std::string& instance) const {
  auto it = entries_.find(instance);
  return it == entries_.end() ? nullptr : &it->second;
}

void MemberTable::Remove(const std::string& instance) {
  RemoveIf([&](const Entry& entry) { return entry.member.instance() == instance; });
}

std::uint64_t MemberTable::Digest() const {
  return XXH64(buckets_.data(), sizeof(std::uint64_t) * kBuckets, 0);
}

std::size_t MemberTable::BucketOf(const std::string& instance) {
  return XXH64(instance.data(), instance.size(), 1) % kBuckets;
}

std::uint64_t MemberTable::HashOf(const Entry& entry) {
  // Each node removes dead and left members at a time of its own, so they do not count.
  const MemberState state =
      entry.member.state() == MEMBER_SUSPECT ? entry.own_state : entry.member.state();
  if (state == MEMBER_DEAD || state == MEMBER_LEFT) return 0;
  const std::uint64_t numbers[] = {entry.member.incarnation(), entry.member.sequence(),
                                   static_cast<std::uint64_t>(state)};
  const std::string& name = entry.member.instance();
  return XXH64(numbers, sizeof(numbers), XXH64(name.data(), name.size(), 2));
}

std::size_t MemberTable::BytesOf(const Entry& entry) {
  constexpr std::size_t kMapNodeBytes = 48;
  return sizeof(Entry) + kMapNodeBytes + sizeof(std::string) +
         entry.member.SpaceUsedLong() - sizeof(Member);
}

}  // namespace quetzal
