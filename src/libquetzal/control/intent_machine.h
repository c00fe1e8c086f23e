#ifndef QUETZAL_CONTROL_INTENT_MACHINE_H_
#define QUETZAL_CONTROL_INTENT_MACHINE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "agreement/agreement.h"
#include "control.pb.h"
#include "control/departure_register.h"
#include "control/intent_id.h"

namespace quetzal {

struct Plan;

/// Limits on what the replicated state keeps.
struct IntentRetention {
  std::size_t closed_intents = 1000;  ///< Beyond it, the lowest number is dropped.
  std::size_t open_plans = 32;        ///< Beyond it, the lowest number is closed.
  std::size_t history_items = 1000;
  std::size_t sentence_bytes = 8192;   ///< For a plan's steps; as many for its warnings.
  std::size_t accepted_orders = 4096;  ///< Kept to recognize resent orders.
  std::size_t departing_instances = 4096;  ///< Nodes whose departed servers are kept.
};

/// Replicated state machine of the intents, their plans and the confirmed configuration.
/// Thread-safe; the listener is called without the lock held.
class IntentMachine final : public StateMachine {
 public:
  /// Receives every confirmed configuration, also that of a restored snapshot.
  using Listener = std::function<void(
      const Version& version, std::shared_ptr<const Configuration> configuration)>;

  explicit IntentMachine(Listener listener, IntentRetention retention = {});

  /// `entry` is a ControlEntry; the result is a ControlResult.
  std::string Apply(const LogPosition& position, const std::string& entry) override;
  std::string TakeSnapshot() const override;
  void RestoreSnapshot(const LogPosition& position, const std::string& snapshot) override;

  std::optional<IntentRecord> Find(const std::string& id) const;

  /// Result of a request about an id that is not kept: unknown or expired.
  ControlResult MissingResult(const std::string& id) const;

  /// All open records, ascending by number.
  std::vector<IntentRecord> OpenIntents() const;

  /// The confirmed change of the control instances that is under way, if there is one.
  std::optional<IntentRecord> GroupChange() const;

  /// Latest items first, at most `max`.
  std::vector<HistoryItem> History(std::size_t max) const;

  /// Confirmed items later than `since`, oldest first.
  std::vector<HistoryItem> HistorySince(const Version& since) const;

  /// Id of the intent that was confirmed as `version`; empty when it was the system's own
  /// change or is no longer kept.
  std::string IntentConfirmedAs(const Version& version) const;

  /// `order` as the log keeps it (control/order_content.h). Throws Error(kInternalError).
  ReplaceConfiguration Pack(const ReplaceConfiguration& order) const;

  /// Number of the current order; 0: no order was accepted yet.
  std::uint64_t order_number() const;

  /// The document of the current order; none when no order was accepted yet.
  std::optional<std::string> document() const;

  /// The departed backend servers of a node, the latest last.
  std::vector<ServerDeparture> DeparturesOf(const std::string& instance) const;

  /// True when the state covers `departure`.
  bool Covers(const RecordDeparture& departure) const;

  Version version() const;
  std::shared_ptr<const Configuration> configuration() const;

  /// Number for the id of the next intent.
  std::uint64_t next_number() const;

 private:
  using Key = std::pair<std::uint64_t, std::string>;  ///< Number and whole id.

  ControlResult ApplyEntry(const Version& at, const ControlEntry& entry);
  ControlResult Declare(const Version& at, const ControlEntry& entry);
  ControlResult Confirm(const Version& at, const ControlEntry& entry);
  ControlResult Cancel(const ControlEntry& entry);
  ControlResult ChangeBySystem(const Version& at, const ControlEntry& entry);

  // Orders, which replace the whole configuration (intent_machine_order.cc).
  ControlResult Replace(const Version& at, const ControlEntry& entry);
  bool IsAcceptedLocked(const ReplaceConfiguration& order) const;
  void AcceptLocked(const ReplaceConfiguration& order, std::string content);

  // Rollouts of services (intent_machine_rollout.cc).
  ControlResult StartRolloutOf(const Version& at, const ControlEntry& entry);
  ControlResult AdvanceRolloutOf(const Version& at, const ControlEntry& entry);
  static bool StampRolloutPlan(const Version& at, std::uint64_t micros,
                               const IntentRecord& record, Plan* plan);
  void SetRolloutLocked(const Version& at, std::uint64_t micros, const Rollout& rollout,
                        const std::string& step);

  // Changes of the control instances (intent_machine_group.cc).
  IntentRecord* GroupChangeLocked();
  void CheckNoGroupChangeLocked(const ControlInstanceChange& change);
  void PlanGroupChangeLocked(const DeclareIntent& declare, IntentRecord* record);
  ControlResult ConfirmGroupChangeLocked(const ControlEntry& entry, IntentRecord* record);
  ControlResult EndGroupChange(const Version& at, const ControlEntry& entry);

  IntentRecord* FindLocked(const std::string& id);
  ControlResult MissingResultLocked(const std::string& id) const;
  void RefuseOutdatedLocked(std::uint64_t micros, IntentRecord* record);
  void SetConfigurationLocked(const Version& at, Configuration configuration);
  void AddHistoryLocked(HistoryItem item);
  void CloseOldestPlanLocked(std::uint64_t micros);
  void ExpireClosedLocked();
  std::string ChangesSinceLocked(const Version& since) const;

  Listener listener_;
  IntentRetention retention_;

  mutable std::mutex mutex_;
  std::shared_ptr<const Configuration> configuration_;
  Version version_;
  Version operator_version_;
  std::uint64_t declared_count_ = 0;
  std::uint64_t expired_up_to_ = 0;
  std::uint64_t order_number_ = 0;
  std::string replaced_content_;
  std::deque<AcceptedOrder> accepted_orders_;
  std::map<Key, IntentRecord> records_;
  DepartureRegister departures_;
  std::vector<HistoryItem> history_;
};

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_INTENT_MACHINE_H_
