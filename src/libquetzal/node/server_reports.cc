#include "node/server_reports.h"

namespace quetzal {

void ServerReports::Heartbeat(const ServerHeartbeat& heartbeat, const Done& done) {
  try {
    monitor_->RecordHeartbeat(heartbeat);
  } catch (const Error& error) {
    return done(error.code());
  }
  if (!heartbeat.leaving) return done(ResultCode::kOk);
  AcknowledgeDeparture(done);
}

void ServerReports::Leave(const std::string& server_id,
                          std::optional<std::chrono::milliseconds> start_time,
                          const Done& done) {
  try {
    monitor_->RecordLeave(server_id, start_time);
  } catch (const Error& error) {
    return done(error.code());
  }
  AcknowledgeDeparture(done);
}

void ServerReports::AcknowledgeDeparture(const Done& done) {
  await_held_(
      [done](bool held) { done(held ? ResultCode::kOk : ResultCode::kUnreachable); });
}

}  // namespace quetzal
