#include "node/backend_server_monitor.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "base/result_code.h"

namespace quetzal {
namespace {

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::uint32_t kMaxSlots = 100000;

/// Clocks of a backend server and its node differ by less.
constexpr std::chrono::hours kMaxClockDifference{1};

using Json = nlohmann::json;

[[noreturn]] void ThrowMalformed(const std::string& what) {
  throw Error(ResultCode::kRequestMalformed, what);
}

std::uint32_t CountOf(const Json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_number_unsigned() || it->get<std::uint64_t>() == 0 ||
      it->get<std::uint64_t>() > kMaxSlots) {
    ThrowMalformed(std::string(name) + " is not a number from 1 to " +
                   std::to_string(kMaxSlots));
  }
  return it->get<std::uint32_t>();
}

std::string TextOf(const Json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_string()) {
    ThrowMalformed(std::string(name) + " is not a string");
  }
  std::string text = it->get<std::string>();
  if (text.empty() || text.size() > kMaxNameBytes) {
    ThrowMalformed(std::string(name) + " is empty or longer than " +
                   std::to_string(kMaxNameBytes) + " bytes");
  }
  return text;
}

LocalBackendServer ParseAnnouncement(const std::string& text) {
  const Json object = Json::parse(text, nullptr, false);
  if (!object.is_object()) ThrowMalformed("the announcement is not a JSON object");
  LocalBackendServer server;
  server.service = TextOf(object, "service");
  try {
    server.address = ParseEndpoint(TextOf(object, "address"));
  } catch (const Error& error) {
    ThrowMalformed(std::string("address: ") + error.what());
  }
  server.slots = CountOf(object, "slots");
  server.connections = CountOf(object, "connections");
  server.state = SERVER_UP;
  return server;
}

bool Same(const LocalBackendServer& a, const LocalBackendServer& b) {
  return a.service == b.service && a.address == b.address && a.slots == b.slots &&
         a.connections == b.connections && a.state == b.state && a.id == b.id &&
         a.version == b.version &&
         a.observations.has_value() == b.observations.has_value() &&
         (!a.observations ||
          a.observations->SerializeAsString() == b.observations->SerializeAsString());
}

}  // namespace

BackendServerMonitor::BackendServerMonitor(Duration timeout, const Clock* clock,
                                           EventLog* events, Observer observer)
    : timeout_(timeout),
      clock_(clock),
      events_(events),
      observer_(std::move(observer)),
      crash_detector_(clock),
      crash_log_(clock) {}

void BackendServerMonitor::Announce(const std::string& json) {
  LocalBackendServer server = ParseAnnouncement(json);
  std::lock_guard<std::mutex> lock(mutex_);
  if (stopped_) throw Error(ResultCode::kNodeStopping, "this node is stopping");
  last_contact_at_ = clock_->Now();
  SetServerLocked(std::move(server));
}

void BackendServerMonitor::RecordHeartbeat(const ServerHeartbeat& heartbeat) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (stopped_) throw Error(ResultCode::kNodeStopping, "this node is stopping");
  CheckStartTime(heartbeat.start_time);
  const bool departed = departed_.Contains(heartbeat.id, heartbeat.start_time);
  if (heartbeat.leaving) departed_.Add({heartbeat.id, heartbeat.start_time});
  if (heartbeat.start_time < heartbeat_.start_time) {
    return EmitHeartbeat(heartbeat, "former_incarnation");
  }
  const bool same_incarnation =
      heartbeat.id == heartbeat_.id && heartbeat.start_time == heartbeat_.start_time;
  if (same_incarnation && heartbeat.sequence <= heartbeat_.sequence) {
    EmitHeartbeat(heartbeat, "late");
    return ApplyDepartureLocked();
  }
  // The others repeat what is known: they are not logged.
  if (departed && !heartbeat.leaving) {
    EmitHeartbeat(heartbeat, "departed");
  } else if (!same_incarnation) {
    EmitHeartbeat(heartbeat, "new_incarnation");
  } else if (heartbeat.leaving && !departed) {
    EmitHeartbeat(heartbeat, "leaving");
  }
  // A server that leaves may close connections when it ends as planned.
  if (!same_incarnation && server_.state != SERVER_LEAVING) {
    crash_detector_.RecordEnd(heartbeat_.id);
  }
  heartbeat_ = heartbeat;
  last_contact_at_ = clock_->Now();
  LocalBackendServer server;
  server.service = heartbeat.service;
  server.address = heartbeat.address;
  server.slots = heartbeat.slots;
  server.state = departed || heartbeat.leaving ? SERVER_LEAVING
                 : awaits_former_              ? SERVER_STARTING
                                               : SERVER_UP;
  server.id = heartbeat.id;
  server.version = heartbeat.version;
  SetServerLocked(std::move(server));
}

void BackendServerMonitor::RecordLeave(
    const std::string& id, std::optional<std::chrono::milliseconds> start_time) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (stopped_) throw Error(ResultCode::kNodeStopping, "this node is stopping");
  if (start_time) CheckStartTime(*start_time);
  const bool known = id == heartbeat_.id && server_.state != SERVER_NONE;
  events_->Emit({"server.leave", {{"server", id}, {"known", known ? "true" : "false"}}});
  // A node that has just started may hear of the leave before any heartbeat. A later
  // incarnation with this id starts after now.
  departed_.Add({id, start_time.value_or(known ? heartbeat_.start_time : WallMillis())});
  ApplyDepartureLocked();
}

void BackendServerMonitor::CheckStartTime(std::chrono::milliseconds start_time) const {
  if (start_time <= WallMillis() + kMaxClockDifference) return;
  ThrowMalformed("the start of the server is in the future");
}

std::chrono::milliseconds BackendServerMonitor::WallMillis() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      clock_->WallNow().time_since_epoch());
}

void BackendServerMonitor::RecordLeavingAnswer(const std::string& id) {
  std::lock_guard<std::mutex> lock(mutex_);
  // The answer may be of a process that another one has replaced.
  if (id != heartbeat_.id || departed_.Contains(id, heartbeat_.start_time)) return;
  events_->Emit({"server.leave", {{"server", id}, {"known", "true"}, {"in", "answer"}}});
  departed_.Add({id, heartbeat_.start_time});
  ApplyDepartureLocked();
}

void BackendServerMonitor::AwaitFormerObservations() {
  std::lock_guard<std::mutex> lock(mutex_);
  awaits_former_ = true;
}

void BackendServerMonitor::FormerObservationsKnown() {
  std::lock_guard<std::mutex> lock(mutex_);
  awaits_former_ = false;
  LocalBackendServer server = server_;
  if (server.state == SERVER_STARTING) server.state = SERVER_UP;
  SetServerLocked(std::move(server));
}

void BackendServerMonitor::RecordFormerObservations(
    const ServerObservations& observations) {
  std::lock_guard<std::mutex> lock(mutex_);
  bool added = false;
  for (const ServerCrash& crash : observations.crashes()) {
    added = crash_log_.Add(FromMessage(crash)) || added;
  }
  for (const CrashAcquittal& acquittal : observations.acquittals()) {
    added = crash_log_.AddFormer(FromMessage(acquittal)) || added;
  }
  if (added) SetServerLocked(server_);
  if (!observations.has_departure()) return;
  const ServerDeparture& departure = observations.departure();
  RecordFormerDepartureLocked(
      {departure.id(), std::chrono::milliseconds(departure.last_start_ms())});
}

void BackendServerMonitor::RecordFormerDepartureLocked(
    const BackendDeparture& departure) {
  // Members repeat what this run has told them, or an earlier run.
  if (departed_.Contains(departure.id, departure.last_start)) return;
  events_->Emit({"server.departed",
                 {{"server", departure.id},
                  {"last_start_ms", std::to_string(departure.last_start.count())}}});
  departed_.AddEarlier(departure);
  ApplyDepartureLocked();
}

void BackendServerMonitor::ApplyDepartureLocked() {
  LocalBackendServer server = server_;
  if (departed_.Contains(heartbeat_.id, heartbeat_.start_time)) {
    server.state = SERVER_LEAVING;
  }
  SetServerLocked(std::move(server));
}

void BackendServerMonitor::RecordCut(const CutRequest& cut) {
  std::lock_guard<std::mutex> lock(mutex_);
  crash_detector_.RecordCut(cut);
}

void BackendServerMonitor::Acquit(const Acquittal& acquittal) {
  std::lock_guard<std::mutex> lock(mutex_);
  crash_log_.Acquit(acquittal);
  SetServerLocked(server_);
}

void BackendServerMonitor::RecordCrashingRequests(const CrashingRequests& causes) {
  std::lock_guard<std::mutex> lock(mutex_);
  crash_log_.Explain(causes);
  SetServerLocked(server_);
}

void BackendServerMonitor::RecordTrialPassed(const Acquittal& acquittal) {
  events_->Emit({"request.acquitted",
                 {{"request_hash", ToString({0, acquittal.digest})},
                  {"crashes", std::to_string(acquittal.crashes.size())}}});
  Acquit(acquittal);
}

void BackendServerMonitor::MarkLeaving() {
  std::lock_guard<std::mutex> lock(mutex_);
  if (server_.state == SERVER_NONE) return;
  LocalBackendServer server = server_;
  server.state = SERVER_LEAVING;
  SetServerLocked(std::move(server));
}

void BackendServerMonitor::Tick() {
  std::lock_guard<std::mutex> lock(mutex_);
  ReportCrashLocked();
  if (crash_log_.DropExpired()) SetServerLocked(server_);
  if (server_.state == SERVER_NONE || server_.state == SERVER_DOWN) return;
  if (clock_->Now() - last_contact_at_ < timeout_) return;
  LocalBackendServer server = server_;
  server.state = SERVER_DOWN;
  SetServerLocked(std::move(server));
}

void BackendServerMonitor::MarkUnreachable() {
  std::lock_guard<std::mutex> lock(mutex_);
  if (server_.state != SERVER_UP) return;
  crash_detector_.RecordEnd(server_.id);
  LocalBackendServer server = server_;
  server.state = SERVER_DOWN;
  SetServerLocked(std::move(server));
}

void BackendServerMonitor::ReportCrashLocked() {
  const auto crash = crash_detector_.TakeCrash();
  if (!crash) return;
  ++crashes_;
  std::string requests;
  for (const RequestFingerprint& request : crash->requests) {
    if (!requests.empty()) requests += ',';
    requests += ToString(request);
  }
  events_->Emit({"server.crashed",
                 {{"server", crash_detector_.crashed_server()},
                  {"suspects", std::to_string(crash->requests.size())},
                  {"requests", requests},
                  {"on_trial", std::to_string(crash->on_trial)}}});
  if (crash->requests.empty()) return;
  crash_log_.Add(*crash);
  SetServerLocked(server_);
}

void BackendServerMonitor::Stop() {
  MarkLeaving();
  std::lock_guard<std::mutex> lock(mutex_);
  stopped_ = true;
}

LocalBackendServer BackendServerMonitor::server() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return server_;
}

std::uint64_t BackendServerMonitor::crashes() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return crashes_;
}

ServerObservations BackendServerMonitor::ObservationsLocked() const {
  ServerObservations observations;
  // Other members replace what they hold of the earlier run by what this one publishes.
  if (!awaits_former_) crash_log_.WriteTo(&observations);
  const BackendDeparture departure = departed_.latest();
  if (departure.id.empty()) return observations;
  observations.mutable_departure()->set_id(departure.id);
  observations.mutable_departure()->set_last_start_ms(departure.last_start.count());
  return observations;
}

void BackendServerMonitor::SetServerLocked(LocalBackendServer server) {
  ServerObservations observations = ObservationsLocked();
  if (server_.observations || observations.ByteSizeLong() > 0) {
    server.observations = std::move(observations);
  }
  if (Same(server, server_)) return;
  server_ = std::move(server);
  observer_(server_);
}

void BackendServerMonitor::EmitHeartbeat(const ServerHeartbeat& heartbeat,
                                         const char* outcome) {
  events_->Emit({"server.heartbeat",
                 {{"server", heartbeat.id},
                  {"started_ms", std::to_string(heartbeat.start_time.count())},
                  {"sequence", std::to_string(heartbeat.sequence)},
                  {"leaving", heartbeat.leaving ? "true" : "false"},
                  {"outcome", outcome}}});
}

std::string ServerStateName(ServerState state) {
  switch (state) {
    case SERVER_STARTING:
      return "starting";
    case SERVER_UP:
      return "up";
    case SERVER_LEAVING:
      return "leaving";
    case SERVER_DOWN:
      return "down";
    default:
      return "none";
  }
}

}  // namespace quetzal
