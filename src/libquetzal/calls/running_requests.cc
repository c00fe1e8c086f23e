#include "calls/running_requests.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace quetzal {
namespace {

/// With fewer requests, a single long one would make the server seem slow.
constexpr std::size_t kMinRequests = 4;

/// The median age of running requests is 0.5 to 0.7 times their expected time, depending
/// on the variance. A ratio above this one shows a slow server.
constexpr double kClearRatio = 1.5;

/// Requests that are looked at; more would tell little more.
constexpr std::size_t kMaxSample = 64;

}  // namespace

void RunningRequests::Add(std::uint64_t id, Duration expected, SteadyTime now,
                          std::string team) {
  if (!running_.emplace(id, Running{expected, now, std::move(team)}).second) return;
  if (expected <= Duration::zero()) return;
  ++known_;
  expected_sum_ += expected;
}

std::string RunningRequests::Remove(std::uint64_t id) {
  const auto it = running_.find(id);
  if (it == running_.end()) return {};
  Running running = std::move(it->second);
  running_.erase(it);
  if (running.expected > Duration::zero()) {
    --known_;
    expected_sum_ -= running.expected;
  }
  return std::move(running.team);
}

std::string RunningRequests::RemoveOldest() {
  const auto oldest = std::min_element(
      running_.begin(), running_.end(),
      [](const auto& a, const auto& b) { return a.second.since < b.second.since; });
  return oldest == running_.end() ? std::string() : Remove(oldest->first);
}

Duration RunningRequests::mean_expected() const {
  return known_ == 0 ? Duration::zero()
                     : expected_sum_ / static_cast<Duration::rep>(known_);
}

double RunningRequests::Slowdown(SteadyTime now) const {
  if (known_ < kMinRequests) return 1;
  std::vector<double> ratios;
  for (const auto& [id, running] : running_) {
    if (running.expected <= Duration::zero()) continue;
    ratios.push_back(static_cast<double>((now - running.since).count()) /
                     static_cast<double>(running.expected.count()));
    if (ratios.size() == kMaxSample) break;
  }
  const auto median = ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
  std::nth_element(ratios.begin(), median, ratios.end());
  const double ratio = *median;
  return ratio > kClearRatio ? ratio : 1;
}

}  // namespace quetzal
