#ifndef QUETZAL_NODE_NODE_ADMIN_H_
#define QUETZAL_NODE_NODE_ADMIN_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "calls/call_path.h"
#include "distribution/node_distribution.h"
#include "net/admin_server.h"
#include "node/backend_server_monitor.h"
#include "quotas/team_limiter.h"

namespace quetzal {

/// State of a node for its status, its list of members and its metrics.
struct NodeReport {
  std::string instance;
  std::string data_centre;
  std::uint64_t incarnation = 0;
  NodeDistribution::Status distribution;
  std::vector<Member> members;
  LocalBackendServer server;
  std::uint64_t crashes = 0;  ///< Of the backend server while requests ran on it.
  std::shared_ptr<const CrashingRequests> crashing;  ///< Null when none are known.
  CallCounts calls;
  std::vector<TeamCount> teams;    ///< Of all teams with or without a quota, by name.
  bool credentials_proved = true;  ///< See CredentialLease.
  std::size_t key_records = 0;
  std::size_t key_bytes = 0;
  std::size_t peer_streams = 0;
  std::size_t http_streams = 0;
};

/// Answers a request to the admin address: announcements, status, members, metrics.
AdminResponse AnswerAdmin(const AdminRequest& request, BackendServerMonitor* backend,
                          const std::function<NodeReport()>& report,
                          const MetricsFormat& metrics);

}  // namespace quetzal

#endif  // QUETZAL_NODE_NODE_ADMIN_H_
