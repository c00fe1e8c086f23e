#ifndef QUETZAL_CALLS_ROUTING_SNAPSHOT_H_
#define QUETZAL_CALLS_ROUTING_SNAPSHOT_H_

#include <memory>
#include <string>
#include <vector>

#include "base/settings.h"
#include "calls/crashing_requests.h"
#include "configuration.pb.h"
#include "membership.pb.h"

namespace quetzal {

/// One backend server that requests can be sent to, through the node of its instance.
struct BackendTarget {
  std::string instance;
  std::string data_centre;
  std::uint64_t incarnation = 0;  ///< Of the node.
  Endpoint stream_address;
  std::string service;
  std::uint32_t slots = 0;
  ServerState state = SERVER_NONE;
  std::string version;  ///< Of the server's software; empty: not stated.
};

/// Routing data of a node: one confirmed configuration and the live backend servers.
/// Immutable; a node replaces the whole snapshot atomically.
struct RoutingSnapshot {
  Version version;
  std::shared_ptr<const Configuration> configuration;
  std::vector<BackendTarget> targets;  ///< Sorted by service, then instance.
  std::shared_ptr<const CrashingRequests> crashing;  ///< Null when none are known.

  bool HasSuspects() const { return crashing != nullptr && !crashing->empty(); }
};

/// Provides the current snapshot. Safe for use from several threads.
class RoutingSource {
 public:
  virtual ~RoutingSource() = default;

  /// The current snapshot; null while the node may not serve (no configuration applied
  /// yet, or not confirmed as fresh since the start).
  virtual std::shared_ptr<const RoutingSnapshot> snapshot() const = 0;

  /// False while a credential of a snapshot fetched from now on may have been withdrawn
  /// too long ago; see CredentialLease.
  virtual bool credentials_proved() const { return true; }
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_ROUTING_SNAPSHOT_H_
