#ifndef QUETZAL_CONTROL_ROLLOUT_COUNTS_H_
#define QUETZAL_CONTROL_ROLLOUT_COUNTS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "distribution.pb.h"

namespace quetzal {

/// Responses of one version of a service.
struct ResponseCounts {
  std::uint64_t answered = 0;
  std::uint64_t failed = 0;
  std::uint64_t time_ms = 0;  ///< Sum over `answered`.

  std::uint64_t total() const { return answered + failed; }
  void Add(const ResponseCounts& other);
};

/// Responses of both versions on one route, over the same period.
struct RouteResponses {
  ResponseCounts old_version;
  ResponseCounts new_version;

  void Add(const RouteResponses& other);
};

/// By name of the route.
using ResponsesByRoute = std::map<std::string, RouteResponses>;

/// What all nodes have reported about one rollout.
struct RolloutEvidence {
  ResponsesByRoute whole;  ///< Since the start.
  std::deque<ResponsesByRoute>
      seconds;  ///< The latest seconds, the last one at the back.
};

/// Sums the counts that the nodes report about one rollout. The sums never decrease: the
/// counts of former incarnations of a node remain in them.
class RolloutCounts {
 public:
  static constexpr std::size_t kMaxSeconds = 60;

  /// Adds what `counts` has in addition to the last report of the same node incarnation;
  /// older reports and those of earlier incarnations add nothing.
  void AddReport(const std::string& instance, std::uint64_t incarnation,
                 const std::vector<VersionCounts>& counts);

  /// The same for the first report to a new leader: its counts were made over an unknown
  /// time, so they are part of the whole only.
  void AddBaseline(const std::string& instance, std::uint64_t incarnation,
                   const std::vector<VersionCounts>& counts);

  /// True once a report of this incarnation was added.
  bool Knows(const std::string& instance, std::uint64_t incarnation) const;

  /// Begins a new second when the current one is over. Called several times a second.
  void Tick(SteadyTime now);

  const RolloutEvidence& evidence() const { return evidence_; }

 private:
  using Side = std::pair<std::string, bool>;  ///< Route, and true for the new version.

  struct Node {
    std::uint64_t incarnation = 0;
    std::map<Side, ResponseCounts> last;
  };

  void Add(const std::string& instance, std::uint64_t incarnation,
           const std::vector<VersionCounts>& counts, bool baseline);

  std::map<std::string, Node> nodes_;
  RolloutEvidence evidence_{{}, {{}}};
  std::optional<SteadyTime> second_began_;
};

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_ROLLOUT_COUNTS_H_
