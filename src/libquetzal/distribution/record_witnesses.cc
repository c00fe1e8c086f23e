#include "distribution/record_witnesses.h"

#include <algorithm>
#include <tuple>

#include "distribution/relay_choice.h"
#include "membership/endpoint_text.h"

namespace quetzal {
namespace {

constexpr std::size_t kNodesAsWitnesses = 3;

}  // namespace

RecordNumber NumberOf(const Member& record) {
  return {record.incarnation(), record.sequence()};
}

bool operator<(const RecordNumber& a, const RecordNumber& b) {
  return std::tie(a.incarnation, a.sequence) < std::tie(b.incarnation, b.sequence);
}

// The choice depends on the members only, so that the next process of this instance asks
// the same ones.
std::map<std::string, std::uint64_t> RecordWitnesses::Witnesses() const {
  std::map<std::string, std::uint64_t> controls;
  std::vector<std::string> nodes;
  for (const auto& [name, entry] : membership_->table().entries()) {
    const Member& member = entry.member;
    if (name == membership_->self().instance() || !TakesPart(member)) continue;
    if (!TryEndpoint(member.stream_address())) continue;
    if (member.control()) {
      controls[member.stream_address()] = member.incarnation();
    } else {
      nodes.push_back(name);
    }
  }
  if (!controls.empty()) return controls;
  nodes = RankByRendezvous(std::move(nodes), membership_->self().instance());
  nodes.resize(std::min(nodes.size(), kNodesAsWitnesses));
  std::map<std::string, std::uint64_t> witnesses;
  for (const std::string& name : nodes) {
    const Member& member = membership_->table().Find(name)->member;
    witnesses[member.stream_address()] = member.incarnation();
  }
  return witnesses;
}

std::vector<Endpoint> RecordWitnesses::TakeDue() {
  const RecordNumber current = NumberOf(membership_->self());
  std::vector<Endpoint> due;
  for (const auto& [address, incarnation] : Witnesses()) {
    State& state = states_[address];
    if (state.incarnation != incarnation) {
      state.held = {};
      state.incarnation = incarnation;
    }
    if (state.asked || !(state.held < current)) continue;
    state.asked = true;
    due.push_back(*TryEndpoint(address));
  }
  return due;
}

void RecordWitnesses::OnAnswer(const Endpoint& witness, const RecordNumber& sent,
                               bool held) {
  State& state = states_[witness.ToString()];
  state.asked = false;
  if (held && state.held < sent) state.held = sent;
}

bool RecordWitnesses::Held(const RecordNumber& record) const {
  const std::map<std::string, std::uint64_t> witnesses = Witnesses();
  std::size_t holders = 0;
  for (const auto& [address, incarnation] : witnesses) {
    const auto it = states_.find(address);
    if (it == states_.end() || it->second.incarnation != incarnation) continue;
    if (!(it->second.held < record)) ++holders;
  }
  return 2 * holders > witnesses.size();
}

}  // namespace quetzal
