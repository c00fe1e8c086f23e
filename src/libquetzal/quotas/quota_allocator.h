#ifndef QUETZAL_QUOTAS_QUOTA_ALLOCATOR_H_
#define QUETZAL_QUOTAS_QUOTA_ALLOCATOR_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "quota.pb.h"
#include "quotas/team_limit.h"
#include "quotas/usage_window.h"

namespace quetzal {

/// Divides the quotas among the nodes that report to this coordinator. Does no I/O; not
/// thread-safe.
///
/// Every coordinator computes the same for each team: what the window still allows, less
/// a reserve for nodes that no coordinator has heard from, may be used within kHorizon.
/// While the demand over all data centres is below that rate, the team is not limited.
/// Otherwise a coordinator gets the part of the rate that is its part of the demand.
///
/// Two coordinators of one data centre do not double anything: each one divides only the
/// part that belongs to the nodes that report to it, and counts the others as reserved
/// until it hears from their coordinator.
class QuotaAllocator {
 public:
  QuotaAllocator(std::string data_centre, const Clock* clock);

  void SetLimits(const TeamLimits& limits);

  /// Sets the number of nodes of each data centre, recently dead ones included.
  void SetNodes(std::map<std::string, std::size_t> nodes);

  /// Counts are those since 5 s before the node began to report to this coordinator.
  void OnReport(const std::string& node, std::uint64_t incarnation,
                const UsageReport& report);

  /// Returns true when that coordinator had not been heard from lately.
  bool OnDemand(const std::string& coordinator, const DemandReport& report);

  /// Computes the shares from what was reported until now.
  void Allocate();

  /// True while nodes report to this coordinator.
  bool active() const { return active_; }

  /// True once the nodes and the other coordinators had time to report, so that grants
  /// may be sent.
  bool ready() const;

  /// A share became so much smaller since MarkGranted() that nodes should learn it at
  /// once.
  bool grants_urgent() const { return grants_urgent_; }
  void MarkGranted();

  /// Demand grew so much since it was taken that the others should learn it at once.
  bool demands_urgent() const { return demands_urgent_; }

  /// Nodes that report to this coordinator.
  std::vector<std::string> nodes() const;

  /// Shares of the limited teams for `node`.
  std::vector<TeamShare> SharesFor(const std::string& node) const;

  /// Demand of the nodes that report here, for the other coordinators. Teams far below
  /// their quota are included in one of four calls. `urgent_only`: only teams whose
  /// demand grew much.
  std::vector<TeamDemand> TakeDemands(bool urgent_only);

  /// Other coordinators heard from lately.
  std::vector<std::string> coordinators() const;

 private:
  struct Usage {
    std::uint64_t asked = 0;
    std::uint64_t admitted = 0;
    double per_second = 0;  ///< Demand, as of `updated`.
    SteadyTime updated;

    double Demand(SteadyTime now) const;
  };
  struct Node {
    std::uint64_t incarnation = 0;
    SteadyTime heard;
    std::map<std::string, Usage> usage;
  };
  struct RemoteDemand {
    double per_second = 0;
    double admitted = 0;
    SteadyTime updated;
  };
  struct Coordinator {
    std::string data_centre;
    std::size_t nodes = 0;
    SteadyTime heard;
    std::map<std::string, RemoteDemand> demands;
  };
  struct Team {
    TeamLimit limit;
    UsageWindow reported;      ///< Admitted while this coordinator counted.
    UsageWindow earlier;       ///< Admitted before that, times unknown.
    SteadyTime limited_since;  ///< When its limit was first set.
    double demand = 0;         ///< Of the nodes that report here.
    double admitted = 0;
    double peak = 0;  ///< Of the demand of all nodes, decaying.
    bool limited = false;
    double rate = 0;        ///< Of all nodes, when limited.
    double per_second = 0;  ///< Of the nodes that report here, when limited.
    bool was_limited = false;
    double granted_per_second = 0;
    double sent_demand = 0;
    bool grew = false;   ///< Demand, since it was sent.
    bool quiet = false;  ///< Far below the quota.
    int skipped = 0;     ///< Calls of TakeDemands that left it out.
  };
  struct Coverage {
    std::size_t all = 0;
    std::size_t own = 0;
    std::size_t heard = 0;  ///< Over all coordinators, at most `all`.
    std::map<std::string, std::size_t> missing;  ///< By data centre.
  };

  void Update(const TeamUsage& usage, Usage* known, bool first, Team* team);
  Coverage Cover() const;
  void AllocateTeam(const Coverage& coverage, Team* team);
  double Reserve(const Coverage& coverage, const Team& team, double window) const;
  bool Heard(const Node& node) const;
  bool Heard(const Coordinator& coordinator) const;

  const std::string data_centre_;
  const Clock* clock_;
  const SteadyTime created_;
  SteadyTime began_;  ///< To hear from nodes, after none reported.
  bool active_ = false;
  std::size_t reporting_ = 0;  ///< Nodes heard from, as of the last Allocate().
  SteadyTime allocated_;
  double peak_decay_ = 0;    ///< Since the Allocate() before.
  bool most_heard_ = false;  ///< Likewise, most nodes over all coordinators.
  std::map<std::string, Team> teams_;
  std::map<std::string, std::size_t> nodes_by_data_centre_;
  std::map<std::string, Node> nodes_;
  std::map<std::string, Coordinator> coordinators_;
  bool grants_urgent_ = false;
  bool demands_urgent_ = false;
};

}  // namespace quetzal

#endif  // QUETZAL_QUOTAS_QUOTA_ALLOCATOR_H_
