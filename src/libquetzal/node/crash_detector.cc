#include "node/crash_detector.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include <xxhash.h>

namespace quetzal {
namespace {

/// An end that is noticed later than this after a cut did not cause the cut.
constexpr Duration kMaxNoticeDelay = std::chrono::seconds(5);

/// All connections of a process close at once; the node may read of it in several turns.
constexpr Duration kBurst = std::chrono::milliseconds(100);
constexpr Duration kSettleTime = std::chrono::milliseconds(50);

constexpr std::size_t kMaxCuts = 1024;

/// Requests of one crash that are reported. What has run for longer was harmless so far.
constexpr std::size_t kMaxRequests = 40;

std::uint64_t MakeId(const std::string& server_id, WallTime now) {
  const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch());
  return XXH64(server_id.data(), server_id.size(),
               static_cast<std::uint64_t>(micros.count()));
}

}  // namespace

void CrashDetector::RecordCut(const CutRequest& cut) {
  const SteadyTime now = clock_->Now();
  while (!cuts_.empty() &&
         (now - cuts_.front().at > kMaxNoticeDelay || cuts_.size() >= kMaxCuts)) {
    cuts_.pop_front();
  }
  cuts_.push_back({cut, now});
}

void CrashDetector::RecordEnd(const std::string& server_id) {
  if (ended_at_ && ended_server_ == server_id) return;
  ended_server_ = server_id;
  ended_at_ = clock_->Now();
}

std::optional<CrashReport> CrashDetector::TakeCrash() {
  if (!ended_at_ || clock_->Now() - *ended_at_ < kSettleTime) return std::nullopt;
  const SteadyTime ended_at = *ended_at_;
  ended_at_.reset();
  std::vector<TimedCut> cuts;
  for (auto it = cuts_.begin(); it != cuts_.end();) {
    const bool of_server = it->cut.server_id == ended_server_;
    if (of_server) cuts.push_back(std::move(*it));
    it = of_server ? cuts_.erase(it) : std::next(it);
  }
  if (cuts.empty() || ended_at - cuts.back().at > kMaxNoticeDelay) return std::nullopt;
  const SteadyTime begin = cuts.back().at - kBurst;
  cuts.erase(std::remove_if(cuts.begin(), cuts.end(),
                            [&](const TimedCut& cut) { return cut.at < begin; }),
             cuts.end());
  std::sort(cuts.begin(), cuts.end(), [](const TimedCut& a, const TimedCut& b) {
    return a.cut.sent_at > b.cut.sent_at;
  });
  CrashReport crash;
  crash.id = MakeId(ended_server_, clock_->WallNow());
  // The same request may run several times at once. What has finished before is not to
  // blame for this crash.
  std::set<std::uint64_t> left_out;
  // A request that also ran before it was known to be suspected may be of the same moment
  // as the former crashes.
  std::set<std::uint64_t> untried;
  for (const TimedCut& cut : cuts) {
    if (cut.cut.finished_before) left_out.insert(cut.cut.request.digest);
    if (!cut.cut.on_trial) untried.insert(cut.cut.request.digest);
  }
  std::stable_partition(cuts.begin(), cuts.end(), [&](const TimedCut& cut) {
    return untried.count(cut.cut.request.digest) == 0;
  });
  for (const TimedCut& cut : cuts) {
    const std::uint64_t digest = cut.cut.request.digest;
    if (!left_out.insert(digest).second) continue;
    if (crash.requests.size() >= kMaxRequests) break;
    crash.requests.push_back(cut.cut.request);
    if (untried.count(digest) == 0) ++crash.on_trial;
  }
  crash.software = cuts.front().cut.software;
  crashed_server_ = ended_server_;
  return crash;
}

}  // namespace quetzal
