#ifndef QUETZAL_QUOTAS_QUOTA_EXCHANGE_H_
#define QUETZAL_QUOTAS_QUOTA_EXCHANGE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "gossip.pb.h"
#include "quotas/grant_parts.h"
#include "quotas/quota_allocator.h"
#include "quotas/team_limiter.h"

namespace quetzal {

/// A node as the membership knows it.
struct QuotaMember {
  std::string name;
  std::string data_centre;
  std::string gossip_address;
  bool alive = false;  ///< False: dead for less than a minute.
};

/// Name and incarnation of a node.
struct QuotaIdentity {
  std::string instance;
  std::string data_centre;
  std::uint64_t incarnation = 0;
  /// The node has run for some time and knows the fleet. Its teams are not limited until
  /// the first grant can arrive.
  bool knows_fleet = false;
};

/// Reports the usage of this node to a coordinator, applies the grants that come back,
/// and is a coordinator itself for the nodes that report to it. Does no I/O: datagrams
/// are given to a callback. Not thread-safe.
///
/// A node chooses the first live member of its data centre by rendezvous hashing; when
/// that one stays silent, the next one, until the first one answers again. A grant is
/// valid from the time at which the report that it answers was sent, so neither a delayed
/// datagram nor a suspended process extends it.
class QuotaExchange {
 public:
  using Send = std::function<void(const std::string& gossip_address, std::string bytes)>;

  /// Period at which Tick() must be called.
  static constexpr std::chrono::milliseconds kTick{50};

  QuotaExchange(QuotaIdentity self, TeamLimiter* limiter, const Clock* clock, Send send);

  void SetLimits(const TeamLimits& limits);

  /// Sets the nodes, this one included. `joined`: a peer has told its members.
  void SetMembers(std::vector<QuotaMember> members, bool joined);

  void OnDatagram(const GossipDatagram& datagram);
  void Tick();

  /// Coordinator that this node reports to; empty when there is none.
  std::string coordinator() const { return current_ ? current_->name : ""; }

 private:
  /// A coordinator that this node reports to.
  struct Target {
    std::string name;
    SteadyTime granted;  ///< Last grant, or since when one is expected.
    SteadyTime counted;  ///< When `base` was taken.
    /// Asked and admitted up to one window before `counted`.
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> base;
  };
  struct SentReport {
    std::uint64_t nonce = 0;
    SteadyTime sent;
  };
  struct LastMessage {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t nonce = 0;  ///< Of the last report.
  };

  bool settled() const;
  void ApplyNodes();
  Target MakeTarget(const std::string& name) const;
  void ChooseCoordinator();
  void Report();
  void ReportTo(Target* target, const std::vector<TeamCount>& counts);
  /// Teams whose counts changed since the last two reports, so that a lost one is made
  /// up.
  bool MustList(const Target& target, const TeamCount& count) const;
  void Coordinate();
  void SendGrants();
  void SendDemands(bool urgent_only);
  void OnGrant(const GossipDatagram& datagram);
  bool IsNew(const GossipDatagram& datagram);
  void Deliver(const std::string& name, std::uint64_t nonce, QuotaMessage message);

  const QuotaIdentity self_;
  TeamLimiter* limiter_;
  const Clock* clock_;
  Send send_;
  QuotaAllocator allocator_;
  GrantParts grants_;
  std::map<std::string, QuotaMember> members_;
  std::map<std::string, std::size_t> nodes_;  ///< By data centre.
  std::size_t node_count_ = 0;
  std::vector<std::string> ranked_;  ///< Live members of this data centre.
  std::vector<std::string> first_;   ///< First live member of each other data centre.
  std::map<std::string, SteadyTime> silent_;  ///< Until when they are not chosen.
  bool joined_ = false;
  mutable bool settled_ = false;
  SteadyTime grown_;  ///< When the number of known nodes last grew.
  std::optional<Target> current_;
  std::optional<Target> preferred_;  ///< Ranked before `current_`; asked at times.
  std::optional<Target> previous_;   ///< Was silent; may still answer.
  std::map<std::string, std::uint64_t> last_asked_;  ///< As of the last report.
  std::map<std::string, std::uint64_t> second_last_asked_;
  std::map<std::string, double> rates_;  ///< Limits of the teams.
  std::deque<SentReport> sent_;
  std::map<std::string, LastMessage> last_;
  std::uint64_t sequence_ = 0;
  std::uint64_t nonce_;
  SteadyTime last_tick_;
  SteadyTime last_allocation_;
  SteadyTime next_report_;
  SteadyTime next_probe_;
  SteadyTime next_grant_;
  SteadyTime next_demand_;
};

}  // namespace quetzal

#endif  // QUETZAL_QUOTAS_QUOTA_EXCHANGE_H_
