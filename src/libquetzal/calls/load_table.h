#ifndef QUETZAL_CALLS_LOAD_TABLE_H_
#define QUETZAL_CALLS_LOAD_TABLE_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "calls/call_headers.h"
#include "calls/routing_snapshot.h"
#include "calls/target_selector.h"

namespace quetzal {

/// How an attempt ended for the coordinating node, to choose later targets. Whether the
/// request ran is another question: see AttemptState and AttemptOutcome.
enum class AttemptEnd {
  kAnswered,
  kRefusedByNode,    ///< Typed refusal: the node is healthy, its server accepts no more.
  kRefusedByServer,  ///< The server refused although its node had a free slot.
  kFailed,           ///< No connection, or the attempt was lost, cut or timed out.
  kUnresponsive,     ///< The admitting node did not acknowledge the request.
  kAbandoned,        ///< Cancelled or never sent; says nothing about the server.
};

/// Constraints of a choice.
struct ChoiceOptions {
  std::string data_centre;  ///< Of this node; others are used when it is full.
  std::string load_policy;  ///< Name of a registered TargetSelector.
  Duration slow_start{};
  std::vector<std::string> tried;  ///< Instances that are not chosen again.
};

/// Load and health of the backend servers as this node knows them, and the choice among
/// them. Safe for use from several threads; its mutex is a leaf lock.
class LoadTable {
 public:
  LoadTable(const Clock* clock, Random* random) : clock_(clock), random_(random) {}

  /// Chooses one of `targets` and counts an attempt as outstanding there; null when none
  /// accepts work.
  const BackendTarget* Choose(const std::vector<const BackendTarget*>& targets,
                              const ChoiceOptions& options);

  /// Counts an attempt as outstanding at a target that was chosen without Choose.
  void Begin(const BackendTarget& target);

  /// Records the load that the admitting node reported.
  void Report(const BackendTarget& target, const LoadReport& report);

  /// Records the end of an attempt that Choose or Begin counted.
  void End(const BackendTarget& target, AttemptEnd end);

  /// Records the requests per second that an answer of the target's server states; null:
  /// as many as come.
  void RecordRateLimit(const BackendTarget& target, std::optional<double> per_second);

  /// The last recorded one, also of an earlier run of the instance's node.
  std::optional<double> rate_limit(const std::string& instance) const;

  /// Drops the entries of instances that are no longer in the snapshot.
  void Prune(const RoutingSnapshot& snapshot);

  std::uint32_t outstanding(const std::string& instance) const;
  bool ejected(const std::string& instance) const;

 private:
  struct Entry {
    std::uint64_t incarnation = 0;  ///< Of the node that admits for the server.
    std::uint32_t outstanding = 0;  ///< Of this node.
    LoadReport report;
    bool reported = false;
    std::uint32_t outstanding_at_report = 0;  ///< `outstanding` at that time.
    SteadyTime reported_at;
    SteadyTime slow_start_from;
    SteadyTime waiting_since;  ///< Last response, or start of the first attempt since.
    double success_rate = 1;   ///< Moving average.
    int failures = 0;          ///< In a row.
    int ejections = 0;         ///< In a row.
    SteadyTime ejected_until;
    std::string data_centre;
    bool unresponsive = false;  ///< The node did not acknowledge the last request.
    SteadyTime next_probe;      ///< Next attempt while unresponsive.
  };

  /// Detects a data centre that is unreachable as a whole, as when it is cut off.
  struct DataCentreReachability {
    int unresponsive_instances = 0;  ///< Since any instance responded.
    SteadyTime next_probe;
  };
  using Candidates = std::vector<const BackendTarget*>;

  Entry& EntryLocked(const BackendTarget& target, SteadyTime now);
  Candidates UsableLocked(const Candidates& targets, const ChoiceOptions& options,
                          SteadyTime now);
  Candidates DropEjectedLocked(const Candidates& usable, SteadyTime now);
  bool IsReachableLocked(const Entry& entry, SteadyTime now) const;
  void MarkUnresponsiveLocked(Entry* entry, SteadyTime now);
  void MarkResponsiveLocked(Entry* entry);
  static bool IsStalled(const Entry& entry, SteadyTime now);
  void CountAttemptLocked(const BackendTarget& target, SteadyTime now);
  TargetLoad LoadLocked(const BackendTarget& target, Duration slow_start, SteadyTime now);
  Candidates NearestWithCapacityLocked(const Candidates& usable,
                                       const ChoiceOptions& options, SteadyTime now);
  TargetSelector* SelectorLocked(const std::string& service, const std::string& policy);

  const Clock* clock_;
  Random* random_;
  mutable std::mutex mutex_;
  std::unordered_map<std::string, Entry> entries_;
  std::unordered_map<std::string, DataCentreReachability> data_centre_reachability_;
  std::unordered_map<std::string, std::unique_ptr<TargetSelector>> selectors_;
  std::unordered_map<std::string, double> rate_limits_;  ///< By instance.
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_LOAD_TABLE_H_
