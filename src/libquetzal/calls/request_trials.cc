#include "calls/request_trials.h"

#include <utility>

#include <xxhash.h>

namespace quetzal {
namespace {

/// So many runs that finish acquit a request.
constexpr std::size_t kRunsOfATrial = 8;

constexpr std::size_t kMaxRecords = 64;

}  // namespace

const BackendTarget* TrialServer(const CrashingRequests::Entry& suspect,
                                 const std::vector<const BackendTarget*>& targets) {
  const BackendTarget* best = nullptr;
  std::pair<bool, std::uint64_t> best_rank;
  for (const BackendTarget* target : targets) {
    if (target->state != SERVER_UP) continue;
    if (!suspect.Crashed(HashOfSoftware(target->service, target->version))) continue;
    const std::string& name = target->instance;
    // A server that crashed before may have a cause of its own to crash again.
    const std::pair rank = {suspect.instances.count(name) == 0,
                            XXH64(name.data(), name.size(), suspect.request.digest)};
    if (best != nullptr && rank <= best_rank) continue;
    best = target;
    best_rank = rank;
  }
  return best;
}

std::optional<RequestTrials::Run> RequestTrials::Begin(
    const CrashingRequests::Entry& suspect, std::uint32_t software) {
  Run run{suspect.request.digest, {}};
  for (std::size_t n = 0; n < suspect.crashes.size(); ++n) {
    if (suspect.software[n] == software) {
      run.crashes.push_back(suspect.crashes[n]);
    }
  }
  std::lock_guard<std::mutex> lock(mutex_);
  if (runs_ > 0 && active_ != run.digest) return std::nullopt;
  if (records_.size() >= kMaxRecords && records_.count(run.digest) == 0) {
    records_.erase(records_.begin());
  }
  Record& record = records_[run.digest];
  // Runs that finished before the latest crash say nothing about it.
  if (record.crashes != run.crashes) record = {run.crashes, 0};
  active_ = run.digest;
  ++runs_;
  return run;
}

std::optional<Acquittal> RequestTrials::End(const Run& run, bool finished) {
  std::lock_guard<std::mutex> lock(mutex_);
  --runs_;
  const auto it = records_.find(run.digest);
  if (!finished || it == records_.end() || it->second.crashes != run.crashes) {
    return std::nullopt;
  }
  if (++it->second.finished < kRunsOfATrial) return std::nullopt;
  records_.erase(it);
  return Acquittal{run.digest, run.crashes};
}

}  // namespace quetzal
