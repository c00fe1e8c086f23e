#ifndef QUETZAL_MEMBERSHIP_MEMBERSHIP_LINK_H_
#define QUETZAL_MEMBERSHIP_MEMBERSHIP_LINK_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "kernel/executor.h"
#include "membership/membership.h"
#include "net/datagram.h"
#include "net/rpc.h"

namespace quetzal {

/// Connects a Membership to its datagram socket and to the RPCs that exchange tables
/// between instances. All functions except Bind and Serve must be called on the executor.
class MembershipLink : public std::enable_shared_from_this<MembershipLink> {
 public:
  struct Dependencies {
    DatagramSocket* datagrams = nullptr;
    RpcClient* rpc_client = nullptr;
    RpcServer* rpc_server = nullptr;
    Executor* executor = nullptr;
  };

  MembershipLink(Membership* membership, const Dependencies& dependencies)
      : membership_(membership), dependencies_(dependencies) {}

  /// Starts to receive datagrams; returns the bound address. Throws Error(kPortTaken).
  Endpoint Bind(const Endpoint& endpoint);

  /// Starts to answer table exchanges.
  void Serve();

  /// Gives datagrams about quotas to `receiver`, on the executor; the membership never
  /// sees them. Without a receiver they are ignored.
  void SetQuotaReceiver(std::function<void(const GossipDatagram&)> receiver) {
    quota_receiver_ = std::move(receiver);
  }

  /// Sends a datagram that does not concern the membership.
  void Send(const Endpoint& to, std::string bytes);

  /// Asks `peer` to hold this instance's record. Calls `done` on the executor.
  void ExchangeRecord(const Endpoint& peer, std::function<void(bool held)> done);

  /// Carries out the pending actions of the membership.
  void Run();

  /// Ignores all further datagrams and exchanges.
  void Stop() { stopped_ = true; }

 private:
  void OnDatagram(const Endpoint& from, const std::string& bytes);
  void Exchange(const MembershipAction& action);

  Membership* membership_;
  Dependencies dependencies_;
  std::function<void(const GossipDatagram&)> quota_receiver_;
  bool stopped_ = false;
};

}  // namespace quetzal

#endif  // QUETZAL_MEMBERSHIP_MEMBERSHIP_LINK_H_
