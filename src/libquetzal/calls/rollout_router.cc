#include "calls/rollout_router.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace quetzal {
namespace {

/// Part of the share that is drawn. The rest is the margin for requests that are shed or
/// fail on the way to a server, which do not count towards the share.
constexpr double kDrawnPart = 0.7;

/// A node may be ahead of its share by less than one request. Without this, a node with
/// few requests would send none to the new version for a long time. A fleet of 92 nodes
/// stays within the 50 requests that are allowed above the share.
constexpr double kAheadOfShare = 0.5;

/// How long the same new servers are used.
constexpr std::chrono::seconds kRotationPeriod{15};

/// Versions whose refusals are kept. A service has two versions during a rollout.
constexpr std::size_t kMaxRefusals = 256;

double ShareOf(const Rollout& rollout) {
  return std::min(1.0, rollout.max_share_permille() / 1000.0);
}

bool IsUp(const BackendTarget* target) { return target->state == SERVER_UP; }

bool AnyUp(const RolloutRouter::Targets& targets) {
  return std::any_of(targets.begin(), targets.end(), IsUp);
}

std::uint64_t RankOf(const Rollout& rollout, const BackendTarget& target,
                     std::uint64_t period) {
  const std::string text = target.instance + '/' +
                           std::to_string(rollout.started().index()) + '/' +
                           std::to_string(period);
  return XXH3_64bits(text.data(), text.size());
}

/// Chooses as many new servers as give each of them at most the load of an old one. All
/// nodes choose the same, so that a version that is bad under load shows it.
RolloutRouter::Targets FewOf(const Rollout& rollout, RolloutRouter::Targets candidates,
                             std::size_t old_servers,
                             std::chrono::microseconds since_start) {
  candidates.erase(
      std::remove_if(candidates.begin(), candidates.end(),
                     [](const BackendTarget* target) { return !IsUp(target); }),
      candidates.end());
  const double drawn = kDrawnPart * ShareOf(rollout);
  const double wanted = std::ceil(drawn / (1 - drawn) * static_cast<double>(old_servers));
  const std::size_t count = std::max<std::size_t>(1, static_cast<std::size_t>(wanted));
  if (candidates.size() <= count) return candidates;
  const auto period = static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, since_start / kRotationPeriod));
  std::vector<std::pair<std::uint64_t, const BackendTarget*>> ranked;
  for (const BackendTarget* target : candidates) {
    ranked.emplace_back(RankOf(rollout, *target, period), target);
  }
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end());
  RolloutRouter::Targets few;
  for (std::size_t n = 0; n < count; ++n) few.push_back(ranked[n].second);
  return few;
}

}  // namespace

const Rollout* FindRollout(const Configuration& configuration, std::string_view service) {
  for (const Rollout& rollout : configuration.rollouts()) {
    if (rollout.service() == service) return &rollout;
  }
  return nullptr;
}

bool IsUnderWay(const Rollout& rollout) {
  return rollout.state() == ROLLOUT_RUNNING || rollout.state() == ROLLOUT_SHIFTING;
}

bool RefusesCall(const Rollout& rollout, const std::string& server_version,
                 std::optional<std::uint64_t> stated, std::uint64_t applied) {
  if (server_version != rollout.version()) return false;
  if (!stated || *stated < rollout.started().index()) return true;
  // A sender that is ahead may know that the version is being rolled out again.
  return rollout.state() == ROLLOUT_ROLLED_BACK && *stated <= applied;
}

RolloutRouter::Targets RolloutRouter::Admissible(const Rollout& rollout,
                                                 const Targets& targets, double unit,
                                                 bool repeated,
                                                 std::chrono::microseconds since_start,
                                                 CanaryDraw* draw) {
  Targets of_new;
  Targets of_old;
  for (const BackendTarget* target : targets) {
    (target->version == rollout.version() ? of_new : of_old).push_back(target);
  }
  switch (rollout.state()) {
    case ROLLOUT_ROLLED_BACK:
      return of_old;
    case ROLLOUT_SHIFTING:
    case ROLLOUT_COMPLETE:
      // After a completed rollout, servers may be replaced by others without a rollout.
      return AnyUp(of_new) ? of_new : of_old;
    default:
      break;
  }
  if (repeated) return of_old;
  const bool has_new = AnyUp(of_new);
  if (draw->rollout != rollout.started().index()) {
    Release(rollout.service(), draw);
    draw->rollout = rollout.started().index();
    draw->is_new = has_new && TakeCanary(rollout, unit);
  }
  if (!draw->is_new) return of_old;
  if (!has_new) {
    Release(rollout.service(), draw);
    return of_old;
  }
  const auto old_servers = std::count_if(of_old.begin(), of_old.end(), IsUp);
  return FewOf(rollout, std::move(of_new), static_cast<std::size_t>(old_servers),
               since_start);
}

bool RolloutRouter::TakeCanary(const Rollout& rollout, double unit) {
  const double limit = ShareOf(rollout);
  const std::lock_guard<std::mutex> lock(mutex_);
  Share& share = shares_[rollout.service()];
  if (share.rollout != rollout.started().index()) {
    share = Share();
    share.rollout = rollout.started().index();
  }
  if (unit >= kDrawnPart * limit) return false;
  const double allowed = limit * static_cast<double>(share.served) + kAheadOfShare;
  if (static_cast<double>(share.canaries + 1) > allowed) return false;
  ++share.canaries;
  return true;
}

void RolloutRouter::Release(const std::string& service, CanaryDraw* draw) {
  if (!draw->is_new) return;
  draw->is_new = false;
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = shares_.find(service);
  if (it == shares_.end() || it->second.rollout != draw->rollout) return;
  if (it->second.canaries > 0) --it->second.canaries;
}

void RolloutRouter::CountServed(const std::string& service, std::uint64_t rollout) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = shares_.find(service);
  if (it != shares_.end() && it->second.rollout == rollout) ++it->second.served;
}

bool RolloutRouter::RecordRefusal(const BackendTarget& target,
                                  std::uint64_t configuration_index) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (refusals_.size() >= kMaxRefusals) refusals_.clear();
  has_refusals_ = true;
  const auto [it, added] = refusals_.try_emplace(
      std::pair(target.service, target.version), configuration_index);
  if (added) return true;
  if (it->second >= configuration_index) return false;
  it->second = configuration_index;
  return true;
}

void RolloutRouter::DropRefused(std::uint64_t configuration_index,
                                Targets* targets) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto is_refused = [&](const BackendTarget* target) {
    const auto it = refusals_.find({target->service, target->version});
    return it != refusals_.end() && it->second >= configuration_index;
  };
  if (std::all_of(targets->begin(), targets->end(), is_refused)) return;
  targets->erase(std::remove_if(targets->begin(), targets->end(), is_refused),
                 targets->end());
}

void RolloutRouter::Prune(const Configuration& configuration) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto it = shares_.begin(); it != shares_.end();) {
    const Rollout* rollout = FindRollout(configuration, it->first);
    const bool keep = rollout != nullptr && rollout->state() == ROLLOUT_RUNNING &&
                      rollout->started().index() == it->second.rollout;
    it = keep ? std::next(it) : shares_.erase(it);
  }
}

}  // namespace quetzal
