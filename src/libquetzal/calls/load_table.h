#ifndef QUETZAL_CALLS_LOAD_TABLE_H_
#define QUETZAL_CALLS_LOAD_TABLE_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "calls/call_headers.h"
#include "calls/routing_snapshot.h"
#include "calls/target_selector.h"

namespace quetzal {

/// How an attempt ended, as far as the choice of the next ones is concerned.
enum class AttemptEnd {
  kAnswered,
  kRefused,     ///< A typed refusal: the node is well, its server takes no more.
  kTurnedAway,  ///< The server itself refused, though its node had a slot for it.
  kFailed,      ///< Not connected, lost, cut or timed out.
  kSilent,      ///< Its node did not say that it has the request.
  kAbandoned,   ///< Given up by the caller; tells nothing about the server.
};

/// Limits of a choice.
struct ChoiceOptions {
  std::string data_centre;  ///< Own data centre; the others take what it has no room for.
  std::string load_policy;  ///< Name of a registered TargetSelector.
  Duration slow_start{};
  std::vector<std::string> tried;  ///< Instances that are not to be chosen again.
};

/// What this node knows of the load and health of backend servers, and the choice among
/// them. Safe for use from several threads; its mutex is a leaf.
class LoadTable {
 public:
  LoadTable(const Clock* clock, Random* random) : clock_(clock), random_(random) {}

  /// Chooses one of `targets` and counts an attempt as outstanding there; null when none
  /// takes work.
  const BackendTarget* Choose(const std::vector<const BackendTarget*>& targets,
                              const ChoiceOptions& options);

  /// Counts an attempt as outstanding at a target that was chosen otherwise.
  void Begin(const BackendTarget& target);

  /// The admitting node reported its load.
  void Report(const BackendTarget& target, const LoadReport& report);

  /// An attempt that Choose counted has ended.
  void End(const BackendTarget& target, AttemptEnd end);

  /// Drops what is held about instances that are not in the snapshot any more.
  void Prune(const RoutingSnapshot& snapshot);

  std::uint32_t outstanding(const std::string& instance) const;
  bool ejected(const std::string& instance) const;

 private:
  struct Entry {
    std::uint64_t incarnation = 0;
    std::uint32_t outstanding = 0;  ///< Of this node.
    LoadReport report;
    bool reported = false;
    std::uint32_t own_at_report = 0;  ///< `outstanding` when the report came.
    SteadyTime reported_at;
    SteadyTime warm_from;      ///< Start of the slow start.
    SteadyTime waiting_since;  ///< Last answer, or the attempt that found none waiting.
    double success = 1;        ///< Moving average of attempts that were answered well.
    int failures = 0;          ///< In a row.
    int ejections = 0;         ///< In a row.
    SteadyTime ejected_until;
    std::string data_centre;
    bool silent = false;    ///< Its node did not react to the last request.
    SteadyTime next_probe;  ///< When a silent instance is tried again.
  };

  /// Silence of a data centre as a whole, as when it is cut off.
  struct Reach {
    int silent = 0;  ///< Instances that fell silent since any was heard.
    SteadyTime next_probe;
  };
  using Candidates = std::vector<const BackendTarget*>;

  Entry& EntryLocked(const BackendTarget& target, SteadyTime now);
  Candidates UsableLocked(const Candidates& targets, const ChoiceOptions& options,
                          SteadyTime now);
  Candidates DropEjectedLocked(const Candidates& usable, SteadyTime now);
  bool IsReachableLocked(const Entry& entry, SteadyTime now) const;
  void FallSilentLocked(Entry* entry, SteadyTime now);
  void HearLocked(Entry* entry);
  static bool IsStalled(const Entry& entry, SteadyTime now);
  void CountLocked(const BackendTarget& target, SteadyTime now);
  TargetLoad LoadLocked(const BackendTarget& target, Duration slow_start, SteadyTime now);
  Candidates NearestWithRoomLocked(const Candidates& usable, const ChoiceOptions& options,
                                   SteadyTime now);
  TargetSelector* SelectorLocked(const std::string& service, const std::string& policy);

  const Clock* clock_;
  Random* random_;
  mutable std::mutex mutex_;
  std::unordered_map<std::string, Entry> entries_;
  std::unordered_map<std::string, Reach> reach_;  ///< By data centre.
  std::unordered_map<std::string, std::unique_ptr<TargetSelector>> selectors_;
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_LOAD_TABLE_H_
