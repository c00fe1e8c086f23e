#ifndef QUETZAL_NODE_BACKEND_SERVER_WATCH_H_
#define QUETZAL_NODE_BACKEND_SERVER_WATCH_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

#include "base/clock.h"
#include "calls/call_path.h"

namespace quetzal {

/// What one incarnation of a backend server says of itself. Ordered by (born, sequence).
struct ServerHeartbeat {
  std::string id;  ///< Of the incarnation.
  std::string service;
  Endpoint address;
  std::uint32_t slots = 0;
  bool leaving = false;
  std::chrono::milliseconds born{};  ///< Start of the incarnation, wall time since 1970.
  std::uint64_t sequence = 0;
};

/// What the own backend server last announced, and whether it still does. Safe for use
/// from several threads; its mutex is held while the observer runs, so that the observer
/// hears of changes in their order.
class BackendServerWatch {
 public:
  using Observer = std::function<void(const LocalBackendServer& server)>;

  BackendServerWatch(Duration timeout, const Clock* clock, Observer observer);

  /// Takes an announcement in: a JSON object with service, address, slots and
  /// connections. Throws Error(kRequestMalformed), or Error(kNodeStopping) after Stop().
  void Announce(const std::string& json);

  /// Takes a heartbeat in. One that is older than what is known changes nothing, and an
  /// incarnation that has left stays so. Throws Error(kNodeStopping) after Stop().
  void TakeHeartbeat(const ServerHeartbeat& heartbeat);

  /// The incarnation `id` leaves; any other is not touched. Throws as TakeHeartbeat.
  void TakeLeave(const std::string& id);

  /// The backend server leaves: no new work for it.
  void Leave();

  /// The backend server refused a connection: it counts as down until it is heard of.
  void NoteUnreachable();

  /// Notices that announcements have stopped.
  void Tick();

  /// The node stops: the backend server counts as leaving from now on.
  void Stop();

  LocalBackendServer server() const;

 private:
  void SetLocked(LocalBackendServer server);

  const Duration timeout_;
  const Clock* clock_;
  Observer observer_;
  mutable std::mutex mutex_;
  LocalBackendServer server_;
  SteadyTime heard_;
  ServerHeartbeat heartbeat_;  ///< The latest; empty id: none came.
  bool stopped_ = false;
};

/// Name of a state in reports: "up", "leaving", "down", "starting" or "none".
std::string ServerStateName(ServerState state);

}  // namespace quetzal

#endif  // QUETZAL_NODE_BACKEND_SERVER_WATCH_H_
