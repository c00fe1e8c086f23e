#include "control/rollout_counts.h"

#include <algorithm>

namespace quetzal {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

/// Returns the growth of one counter and raises `last` to `now`.
std::uint64_t TakeGrowth(std::uint64_t now, std::uint64_t* last) {
  const std::uint64_t growth = now > *last ? now - *last : 0;
  *last = std::max(*last, now);
  return growth;
}

void AddToSide(bool new_version, const ResponseCounts& counts, RouteResponses* route) {
  (new_version ? route->new_version : route->old_version).Add(counts);
}

}  // namespace

void ResponseCounts::Add(const ResponseCounts& other) {
  answered += other.answered;
  failed += other.failed;
  time_ms += other.time_ms;
}

void RouteResponses::Add(const RouteResponses& other) {
  old_version.Add(other.old_version);
  new_version.Add(other.new_version);
}

void RolloutCounts::AddReport(const std::string& instance, std::uint64_t incarnation,
                              const std::vector<VersionCounts>& counts) {
  Add(instance, incarnation, counts, false);
}

void RolloutCounts::AddBaseline(const std::string& instance, std::uint64_t incarnation,
                                const std::vector<VersionCounts>& counts) {
  Add(instance, incarnation, counts, true);
}

void RolloutCounts::Add(const std::string& instance, std::uint64_t incarnation,
                        const std::vector<VersionCounts>& counts, bool baseline) {
  Node& node = nodes_[instance];
  if (incarnation < node.incarnation) return;
  if (incarnation > node.incarnation) node = {incarnation, {}};
  for (const VersionCounts& entry : counts) {
    ResponseCounts& last = node.last[{entry.route(), entry.new_version()}];
    const ResponseCounts growth{TakeGrowth(entry.answered(), &last.answered),
                                TakeGrowth(entry.failed(), &last.failed),
                                TakeGrowth(entry.time_ms(), &last.time_ms)};
    AddToSide(entry.new_version(), growth, &evidence_.whole[entry.route()]);
    if (baseline) continue;
    AddToSide(entry.new_version(), growth, &evidence_.seconds.back()[entry.route()]);
  }
}

bool RolloutCounts::Knows(const std::string& instance, std::uint64_t incarnation) const {
  const auto it = nodes_.find(instance);
  return it != nodes_.end() && it->second.incarnation == incarnation;
}

void RolloutCounts::Tick(SteadyTime now) {
  if (!second_began_) second_began_ = now;
  if (now - *second_began_ < kSecond) return;
  second_began_ = now;
  evidence_.seconds.emplace_back();
  if (evidence_.seconds.size() > kMaxSeconds) evidence_.seconds.pop_front();
}

}  // namespace quetzal
