#ifndef QUETZAL_MEMBERSHIP_MEMBERSHIP_LINK_H_
#define QUETZAL_MEMBERSHIP_MEMBERSHIP_LINK_H_

#include <memory>
#include <string>

#include "kernel/executor.h"
#include "membership/membership.h"
#include "net/datagram.h"
#include "net/rpc.h"

namespace quetzal {

/// Joins a Membership to its datagram socket and to the exchanges of tables between
/// instances. Functions are called on the executor, but for Bind and Serve.
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

  /// Receives datagrams; returns the address in use. Throws Error(kPortTaken).
  Endpoint Bind(const Endpoint& endpoint);

  /// Answers exchanges.
  void Serve();

  /// Carries out what the membership wants done.
  void Run();

  /// Nothing is received or answered any more.
  void Stop() { stopped_ = true; }

 private:
  void Exchange(const MembershipAction& action);

  Membership* membership_;
  Dependencies dependencies_;
  bool stopped_ = false;
};

}  // namespace quetzal

#endif  // QUETZAL_MEMBERSHIP_MEMBERSHIP_LINK_H_
