#include "base/result_code.h"

#include <algorithm>

namespace quetzal {

const std::vector<ResultCodeInfo>& ResultCodeTable() {
  using C = ResultCode;
  static const auto* const table = new std::vector<ResultCodeInfo>{
      {C::kOk, "ok", 200, false, "Done."},
      {C::kSettingsInvalid, "settings_invalid", 500, true,
       "A setting is missing, malformed or out of range."},
      {C::kPortTaken, "port_taken", 500, true, "An address to listen on is in use."},
      {C::kFolderMissing, "folder_missing", 500, true,
       "The data folder does not exist or cannot be written."},
      {C::kInternalError, "internal_error", 500, false, "A defect in the program."},
      {C::kIntentMalformed, "intent_malformed", 400, true,
       "The intent cannot be read or does not follow the schema."},
      {C::kIntentTooLarge, "intent_too_large", 413, true,
       "The intent exceeds a stated limit."},
      {C::kIntentUnknown, "intent_unknown", 404, true, "No intent has this id."},
      {C::kIntentIdReused, "intent_id_reused", 409, true,
       "The id belongs to a different intent."},
      {C::kIntentIdExpired, "intent_id_expired", 410, false,
       "The id is older than the ids that are kept; its outcome is in the history."},
      {C::kPlanRefused, "plan_refused", 422, true,
       "The resulting configuration would break a rule."},
      {C::kPlanOutdated, "plan_outdated", 409, true,
       "The configuration changed after the plan was made."},
      {C::kPlanCancelled, "plan_cancelled", 409, true, "The plan was cancelled."},
      {C::kIntentConfirmed, "intent_confirmed", 409, false,
       "The intent was confirmed before; it cannot be cancelled."},
      {C::kNotRun, "not_run", 409, true, "The intent did not run and will not run."},
      {C::kPending, "pending", 202, false, "The outcome is not known yet."},
      {C::kUnreachable, "unreachable", 503, false, "No control instance answered."},
      {C::kNotLeader, "not_leader", 421, true, "This control instance does not lead."},
      {C::kLeadershipLost, "leadership_lost", 503, false,
       "Leadership was lost before the outcome was known."},
      {C::kNoQuorum, "no_quorum", 503, false,
       "A majority of the control instances does not answer."},
      {C::kLogCorrupt, "log_corrupt", 500, false, "The durable log is damaged."},
      {C::kDiskFull, "disk_full", 507, false, "The data folder has no room left."},
      {C::kDiskFailed, "disk_failed", 500, false,
       "A write or sync in the data folder failed."},
      {C::kOverloaded, "overloaded", 503, true,
       "Too much work is queued; retry after the given delay, if any."},
      {C::kNotRooted, "not_rooted", 503, true,
       "The configuration source of this instance is not current."},
      {C::kDeltaBaseMismatch, "delta_base_mismatch", 409, true,
       "A delta does not start from the applied version."},
      {C::kConfigurationInvalid, "configuration_invalid", 422, true,
       "A received configuration breaks a rule and was not applied."},
      {C::kVersionWouldRevert, "version_would_revert", 409, true,
       "A received configuration is older than the applied one."},
      {C::kStaleIncarnation, "stale_incarnation", 409, true,
       "The message belongs to an earlier incarnation of an instance."},
      {C::kMessageMalformed, "message_malformed", 400, true,
       "A message between instances cannot be read."},
      {C::kNoRoute, "no_route", 404, true, "No route matches the request."},
      {C::kNoBackendServer, "no_backend_server", 503, true,
       "No backend server of the service is available."},
      {C::kServerLeaving, "server_leaving", 503, true,
       "The backend server is leaving and takes no new work."},
      {C::kServerFull, "server_full", 503, true,
       "The backend server has no free slot and its queue is full."},
      {C::kShed, "shed", 503, true, "The request was shed before it was sent."},
      {C::kDeadlineExceeded, "deadline_exceeded", 504, false,
       "The deadline passed; the request may have run."},
      {C::kCancelled, "cancelled", 499, false, "The caller cancelled the request."},
      {C::kKeyRequired, "key_required", 400, true,
       "A non-idempotent request needs an Idempotency-Key."},
      {C::kKeyInProgress, "key_in_progress", 409, false,
       "A request with this key is running."},
      {C::kKeyReused, "key_reused", 422, true,
       "The key belongs to a different request; this request did not run."},
      {C::kOutcomeUnknown, "outcome_unknown", 503, false,
       "It cannot be known whether the request ran."},
      {C::kAnswerNotKept, "answer_not_kept", 410, false,
       "The request ran once; its answer is no longer kept."},
      {C::kKeyTableFull, "key_table_full", 503, true,
       "The table of keys is full; the request did not run."},
      {C::kKeyQuorumMissing, "key_quorum_missing", 503, false,
       "A majority of the holders of the key does not answer."},
      {C::kAnswerCut, "answer_cut", 502, false,
       "The backend server did not complete its answer."},
      {C::kConnectFailed, "connect_failed", 503, true,
       "No connection to the backend server could be made."},
      {C::kHopLimit, "hop_limit", 508, true, "The request passed too many nodes."},
      {C::kLoop, "loop", 508, true, "The request came back to the same service."},
      {C::kRequestCrashesServers, "request_crashes_servers", 400, true,
       "The backend servers that ran this request have ended; it is not sent again."},
      {C::kNodeStarting, "node_starting", 503, true,
       "The node has not applied a current configuration yet."},
      {C::kNodeStopping, "node_stopping", 503, true, "The node is stopping."},
      {C::kRequestMalformed, "request_malformed", 400, true,
       "The HTTP request is malformed."},
      {C::kRequestTooLarge, "request_too_large", 431, true,
       "The head of the HTTP request is too large."},
      {C::kRequestTimeout, "request_timeout", 408, true,
       "The HTTP request did not arrive in time."},
      {C::kBodyTooLarge, "body_too_large", 413, true,
       "The body of a request with a key exceeds the limit."},
      {C::kStreamReset, "stream_reset", 502, false, "A stream was reset by its peer."},
      {C::kConnectionLost, "connection_lost", 502, false,
       "A connection between instances was lost."},
      {C::kTimeout, "timeout", 504, false, "An instance did not answer in time."},
      {C::kMethodUnknown, "method_unknown", 404, true,
       "The instance does not serve this method."},
  };
  return *table;
}

const ResultCodeInfo& InfoOf(ResultCode code) {
  const auto& table = ResultCodeTable();
  auto it = std::lower_bound(
      table.begin(), table.end(), code,
      [](const ResultCodeInfo& row, ResultCode c) { return row.code < c; });
  if (it != table.end() && it->code == code) return *it;
  return InfoOf(ResultCode::kInternalError);
}

ResultCode ResultCodeFromInt(int number) {
  return InfoOf(static_cast<ResultCode>(number)).code;
}

}  // namespace quetzal
