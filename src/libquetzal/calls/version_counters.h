#ifndef QUETZAL_CALLS_VERSION_COUNTERS_H_
#define QUETZAL_CALLS_VERSION_COUNTERS_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

#include "base/clock.h"
#include "configuration.pb.h"
#include "distribution.pb.h"

namespace quetzal {

/// How an attempt ended, for the comparison of two versions.
enum class VersionOutcome {
  kNotRun,    ///< Refused or never sent; no server has seen it.
  kNoResult,  ///< Refused by the server or cancelled; says nothing about the version.
  kAnswered,  ///< Complete answer with a status below 500.
  kFailed,    ///< Status of 500 and above, or a lost, truncated or late answer.
};

/// Counts responses by route and version while rollouts are running or shifting. The
/// counts of a rollout only grow until it ends; then they are dropped. Safe for use from
/// several threads; its mutex is a leaf lock.
class VersionCounters {
 public:
  /// Entries that a report may have. Routes beyond are counted together, under an empty
  /// name.
  static constexpr std::size_t kMaxEntries = 64;

  /// What one attempt counts in. `rollout` 0: not counted.
  struct Attempt {
    std::string service;
    std::uint64_t rollout = 0;  ///< Log index of the rollout's order.
    bool is_new = false;
    std::string route;
  };

  /// Counts an attempt at a server of `version` as running. Returns where it counts.
  Attempt Begin(const Rollout& rollout, const std::string& version,
                const std::string& route);

  /// `time`: from sending the request to the end of its answer.
  void End(const Attempt& attempt, VersionOutcome outcome, Duration time);

  /// Drops the counts of rollouts that are not under way in `configuration`. Ignores a
  /// configuration that is older than the last one.
  void Prune(const Configuration& configuration, std::uint64_t index);

  /// Sorted by service, rollout, side and route.
  std::vector<VersionCounts> Read() const;

 private:
  using Key = std::tuple<std::string, std::uint64_t, bool, std::string>;

  static Key KeyOf(const Attempt& attempt);

  mutable std::mutex mutex_;
  std::map<Key, VersionCounts> counts_;
  std::uint64_t configuration_index_ = 0;  ///< Of the last Prune().
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_VERSION_COUNTERS_H_
