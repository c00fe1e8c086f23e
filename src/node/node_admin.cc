#include "node/node_admin.h"

#include <nlohmann/json.hpp>

#include "base/result_code.h"
#include "node/node_metrics.h"

namespace quetzal {
namespace {

using Json = nlohmann::json;

constexpr int kStatusNotFound = 404;
constexpr int kStatusMethodNotAllowed = 405;
constexpr std::string_view kCrashingRequestsPath = "/v1/crashing-requests";

AdminResponse Answer(int status, const Json& body) {
  return {status, "application/json", body.dump()};
}

AdminResponse Refusal(ResultCode code, const std::string& message) {
  const ResultCodeInfo& info = InfoOf(code);
  return Answer(info.http_status, {{"code", static_cast<int>(code)},
                                   {"name", info.name},
                                   {"message", message},
                                   {"not_run", info.not_run}});
}

Json ToJson(const Version& version) {
  return {{"term", version.term()}, {"index", version.index()}};
}

Json ToJson(const LocalBackendServer& server) {
  if (server.state == SERVER_NONE) return nullptr;
  Json json = {{"service", server.service},
               {"address", server.address.ToString()},
               {"slots", server.slots},
               {"connections", server.connections},
               {"state", ServerStateName(server.state)}};
  if (!server.version.empty()) json["version"] = server.version;
  return json;
}

Json ToJson(const CallCounts& counts) {
  return {{"accepted", counts.accepted},   {"answered", counts.answered},
          {"refused", counts.refused},     {"retried", counts.retried},
          {"admitted", counts.admitted},   {"shed", counts.shed},
          {"in_flight", counts.in_flight}, {"queued", counts.queued}};
}

Json StatusJson(const NodeReport& report) {
  const NodeDistribution::Status& distribution = report.distribution;
  return {{"instance", report.instance},
          {"data_centre", report.data_centre},
          {"incarnation", report.incarnation},
          {"configuration",
           {{"held", ToJson(distribution.applied_version)},
            {"known", ToJson(distribution.known)},
            {"serving", distribution.serving},
            {"rooted", distribution.quorum_backed},
            {"source", distribution.source},
            {"relay", distribution.relay},
            {"subscribers", distribution.subscribers},
            {"cut_off", distribution.cut_off},
            {"cut_off_data_centres", distribution.cut_off_data_centres}}},
          {"backend_server", ToJson(report.server)},
          {"calls", ToJson(report.calls)},
          {"keys", {{"records", report.key_records}, {"bytes", report.key_bytes}}},
          {"members", report.members.size()}};
}

std::string StateName(MemberState state) {
  switch (state) {
    case MEMBER_ALIVE:
      return "alive";
    case MEMBER_SUSPECT:
      return "suspect";
    case MEMBER_LEAVING:
      return "leaving";
    case MEMBER_DEAD:
      return "dead";
    default:
      return "left";
  }
}

Json MembersJson(const std::vector<Member>& members) {
  Json list = Json::array();
  for (const Member& member : members) {
    list.push_back({{"instance", member.instance()},
                    {"data_centre", member.data_centre()},
                    {"incarnation", member.incarnation()},
                    {"state", StateName(member.state())},
                    {"stream_address", member.stream_address()},
                    {"service", member.server().service()},
                    {"server_state", ServerStateName(member.server().state())}});
    const std::string& version = member.server().version();
    if (!version.empty()) list.back()["server_version"] = version;
  }
  return {{"members", list}};
}

Json ToJson(const CrashingRequests::Entry& entry) {
  return {{"request_hash", ToString(entry.request)},
          {"crashes", entry.crashes.size()},
          {"state", entry.proven() ? "blocked" : "on_trial"}};
}

Json CrashingRequestsJson(const NodeReport& report) {
  Json list = Json::array();
  if (report.crashing) {
    for (const auto& entry : report.crashing->entries()) list.push_back(ToJson(entry));
  }
  return {{"crashing_requests", list}};
}

Json QuotasJson(const NodeReport& report) {
  Json list = Json::array();
  for (const TeamCount& team : report.teams) {
    list.push_back(
        {{"team", team.team},
         {"asked", team.asked},
         {"admitted", team.admitted},
         {"asked_in_window", team.asked_in_window},
         {"admitted_in_window", team.admitted_in_window},
         {"share_per_second",
          team.share_per_second ? Json(*team.share_per_second) : Json(nullptr)}});
  }
  return {{"coordinator", report.distribution.quota_coordinator}, {"teams", list}};
}

AdminResponse Unblock(const std::string& hash, const NodeReport& report,
                      BackendServerMonitor* backend) {
  const auto* entry = report.crashing ? report.crashing->Find(hash) : nullptr;
  if (entry == nullptr) {
    return Answer(kStatusNotFound, {{"message", "no such request is refused"}});
  }
  backend->Acquit({entry->request.digest, entry->crashes});
  return Answer(200, {{"unblocked", ToJson(*entry)}});
}

AdminResponse AnswerBackendServer(const AdminRequest& request,
                                  BackendServerMonitor* backend) {
  if (request.method == "POST") {
    backend->Announce(request.body);
  } else if (request.method == "DELETE") {
    backend->MarkLeaving();
  } else if (request.method != "GET") {
    return Answer(kStatusMethodNotAllowed, {{"message", "use POST, DELETE or GET"}});
  }
  return Answer(200, {{"backend_server", ToJson(backend->server())}});
}

}  // namespace

AdminResponse AnswerAdmin(const AdminRequest& request, BackendServerMonitor* backend,
                          const std::function<NodeReport()>& report,
                          const MetricsFormat& metrics) {
  try {
    if (request.path == "/v1/backend-server") {
      return AnswerBackendServer(request, backend);
    }
    const std::string prefix = std::string(kCrashingRequestsPath) + '/';
    if (request.method == "DELETE" && request.path.rfind(prefix, 0) == 0) {
      return Unblock(request.path.substr(prefix.size()), report(), backend);
    }
    if (request.method != "GET") {
      return Answer(kStatusMethodNotAllowed, {{"message", "use GET"}});
    }
    if (request.path == kCrashingRequestsPath) {
      return Answer(200, CrashingRequestsJson(report()));
    }
    if (request.path == "/v1/status") return Answer(200, StatusJson(report()));
    if (request.path == "/v1/quotas") return Answer(200, QuotasJson(report()));
    if (request.path == "/v1/members") return Answer(200, MembersJson(report().members));
    if (request.path == "/metrics") {
      return {200, metrics.content_type(), metrics.Format(NodeMetrics(report()))};
    }
    return Refusal(ResultCode::kMethodUnknown, "nothing is served at " + request.path);
  } catch (const Error& error) {
    return Refusal(error.code(), error.what());
  }
}

}  // namespace quetzal
