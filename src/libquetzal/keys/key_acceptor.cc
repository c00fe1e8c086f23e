#include "keys/key_acceptor.h"

#include <algorithm>

#include "keys/key_ballot.h"
#include "keys/key_identity.h"

namespace quetzal {
namespace {

/// Memory of a slot beyond the bytes of its key and record.
constexpr std::size_t kSlotOverheadBytes = 640;
constexpr std::size_t kMaxCopyBytes = 256U << 10;

bool ContainsHolder(const google::protobuf::RepeatedPtrField<KeyHolder>& holders,
                    const std::string& instance, std::uint64_t incarnation) {
  return std::any_of(holders.begin(), holders.end(), [&](const KeyHolder& holder) {
    return holder.instance() == instance && holder.incarnation() == incarnation;
  });
}

}  // namespace

KeyAcceptor::KeyAcceptor(std::string instance, std::uint64_t incarnation,
                         const KeyAcceptorOptions& options, const Clock* clock)
    : instance_(std::move(instance)),
      incarnation_(incarnation),
      options_(options),
      clock_(clock) {}

void KeyAcceptor::SetGroups(const Configuration& configuration) {
  if (configuration.policy().key_retention_ms() != 0) {
    options_.retention =
        std::chrono::milliseconds(configuration.policy().key_retention_ms());
  }
  auto count = CountKeyGroups(configuration);
  for (const KeyGroup& definition : configuration.key_groups()) {
    SplitOff(definition, ResidueOf(definition, count[definition.data_centre()]));
  }
  for (const KeyGroup& definition : configuration.key_groups()) {
    AdoptGroup(definition, ResidueOf(definition, count[definition.data_centre()]));
  }
}

void KeyAcceptor::SplitOff(const KeyGroup& definition, const KeyResidue& residue) {
  const GroupId id{definition.data_centre(), definition.number()};
  if (groups_.count(id) != 0) return;
  const auto parent =
      std::find_if(groups_.begin(), groups_.end(), [&](const auto& entry) {
        return entry.first.first == id.first && entry.second.residue.Contains(residue);
      });
  if (parent == groups_.end()) return;
  // The new group starts in the state of the group it was split off, as if it had always
  // existed. AdoptGroup then decides whether the records of this instance are complete.
  Group part;
  part.definition = parent->second.definition;
  part.residue = residue;
  part.caught_up = parent->second.caught_up;
  auto& slots = parent->second.slots;
  for (auto it = slots.begin(); it != slots.end();) {
    const auto slot = it++;
    if (residue.Contains(KeyHash(slot->first))) part.slots.insert(slots.extract(slot));
  }
  groups_.emplace(id, std::move(part));
}

void KeyAcceptor::AdoptGroup(const KeyGroup& definition, const KeyResidue& residue) {
  Group& group = groups_[{definition.data_centre(), definition.number()}];
  if (definition.generation() <= group.definition.generation()) return;
  const std::uint64_t known_generation = group.definition.generation();
  group.definition = definition;
  group.residue = residue;
  group.copied.clear();
  const std::uint64_t joined = JoinedGeneration(group);
  // Without joined_generation only the holders of generation 1 are known to have started
  // together.
  const bool joined_known = joined != 0 || definition.generation() == 1;
  if (joined_known && joined == definition.formed_generation()) {
    // This incarnation was a member when the group was formed without records, and has
    // lost none since.
    group.caught_up = true;
  } else if (joined > known_generation) {
    // The other holders may have voted before this instance joined the group.
    group.caught_up = false;
  }
  if (!IsHolder(group)) {
    ClearSlots(&group);
    group.caught_up = false;
  }
}

void KeyAcceptor::ClearSlots(Group* group) {
  for (const auto& [key, slot] : group->slots) {
    record_bytes_ -= slot.bytes;
    --record_count_;
  }
  group->slots.clear();
}

bool KeyAcceptor::IsSelf(const KeyHolder& holder) const {
  return holder.instance() == instance_ && holder.incarnation() == incarnation_;
}

std::uint64_t KeyAcceptor::JoinedGeneration(const Group& group) const {
  std::uint64_t joined = 0;
  for (const auto* holders :
       {&group.definition.previous(), &group.definition.members()}) {
    for (const KeyHolder& holder : *holders) {
      if (IsSelf(holder)) joined = holder.joined_generation();
    }
  }
  return joined;
}

bool KeyAcceptor::IsHolder(const Group& group) const {
  return ContainsHolder(group.definition.members(), instance_, incarnation_) ||
         ContainsHolder(group.definition.previous(), instance_, incarnation_);
}

KeyVote KeyAcceptor::CheckVote(const KeyGroupName& name, const std::string& key,
                               Group** group) {
  auto it = groups_.find({name.data_centre(), name.number()});
  if (it == groups_.end()) return KEY_VOTE_NOT_HOLDER;
  *group = &it->second;
  const std::uint64_t generation = it->second.definition.generation();
  if (name.generation() < generation) return KEY_VOTE_OLD_GENERATION;
  if (name.generation() > generation) return KEY_VOTE_NOT_HOLDER;
  if (!IsHolder(it->second) || !it->second.caught_up) return KEY_VOTE_NOT_HOLDER;
  if (!it->second.residue.Contains(KeyHash(key))) return KEY_VOTE_NOT_HOLDER;
  return KEY_VOTE_YES;
}

bool KeyAcceptor::IsAuthoritativeFor(const Group& group, const std::string& key) const {
  const WallTime now = clock_->WallNow();
  const WallTime formed{std::chrono::milliseconds(group.definition.vouches_from_ms())};
  const bool lost_records = group.definition.vouches_from_ms() != 0;
  const auto retention =
      std::chrono::duration_cast<WallTime::duration>(options_.retention);
  const auto skew = std::chrono::duration_cast<WallTime::duration>(options_.clock_skew);
  const auto issued = KeyIssueTime(key);
  if (issued.has_value()) {
    // A key with a time in the future would seem newer than a later loss of the records.
    if (*issued > now + skew || *issued + retention < now) return false;
    if (lost_records && *issued > formed + skew) return true;
  }
  return !lost_records || now > formed + retention;
}

KeyVoteReply KeyAcceptor::Reply(KeyVote vote, const Slot* slot) const {
  KeyVoteReply reply;
  reply.set_vote(vote);
  reply.set_holder(instance_);
  reply.set_incarnation(incarnation_);
  if (slot == nullptr) return reply;
  *reply.mutable_promised() = slot->promised;
  if (vote != KEY_VOTE_YES) return reply;
  *reply.mutable_accepted() = slot->accepted;
  *reply.mutable_record() = slot->record;
  return reply;
}

KeyVote KeyAcceptor::AddSlot(Group* group, const std::string& key) {
  if (group->slots.count(key) != 0) return KEY_VOTE_YES;
  if (!IsAuthoritativeFor(*group, key)) return KEY_VOTE_NOT_VOUCHED;
  if (record_count_ >= options_.max_records || record_bytes_ >= options_.max_bytes) {
    return KEY_VOTE_FULL;
  }
  Slot& slot = group->slots[key];
  slot.changed_at = clock_->Now();
  ++record_count_;
  UpdateBytes(&slot, key);
  return KEY_VOTE_YES;
}

KeyVoteReply KeyAcceptor::Prepare(const KeyPrepare& message) {
  Group* group = nullptr;
  const KeyVote vote = CheckVote(message.group(), message.key(), &group);
  if (vote != KEY_VOTE_YES) return Reply(vote, nullptr);
  const KeyVote added = AddSlot(group, message.key());
  if (added != KEY_VOTE_YES) return Reply(added, nullptr);
  Slot& slot = group->slots[message.key()];
  if (message.ballot() < slot.promised) return Reply(KEY_VOTE_LOWER_BALLOT, &slot);
  slot.promised = message.ballot();
  return Reply(KEY_VOTE_YES, &slot);
}

KeyVoteReply KeyAcceptor::Accept(const KeyAccept& message) {
  Group* group = nullptr;
  const KeyVote vote = CheckVote(message.group(), message.key(), &group);
  if (vote != KEY_VOTE_YES) return Reply(vote, nullptr);
  const bool fast = message.ballot().counter() == 0;
  if (fast) {
    const KeyVote added = AddSlot(group, message.key());
    if (added != KEY_VOTE_YES) return Reply(added, nullptr);
  }
  auto it = group->slots.find(message.key());
  // A promise creates the slot, so a missing slot means that the promise has expired.
  if (it == group->slots.end()) return Reply(KEY_VOTE_NOT_VOUCHED, nullptr);
  Slot& slot = it->second;
  // Of the fast-round ballots, which need no promise, a holder accepts only the first.
  const bool first = slot.promised == KeyBallot() || slot.promised == message.ballot();
  if (fast && !first) return Reply(KEY_VOTE_LOWER_BALLOT, &slot);
  if (message.ballot() < slot.promised) return Reply(KEY_VOTE_LOWER_BALLOT, &slot);
  const std::size_t answer_bytes = message.record().answer().body().size();
  if (answer_bytes > 0 && record_bytes_ + answer_bytes > options_.max_bytes) {
    return Reply(KEY_VOTE_FULL, nullptr);
  }
  slot.promised = message.ballot();
  slot.accepted = message.ballot();
  Store(&slot, message.key(), message.record());
  KeyVoteReply reply = Reply(KEY_VOTE_YES, nullptr);
  *reply.mutable_promised() = slot.promised;
  return reply;
}

void KeyAcceptor::Store(Slot* slot, const std::string& key, const KeyRecord& record) {
  slot->record = record;
  slot->changed_at = clock_->Now();
  UpdateBytes(slot, key);
}

void KeyAcceptor::UpdateBytes(Slot* slot, const std::string& key) {
  record_bytes_ -= slot->bytes;
  slot->bytes = kSlotOverheadBytes + key.size() + slot->record.ByteSizeLong();
  record_bytes_ += slot->bytes;
}

KeyCopyReply KeyAcceptor::Copy(const KeyCopyRequest& message) const {
  KeyCopyReply reply;
  reply.set_vote(KEY_VOTE_NOT_HOLDER);
  auto it = groups_.find({message.group().data_centre(), message.group().number()});
  if (it == groups_.end()) return reply;
  const Group& group = it->second;
  if (message.group().generation() < group.definition.generation()) {
    reply.set_vote(KEY_VOTE_OLD_GENERATION);
    return reply;
  }
  if (message.group().generation() != group.definition.generation() || !IsHolder(group) ||
      !group.caught_up) {
    return reply;
  }
  reply.set_vote(KEY_VOTE_YES);
  const std::size_t limit =
      std::min<std::size_t>(kMaxCopyBytes, std::max(1U, message.limit_bytes()));
  std::size_t bytes = 0;
  auto slot = group.slots.upper_bound(message.after_key());
  for (; slot != group.slots.end() && bytes < limit; ++slot) {
    KeyCopyEntry* entry = reply.add_entries();
    entry->set_key(slot->first);
    *entry->mutable_promised() = slot->second.promised;
    *entry->mutable_accepted() = slot->second.accepted;
    *entry->mutable_record() = slot->second.record;
    const auto age = clock_->Now() - slot->second.changed_at;
    entry->set_age_ms(static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(age).count()));
    bytes += entry->ByteSizeLong();
  }
  reply.set_last(slot == group.slots.end());
  return reply;
}

bool KeyAcceptor::holds_any_group() const {
  return std::any_of(groups_.begin(), groups_.end(),
                     [this](const auto& entry) { return IsHolder(entry.second); });
}

KeyStatusReply KeyAcceptor::Status(const KeyGroupName& name) const {
  KeyStatusReply reply;
  auto it = groups_.find({name.data_centre(), name.number()});
  if (it == groups_.end()) return reply;
  reply.set_generation(it->second.definition.generation());
  reply.set_caught_up(it->second.caught_up && IsHolder(it->second));
  reply.set_records(it->second.slots.size());
  return reply;
}

std::vector<KeyHolder> KeyAcceptor::CopySources(const Group& group) const {
  const auto& holders = group.definition.previous_size() > 0 ? group.definition.previous()
                                                             : group.definition.members();
  return {holders.begin(), holders.end()};
}

bool KeyAcceptor::HasCopiedMajority(const Group& group) const {
  const std::vector<KeyHolder> sources = CopySources(group);
  const auto copied =
      std::count_if(sources.begin(), sources.end(), [&group](const KeyHolder& holder) {
        return group.copied.count({holder.instance(), holder.incarnation()}) != 0;
      });
  return static_cast<std::size_t>(copied) * 2 > sources.size();
}

std::vector<KeyAcceptor::MissingCopy> KeyAcceptor::MissingCopies() const {
  std::vector<MissingCopy> missing;
  for (const auto& [id, group] : groups_) {
    if (group.caught_up || !IsHolder(group)) continue;
    MissingCopy copy;
    copy.group.set_data_centre(id.first);
    copy.group.set_number(id.second);
    copy.group.set_generation(group.definition.generation());
    for (const KeyHolder& holder : CopySources(group)) {
      const bool copied =
          group.copied.count({holder.instance(), holder.incarnation()}) != 0;
      if (!copied && !IsSelf(holder)) copy.sources.push_back(holder);
    }
    missing.push_back(std::move(copy));
  }
  return missing;
}

void KeyAcceptor::MergeCopy(const KeyGroupName& name, const KeyHolder& source,
                            const KeyCopyReply& part) {
  auto it = groups_.find({name.data_centre(), name.number()});
  if (it == groups_.end()) return;
  Group& group = it->second;
  if (group.definition.generation() != name.generation() || group.caught_up) return;
  if (part.vote() != KEY_VOTE_YES) return;
  for (const KeyCopyEntry& entry : part.entries()) {
    auto [slot, inserted] = group.slots.emplace(entry.key(), Slot{});
    if (inserted) {
      ++record_count_;
      slot->second.changed_at = clock_->Now() - std::chrono::milliseconds(entry.age_ms());
    }
    if (slot->second.promised < entry.promised())
      slot->second.promised = entry.promised();
    if (slot->second.accepted < entry.accepted()) {
      slot->second.accepted = entry.accepted();
      slot->second.record = entry.record();
      slot->second.changed_at = clock_->Now() - std::chrono::milliseconds(entry.age_ms());
    }
    UpdateBytes(&slot->second, entry.key());
  }
  if (!part.last()) return;
  group.copied.insert({source.instance(), source.incarnation()});
  if (HasCopiedMajority(group)) group.caught_up = true;
}

void KeyAcceptor::Expire() {
  const SteadyTime now = clock_->Now();
  for (auto& [id, group] : groups_) {
    for (auto it = group.slots.begin(); it != group.slots.end();) {
      if (now - it->second.changed_at <= options_.retention) {
        ++it;
        continue;
      }
      record_bytes_ -= it->second.bytes;
      --record_count_;
      it = group.slots.erase(it);
    }
  }
}

}  // namespace quetzal
