#ifndef QUETZAL_DISTRIBUTION_NODE_DISTRIBUTION_CORE_H_
#define QUETZAL_DISTRIBUTION_NODE_DISTRIBUTION_CORE_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "distribution/ack_table.h"
#include "distribution/credential_lease.h"
#include "distribution/departure_link.h"
#include "distribution/fanout.h"
#include "distribution/freshness_check.h"
#include "distribution/node_configuration.h"
#include "distribution/node_distribution.h"
#include "distribution/record_witnesses.h"
#include "distribution/source_link.h"
#include "membership/membership.h"
#include "membership/membership_link.h"
#include "quotas/quota_exchange.h"

namespace quetzal {

/// Implementation of NodeDistribution. Private functions run on the executor.
class NodeDistribution::Core
    : public std::enable_shared_from_this<NodeDistribution::Core> {
 public:
  Core(NodeIdentity identity, NodeDistributionSettings settings,
       const Dependencies& dependencies);

  void Start();
  void SetBackendServer(const BackendServer& server);
  void AwaitHeld(Duration limit, std::function<void(bool held)> done);
  void AnnounceLeaving();
  void Leave(std::function<void()> done);
  void Stop();

  RoutingSource& routing() { return configuration_; }
  std::vector<Member> members() const;
  Status status() const;
  Endpoint gossip_address() const;
  std::uint64_t incarnation() const { return incarnation_; }

 private:
  void Post(std::function<void(Core*)> task);
  void Emit(const std::string& name,
            std::vector<std::pair<std::string, std::string>> fields);

  void ServePeers();
  void Tick();
  void TickFreshness();
  void TickCredentialLease();
  void TickRepair();
  void TickAcks();
  void TickLeaving();
  void RunMembership();

  // Members that hold this node's record (node_distribution_core_witnesses.cc).
  void TickWitnesses();
  void AskWitness(const Endpoint& witness);
  void MakeDepartureLink();
  bool FormerKnown() const;
  /// True while the log of the control instances keeps departures.
  bool HasLog() const { return departure_link_ != nullptr; }

  void OnMembershipChanged();
  void EmitMemberEvents();
  void RefreshTargets();
  void RefreshCrashingRequests();
  void EmitCrashingRequests(const CrashingRequests& latest);
  void RefreshQuotas();
  void RefreshQuotaMembers();
  void TickQuotas();
  bool WaitsForMembers() const;
  void RefreshSources();
  void RefreshStatus();
  /// Names of the nodes that take part and for which `test` is true.
  template <class Test>
  std::vector<std::string> NodesWhere(Test test) const;
  std::vector<std::string> LocalMembers(bool with_self, bool with_leaving) const;
  std::vector<std::string> RemoteMembers() const;
  std::vector<std::string> RankedControls() const;

  Subscribe MakeSubscribe() const;
  void OnDown(const DownMessage& message);
  void OnSourceLost();
  void OnUpdate(const ConfigurationUpdate& update);
  void OnApplied();
  void OnVerified(const Verified& verified);
  void Refuse(ResultCode code, const Version& version);
  void Resync(const Version& applied);
  void ConfirmFresh(const Version& floor, const char* by);
  void MarkStale(const char* reason);
  void AskPeers();
  void PollPeers();
  void Fetch(const std::string& peer_name);

  ResultCode Admit(const Subscribe& subscribe) const;
  void AskUpstream(std::uint64_t question);
  void SendUpstreamQuestion();
  std::vector<std::string> SomeAddresses();
  NodeAck MakeAck() const;
  void AddVersionCounts(NodeAck* ack) const;
  void TickCounts();
  void RecordOwnAck();
  void SendAcksSoon();
  void SendAcks(const Acks& acks);

  NodeIdentity identity_;
  NodeDistributionSettings settings_;
  Dependencies dependencies_;
  CredentialLease credential_lease_;
  NodeConfiguration configuration_;
  FreshnessCheck freshness_check_;
  /// A caller of AwaitHeld.
  struct HoldWait {
    RecordNumber record;
    ServerDeparture departure;
    SteadyTime until;
    std::function<void(bool held)> done;
  };

  std::unique_ptr<Membership> membership_;
  std::unique_ptr<RecordWitnesses> witnesses_;
  std::shared_ptr<DepartureLink> departure_link_;  ///< Null without control instances.
  std::vector<HoldWait> hold_waits_;
  bool asked_witnesses_ = false;  ///< A majority has answered since the start.
  std::shared_ptr<MembershipLink> membership_link_;
  std::shared_ptr<SourceLink> link_;
  std::unique_ptr<Fanout> fanout_;
  AckTable ack_table_;
  std::unique_ptr<QuotaExchange> quotas_;  ///< Null while no team has a quota.
  std::unique_ptr<Timer> quota_timer_;
  SteadyTime next_quota_members_;
  std::string quota_coordinator_;  ///< As last emitted.
  std::unique_ptr<Timer> timer_;
  std::unique_ptr<Timer> ack_timer_;
  std::unique_ptr<Timer> upstream_timer_;
  std::map<std::string, MemberState> reported_states_;
  std::string observations_;  ///< Of all members, serialized, without departures.
  std::shared_ptr<const CrashingRequests> crashing_;  ///< Null when there are none.
  std::uint64_t seen_revision_ = 0;
  std::uint64_t seen_false_death_reports_ = 0;
  bool has_sources_ = false;
  bool starting_ = true;  ///< No configuration yet; control instances are preferred.
  bool relay_ = false;
  bool credentials_proved_ = false;  ///< As the last event states it.
  void BeginLeaving();

  bool leaving_ = false;
  bool leave_requested_ = false;  ///< Leave() was called, not only AnnounceLeaving().
  bool departed_ = false;
  std::function<void()> on_left_;
  SteadyTime started_at_;
  SteadyTime leave_requested_at_;
  SteadyTime departed_at_;
  SteadyTime next_heartbeat_;
  SteadyTime next_ack_;
  SteadyTime next_counts_;
  SteadyTime behind_since_;
  SteadyTime next_repair_;
  SteadyTime next_poll_;
  SteadyTime quorum_backed_at_;
  bool behind_ = false;
  Version refused_;
  ResultCode refused_code_ = ResultCode::kOk;
  std::uint64_t upstream_nonce_ = 0;
  std::uint64_t upstream_question_ = 0;
  SteadyTime upstream_asked_at_;
  std::atomic<bool> stopped_{false};
  std::atomic<std::uint64_t> incarnation_{0};

  mutable std::mutex mutex_;  ///< Guards the members below.
  Status status_;
  Endpoint gossip_address_;
  std::shared_ptr<const std::vector<Member>> members_;
};

}  // namespace quetzal

#endif  // QUETZAL_DISTRIBUTION_NODE_DISTRIBUTION_CORE_H_
