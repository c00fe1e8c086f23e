#ifndef QUETZAL_NODE_BACKEND_SERVER_MONITOR_H_
#define QUETZAL_NODE_BACKEND_SERVER_MONITOR_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/event_log.h"
#include "calls/call_path.h"
#include "node/crash_detector.h"
#include "node/crash_log.h"
#include "node/departed_servers.h"

namespace quetzal {

/// Heartbeat of one incarnation of a backend server. Heartbeats are ordered by
/// (start_time, sequence), also across incarnations.
struct ServerHeartbeat {
  std::string id;  ///< Of the incarnation.
  std::string service;
  Endpoint address;
  std::uint32_t slots = 0;
  bool leaving = false;
  std::chrono::milliseconds start_time{};  ///< Of the incarnation, wall time since 1970.
  std::uint64_t sequence = 0;
  std::string version;  ///< Of the server's software; empty: not stated.
};

/// Holds the last announcement of the local backend server and marks the server down when
/// announcements stop. Thread-safe; the mutex is held while the observer runs, so that
/// the observer receives changes in their order.
class BackendServerMonitor {
 public:
  using Observer = std::function<void(const LocalBackendServer& server)>;

  BackendServerMonitor(Duration timeout, const Clock* clock, EventLog* events,
                       Observer observer);

  /// Records an announcement: a JSON object with service, address, slots and connections.
  /// Throws Error(kRequestMalformed), or Error(kNodeStopping) after Stop().
  void Announce(const std::string& json);

  /// Records a heartbeat. Ignores one that is older than the latest recorded one; an
  /// incarnation that is leaving stays so, whatever the order of arrival. Throws
  /// Error(kRequestMalformed) for a start far in the future, which would be later than
  /// those of all heartbeats to come, and Error(kNodeStopping) after Stop().
  void RecordHeartbeat(const ServerHeartbeat& heartbeat);

  /// Records that the server process `id` leaves, also before its first heartbeat. A
  /// later start than `start_time` is not concerned; without it, the current incarnation
  /// leaves. Throws as RecordHeartbeat does.
  void RecordLeave(const std::string& id,
                   std::optional<std::chrono::milliseconds> start_time = std::nullopt);

  /// Records that an answer of the server process `id` says that it leaves.
  void RecordLeavingAnswer(const std::string& id);

  /// From now on a server is not used before FormerObservationsKnown().
  void AwaitFormerObservations();

  /// All that earlier runs of this node have acknowledged is recorded.
  void FormerObservationsKnown();

  /// Adds what an earlier run of this node observed, unless it is known already.
  void RecordFormerObservations(const ServerObservations& observations);

  void RecordCut(const CutRequest& cut);

  /// Tells the fleet that these crashes no longer count against the request.
  void Acquit(const Acquittal& acquittal);

  /// The same, as a trial at the local backend server showed.
  void RecordTrialPassed(const Acquittal& acquittal);

  /// Forgets which other requests ran in the crashes that these caused, and requests that
  /// were acquitted of their crashes.
  void RecordCrashingRequests(const CrashingRequests& causes);

  /// Marks the server as leaving, so that it gets no new requests.
  void MarkLeaving();

  /// Marks a server that refused a connection as down until its next announcement or
  /// heartbeat.
  void MarkUnreachable();

  /// Marks the server as down once announcements and heartbeats have stopped for the
  /// timeout, and reports crashes. Call regularly.
  void Tick();

  /// Marks the server as leaving for good, since the node stops; later announcements are
  /// refused.
  void Stop();

  LocalBackendServer server() const;

  /// Crashes of backend servers while requests ran on them.
  std::uint64_t crashes() const;

 private:
  std::chrono::milliseconds WallMillis() const;
  /// Throws Error(kRequestMalformed) for a time far in the future.
  void CheckStartTime(std::chrono::milliseconds start_time) const;
  void SetServerLocked(LocalBackendServer server);
  ServerObservations ObservationsLocked() const;
  void RecordFormerDepartureLocked(const BackendDeparture& departure);
  /// Marks the server as leaving if its incarnation is among departed_.
  void ApplyDepartureLocked();
  void ReportCrashLocked();
  void EmitHeartbeat(const ServerHeartbeat& heartbeat, const char* outcome);

  const Duration timeout_;
  const Clock* clock_;
  EventLog* events_;
  Observer observer_;
  mutable std::mutex mutex_;
  LocalBackendServer server_;
  SteadyTime last_contact_at_;
  ServerHeartbeat heartbeat_;  ///< The latest; its id is empty before the first one.
  DepartedServers departed_;
  CrashDetector crash_detector_;
  CrashLog crash_log_;
  std::uint64_t crashes_ = 0;
  bool awaits_former_ = false;
  bool stopped_ = false;
};

/// Returns the name of a state: "up", "leaving", "down", "starting" or "none".
std::string ServerStateName(ServerState state);

}  // namespace quetzal

#endif  // QUETZAL_NODE_BACKEND_SERVER_MONITOR_H_
