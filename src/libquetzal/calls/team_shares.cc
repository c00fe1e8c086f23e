#include "calls/team_shares.h"

#include <algorithm>

namespace quetzal {
namespace {

/// A team without a usable weight counts like one with this weight.
constexpr double kDefaultWeight = 1;

}  // namespace

TeamShares::Team* TeamShares::Find(const std::string& team, double weight) {
  const auto [it, added] = teams_.try_emplace(team);
  if (added) {
    it->second.weight = weight > 0 ? weight : kDefaultWeight;
    weights_ += it->second.weight;
  }
  return &it->second;
}

void TeamShares::Start(const std::string& team, double weight) {
  if (!team.empty()) ++Find(team, weight)->running;
}

void TeamShares::End(const std::string& team) {
  const auto it = teams_.find(team);
  if (it == teams_.end() || it->second.running == 0) return;
  if (--it->second.running > 0) return;
  weights_ -= it->second.weight;
  teams_.erase(it);
  if (teams_.empty()) weights_ = 0;  // Rounding errors do not add up.
}

void TeamShares::BeginRanking(std::size_t slots) {
  slots_ = static_cast<double>(slots);
  for (auto& [name, team] : teams_) team.ranked = 0;
}

void TeamShares::AddQueued(const std::string& team, double weight) {
  if (!team.empty()) Find(team, weight);
}

double TeamShares::NextExcess(const std::string& name) {
  const auto it = teams_.find(name);
  if (it == teams_.end()) return 0;
  Team& team = it->second;
  const auto used = static_cast<double>(team.running + team.ranked++) / team.weight;
  return std::max(0.0, used - slots_ / weights_);
}

void TeamShares::EndRanking() {
  for (auto it = teams_.begin(); it != teams_.end();) {
    if (it->second.running > 0) {
      ++it;
      continue;
    }
    weights_ -= it->second.weight;
    it = teams_.erase(it);
  }
}

}  // namespace quetzal
