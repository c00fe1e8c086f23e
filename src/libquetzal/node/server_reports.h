#ifndef QUETZAL_NODE_SERVER_REPORTS_H_
#define QUETZAL_NODE_SERVER_REPORTS_H_

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "base/result_code.h"
#include "node/backend_server_monitor.h"

namespace quetzal {

/// What the backend server reports to its node, with the acknowledgements that it gets.
/// Safe to call from any thread.
class ServerReports {
 public:
  /// Calls `done` once other members hold what this node has observed of its server, with
  /// false when they do not within a time that suits the server.
  using AwaitHeld = std::function<void(std::function<void(bool held)> done)>;

  /// kOk: acknowledged. Any other code: not acknowledged; the server reports again.
  using Done = std::function<void(ResultCode code)>;

  ServerReports(BackendServerMonitor* monitor, AwaitHeld await_held)
      : monitor_(monitor), await_held_(std::move(await_held)) {}

  void Heartbeat(const ServerHeartbeat& heartbeat, const Done& done);
  void Leave(const std::string& server_id,
             std::optional<std::chrono::milliseconds> start_time, const Done& done);

 private:
  /// Acknowledges a departure, which must outlive the process of this node.
  void AcknowledgeDeparture(const Done& done);

  BackendServerMonitor* monitor_;
  AwaitHeld await_held_;
};

}  // namespace quetzal

#endif  // QUETZAL_NODE_SERVER_REPORTS_H_
