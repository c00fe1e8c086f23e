#ifndef QUETZAL_MEMBERSHIP_MEMBERSHIP_H_
#define QUETZAL_MEMBERSHIP_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "base/settings.h"
#include "gossip.pb.h"
#include "membership/gossip_queue.h"
#include "membership/member_table.h"
#include "membership/reachability.h"
#include "membership/version_order.h"

namespace quetzal {

/// Periods, timeouts and bounds of the failure detector.
struct MembershipSettings {
  Duration probe_period = std::chrono::seconds(1);
  Duration ack_timeout = std::chrono::milliseconds(300);
  Duration gossip_period = std::chrono::milliseconds(200);
  Duration suspicion = std::chrono::seconds(3);
  Duration join_retry = std::chrono::milliseconds(500);
  Duration exchange_pause = std::chrono::seconds(5);  ///< Minimum between exchanges.
  Duration dead_retention =
      std::chrono::minutes(10);  ///< How long dead members are kept.
  Duration left_retention =
      std::chrono::minutes(2);  ///< How long members that left are kept.
  Duration takeover_after = std::chrono::seconds(30);  ///< See identity_taken_over().
  std::uint32_t indirect_probes = 3;
  std::uint32_t gossip_fanout = 3;
  std::uint32_t remote_probe_percent = 20;  ///< Share of probes to other data centres.
  std::size_t datagram_bytes = 1200;
};

/// An action for the caller to carry out: send a datagram, or exchange tables with a
/// peer.
struct MembershipAction {
  enum class Kind { kSend, kExchange };
  Kind kind = Kind::kSend;
  Endpoint to;        ///< Gossip address (kSend) or stream address (kExchange).
  std::string bytes;  ///< Datagram or serialized TableExchange.
};

/// The members of the whole fleet as one node sees them (SWIM with locality). Does no
/// I/O: its inputs are datagrams, replies and the clock, its outputs are actions. Not
/// thread-safe.
///
/// Every record is owned by the instance that it describes. Only members of the same data
/// centre declare an instance dead; a node assesses other data centres as a whole, by
/// whether they can be reached.
class Membership {
 public:
  Membership(MembershipSettings settings, Member self, std::vector<Endpoint> seeds,
             const Clock* clock, Random* random);

  /// Runs probes, timeouts and gossip. Must be called at least every gossip period.
  void Tick();

  void OnDatagram(const Endpoint& from, const std::string& bytes);

  /// Handles a peer's serialized TableExchange; returns the serialized answer.
  std::string OnExchange(const std::string& request);

  /// Merges the answer to an exchange; may start a second one to push newer records.
  void OnExchangeReply(const Endpoint& peer, const std::string& reply);

  /// Returns a TableExchange that asks a peer to hold this instance's record.
  std::string MakeRecordRequest() const;

  /// Handles the answer to MakeRecordRequest; returns true when the peer holds the
  /// record.
  bool OnRecordReply(const std::string& reply);

  /// Adds gossip addresses at which members may be found.
  void AddSeeds(const std::vector<Endpoint>& seeds);

  void SetServer(const BackendServer& server);
  void SetAddresses(const Endpoint& gossip, const Endpoint& stream,
                    const Endpoint& caller);

  /// Announces that this instance is leaving or, with `left`, that it has left.
  void Leave(bool left);

  /// Sets the version that this instance has applied; every datagram carries it.
  void SetAppliedVersion(const Version& applied);

  /// Returns the actions added since the last call.
  std::vector<MembershipAction> TakeActions();

  const Member& self() const { return self_; }
  std::uint64_t incarnation() const { return self_.incarnation(); }
  const MemberTable& table() const { return table_; }
  const Reachability& reachability() const { return reachability_; }

  /// Highest version that any member reported as applied or known.
  const Version& known_version() const { return known_; }

  /// Members of the same data centre that reported `version` or a later one as applied.
  std::vector<std::string> MembersWithVersion(const Version& version) const;

  /// Increases with every change of the table, of reachability or of the own record.
  std::uint64_t revision() const { return revision_; }

  /// Number of times that this instance learned that others had declared it dead.
  std::uint64_t false_death_reports() const { return false_death_reports_; }

  /// Returns the observations that this instance, or an earlier incarnation of it,
  /// published as a peer knows them; null if no peer has told any since the last call.
  std::optional<ServerObservations> TakeFormerObservations();

  /// True once at least one exchange with a peer has completed.
  bool joined() const { return joined_; }

  /// True when another process uses this instance's name with a higher incarnation, first
  /// seen more than `takeover_after` after the start. This process must not serve then.
  bool identity_taken_over() const { return identity_taken_over_; }

 private:
  struct Probe {
    std::uint64_t nonce = 0;
    std::string target;  ///< Instance probed.
    std::string data_centre;
    SteadyTime sent;
    bool indirect = false;
    bool reachability_check = false;
  };
  struct Forwarded {
    std::uint64_t nonce = 0;
    std::uint64_t origin_nonce = 0;
    Endpoint origin;
    SteadyTime sent;
  };
  using Entries = std::vector<const MemberTable::Entry*>;

  void TickAfterPause(Duration gap);
  void TickProbes(SteadyTime now);
  void TickSuspicions(SteadyTime now);
  void TickGossip(SteadyTime now);
  void TickJoin(SteadyTime now);
  void TickRetention(SteadyTime now);

  const MemberTable::Entry* NextTarget();
  const MemberTable::Entry* NextLocalTarget();
  void SendProbe(const MemberTable::Entry& target, bool reachability_check,
                 SteadyTime now);
  void SendPingRequests(Probe* probe);
  void OnProbeFailed(const Probe& probe, SteadyTime now);
  void OnRemoteProbeFailed(const Probe& probe, SteadyTime now);

  void OnPing(const Endpoint& from, const GossipDatagram& datagram);
  void OnPingRequest(const Endpoint& from, const GossipDatagram& datagram);
  void OnAck(const GossipDatagram& datagram);
  void RecordContact(const GossipDatagram& datagram);
  void CompareDigest(const GossipDatagram& datagram);
  /// Makes the next contact with a different table lead to an exchange.
  void ExpectMissedUpdates();

  void Apply(const Member& update, bool disseminate);
  void Apply(const Reach& reach);
  void Refute(const Member& report);
  void PublishSelf();
  void Disseminate(const Member& update);
  void Declare(const MemberTable::Entry& entry, MemberState state);
  void Send(const Endpoint& to, bool local, GossipDatagram* datagram);
  void StartExchange(const Endpoint& stream_address);
  bool HoldsAsSent(const Member& record) const;
  /// Learns what a peer knows of earlier processes of this instance.
  void LearnOfSelf(const TableExchange& answer);
  bool IsLocal(const Member& member) const;
  Entries Select(bool local, bool remote, const std::string& except) const;

  MembershipSettings settings_;
  Member self_;
  std::vector<Endpoint> seeds_;
  const Clock* clock_;
  Random* random_;
  MemberTable table_;
  GossipQueue queue_;
  Reachability reachability_;
  std::vector<Probe> probes_;
  std::vector<Forwarded> forwarded_;
  std::vector<std::string> probe_order_;
  std::map<std::string, SteadyTime> suspicions_;
  std::map<std::string, Version> applied_versions_;
  std::optional<ServerObservations> former_observations_;
  std::vector<MembershipAction> actions_;
  Version applied_version_;
  Version known_;
  SteadyTime started_;
  SteadyTime last_tick_;
  SteadyTime next_probe_;
  SteadyTime next_gossip_;
  SteadyTime next_join_;
  SteadyTime next_exchange_;
  SteadyTime next_retention_;
  std::uint64_t next_nonce_;
  std::uint64_t revision_ = 1;
  std::uint64_t false_death_reports_ = 0;
  std::uint32_t digest_mismatches_ = 0;
  bool missed_updates_ = false;  ///< Probably; until the next exchange.
  bool joined_ = false;
  bool identity_taken_over_ = false;
};

}  // namespace quetzal

#endif  // QUETZAL_MEMBERSHIP_MEMBERSHIP_H_
