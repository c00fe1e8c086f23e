#ifndef QUETZAL_DISTRIBUTION_ACK_TABLE_H_
#define QUETZAL_DISTRIBUTION_ACK_TABLE_H_

#include <map>
#include <string>

#include "base/clock.h"
#include "distribution.pb.h"
#include "membership/member_table.h"

namespace quetzal {

/// The last report of this node and of every node that it reports for. Reports are kept
/// and forwarded per node, unchanged; they are never aggregated.
class AckTable {
 public:
  /// Records a node's own report, which is `age_ms` old. Ignores a report of an earlier
  /// incarnation.
  void RecordAck(const NodeAck& ack, SteadyTime now);

  /// Records a node's state as membership reports it: dead, left, or alive again.
  void RecordMemberState(const Member& member, SteadyTime now);

  /// Returns the reports not sent yet and marks them as sent. `all`: returns every report
  /// in full (after a change of source).
  Acks TakeChanged(bool all, SteadyTime now);

  /// Returns a short report with the age of each unchanged report.
  Acks Ages(SteadyTime now) const;

  /// Removes reports older than `age`, except those of nodes that died or left.
  void ExpireOlderThan(Duration age, SteadyTime now);

  /// Removes dead and left nodes that `table` no longer contains.
  void ExpireUnknown(const MemberTable& table);

  bool has_changes() const { return changes_ != 0; }
  std::size_t size() const { return reports_.size(); }

 private:
  struct Report {
    NodeAck ack;
    SteadyTime reported_at;  ///< When the node itself made the report.
    bool changed = false;
  };

  void MarkChanged(Report* report);
  static std::uint64_t AgeMs(const Report& report, SteadyTime now);

  std::map<std::string, Report> reports_;
  std::size_t changes_ = 0;
};

}  // namespace quetzal

#endif  // QUETZAL_DISTRIBUTION_ACK_TABLE_H_
