#include "control/intent_api.h"

#include <charconv>
#include <utility>

#include "base/concat.h"
#include "configuration/intent_file.h"
#include "control/control_group_plan.h"
#include "control/convergence_text.h"
#include "control/explanation.h"
#include "control/intent_progress.h"

namespace quetzal {
namespace {

constexpr char kForwardMethod[] = "/control/forward";
constexpr Duration kForwardTimeout = std::chrono::seconds(5);
constexpr std::size_t kDefaultHistoryItems = 20;
// A path may contain invalid UTF-8; an answer shows replacement characters instead.
constexpr auto kInvalidUtf8Handling = ReportJson::error_handler_t::replace;

AdminResponse Respond(ResultCode code, const ReportJson& json) {
  return {InfoOf(code).http_status, "application/json",
          json.dump(2, ' ', false, kInvalidUtf8Handling) + "\n"};
}

AdminResponse Refuse(ResultCode code, const std::string& message) {
  return Respond(code, JsonOfCode(code, message));
}

std::string QueryText(const AdminRequest& request, const std::string& name) {
  const auto it = request.query.find(name);
  return it == request.query.end() ? "" : it->second;
}

std::size_t QueryNumber(const AdminRequest& request, const std::string& name,
                        std::size_t fallback) {
  const std::string text = QueryText(request, name);
  std::size_t n = 0;
  const auto [last, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
  return ec == std::errc() && last == text.data() + text.size() && !text.empty()
             ? n
             : fallback;
}

/// True when `path` matches `pattern`; `id` receives the segment at "{id}".
bool Matches(const std::string& pattern, const std::string& path, std::string* id) {
  const std::size_t placeholder = pattern.find("{id}");
  if (placeholder == std::string::npos) return pattern == path;
  const std::string suffix = pattern.substr(placeholder + 4);
  if (path.size() <= placeholder + suffix.size() ||
      path.compare(0, placeholder, pattern, 0, placeholder) != 0 ||
      path.compare(path.size() - suffix.size(), suffix.size(), suffix) != 0) {
    return false;
  }
  *id = path.substr(placeholder, path.size() - placeholder - suffix.size());
  return id->find('/') == std::string::npos;
}

void AddTexts(const std::vector<std::string>& texts, ReportJson* json) {
  for (const std::string& text : texts) (*json)["text"].push_back(text);
}

/// Message for a change whose outcome is unknown. It never says "not run": an earlier
/// request with the same id may have run, and only a committed record rules that out.
const char* UnknownOutcomeMessage(ResultCode code) {
  switch (code) {
    case ResultCode::kOverloaded:
      return "This request was not accepted, since too much work is waiting. Ask again "
             "with the same intent id.";
    case ResultCode::kDiskFull:
      return "This request was not accepted, since the disk of the leader is full. Ask "
             "again with the same intent id.";
    case ResultCode::kNotLeader:
      return "This request was not accepted, since no control instance is known to lead "
             "at present. Ask again with the same intent id.";
    default:
      return "The outcome is not known yet, since the leader lost contact with the "
             "majority of the control instances. Ask again with the same intent id.";
  }
}

}  // namespace

const std::vector<IntentApi::Route>& IntentApi::Routes() {
  static const auto* const routes = new std::vector<Route>{
      {"POST", "/v1/intents", &IntentApi::Declare},
      {"POST", "/v1/intents/{id}/confirm", &IntentApi::Confirm},
      {"POST", "/v1/intents/{id}/cancel", &IntentApi::Cancel},
      {"GET", "/v1/intents/{id}", &IntentApi::ShowIntent},
      {"GET", "/v1/status", &IntentApi::ShowStatus},
      {"GET", "/v1/history", &IntentApi::ShowHistory},
      {"GET", "/v1/configuration", &IntentApi::ShowConfiguration},
      {"GET", "/v1/explain", &IntentApi::Explain},
      {"GET", "/v1/rollouts", &IntentApi::ShowRollouts},
      {"GET", "/v1/control-instances", &IntentApi::ShowControlInstances},
  };
  return *routes;
}

IntentApi::IntentApi(Dependencies dependencies, std::string instance,
                     std::string data_centre, PeerLookup peers)
    : dependencies_(dependencies),
      instance_(std::move(instance)),
      data_centre_(std::move(data_centre)),
      peers_(std::move(peers)) {}

void IntentApi::Start() {
  dependencies_.rpc_server->Serve(
      kForwardMethod, [this](const std::string& bytes, const RpcReply& reply) {
        ForwardedRequest forwarded;
        if (!forwarded.ParseFromString(bytes)) {
          reply(ResultCode::kMessageMalformed, "");
          return;
        }
        Call call;
        call.forwarded = true;
        call.request.method = forwarded.method();
        call.request.path = forwarded.path();
        call.request.body = forwarded.body();
        call.request.query.insert(forwarded.query().begin(), forwarded.query().end());
        call.reply = [reply](const AdminResponse& response) {
          ForwardedResponse message;
          message.set_status(response.status);
          message.set_content_type(response.content_type);
          message.set_body(response.body);
          reply(ResultCode::kOk, message.SerializeAsString());
        };
        dependencies_.executor->Post([this, call] { Dispatch(call); });
      });
}

void IntentApi::Handle(const AdminRequest& request, AdminReply reply) {
  Call call{request, std::move(reply), false};
  dependencies_.executor->Post([this, call = std::move(call)] { Dispatch(call); });
}

void IntentApi::Dispatch(const Call& call) {
  std::string id;
  bool path_known = false;
  for (const Route& route : Routes()) {
    if (!Matches(route.pattern, call.request.path, &id)) continue;
    path_known = true;
    if (call.request.method != route.method) continue;
    (this->*route.handler)(call, id);
    return;
  }
  call.reply(Refuse(ResultCode::kMethodUnknown,
                    Concat(path_known ? "This path does not take " : "Nothing serves ",
                           call.request.method, path_known ? "." : " of this path.")));
}

void IntentApi::Declare(const Call& call, const std::string& /*id*/) {
  ControlEntry entry;
  DeclareIntent* declare = entry.mutable_declare();
  declare->set_id(QueryText(call.request, "id"));
  try {
    ParseIntentId(declare->id());
    *declare->mutable_content() = ParseIntent("intent", call.request.body);
  } catch (const Error& error) {
    call.reply(Refuse(error.code(), error.what()));
    return;
  }
  if (!call.forwarded) {
    dependencies_.events->Emit({"intent.declared", {{"intent", declare->id()}}});
  }
  // The warnings must be based on the current configuration.
  ReadCurrent(call, [this, call, entry = std::move(entry)]() mutable {
    DeclareIntent* declare = entry.mutable_declare();
    const auto base = dependencies_.machine->configuration();
    for (const std::string& warning :
         WarningsOf(*base, declare->content(), dependencies_.service->LiveInstances())) {
      declare->add_warnings(warning);
    }
    if (declare->content().has_control_instance()) {
      *declare->mutable_group() = GroupOf(*dependencies_.agreement);
    }
    const std::string id = declare->id();
    Propose(call, entry, "intent.planned", id);
  });
}

void IntentApi::Confirm(const Call& call, const std::string& id) {
  ControlEntry entry;
  entry.mutable_confirm()->set_id(id);
  *entry.mutable_confirm()->mutable_group() = GroupOf(*dependencies_.agreement);
  Propose(call, entry, "intent.confirmed", id);
}

void IntentApi::Cancel(const Call& call, const std::string& id) {
  ControlEntry entry;
  entry.mutable_cancel()->set_id(id);
  Propose(call, entry, "intent.cancelled", id);
}

void IntentApi::Propose(const Call& call, const ControlEntry& entry,
                        const std::string& event, const std::string& id) {
  ControlEntry stamped = entry;
  stamped.set_wall_micros(WallMicros());
  dependencies_.agreement->Propose(
      stamped.SerializeAsString(),
      [this, call, event, id](ResultCode code, LogPosition, const std::string& result) {
        dependencies_.executor->Post([this, call, code, result, event, id] {
          OnProposed(call, code, result, event, id);
        });
      });
}

void IntentApi::OnProposed(const Call& call, ResultCode code, const std::string& bytes,
                           const std::string& event, const std::string& id) {
  if (code == ResultCode::kNotLeader && !call.forwarded) {
    ForwardToLeader(call);
    return;
  }
  if (code != ResultCode::kOk) {
    call.reply(Refuse(ResultCode::kPending, UnknownOutcomeMessage(code)));
    return;
  }
  ControlResult result;
  result.ParseFromString(bytes);
  const ResultCode outcome = ResultCodeFromInt(result.code());
  ReportJson json = JsonOfCode(outcome, result.message());
  if (result.has_record()) {
    json["intent"] = JsonOfIntent(result.record());
    AddConvergence(result.record(), &json);
  }
  Event log_event{outcome == ResultCode::kOk ? event : "intent.refused",
                  {{"intent", id}, {"code", std::to_string(result.code())}}};
  if (result.record().has_confirmed()) {
    const Version& version = result.record().confirmed();
    log_event.fields.emplace_back("version",
                                  Concat(version.term(), ".", version.index()));
  }
  dependencies_.events->Emit(log_event);
  call.reply(Respond(outcome, json));
}

void IntentApi::AddConvergence(const IntentRecord& record, ReportJson* json) const {
  if (record.state() == INTENT_CONFIRMED && record.has_control_instance()) {
    (*json)["convergence"] =
        JsonOfGroupChange(ReportGroupChange(record, GroupOf(*dependencies_.agreement)));
  }
  if (!record.has_confirmed()) return;
  (*json)["convergence"] = JsonOfConvergence(
      record.confirmed(), dependencies_.service->Report(record.confirmed()),
      dependencies_.clock->Now());
}

void IntentApi::ShowIntent(const Call& call, const std::string& id) {
  ReadCurrent(call, [this, call, id] {
    const auto record = dependencies_.machine->Find(id);
    if (!record) {
      const ControlResult missing = dependencies_.machine->MissingResult(id);
      call.reply(Refuse(ResultCodeFromInt(missing.code()), missing.message()));
      return;
    }
    ReportJson json = JsonOfCode(ResultCode::kOk, "");
    json["intent"] = JsonOfIntent(*record);
    AddConvergence(*record, &json);
    call.reply(Respond(ResultCode::kOk, json));
  });
}

ReportJson IntentApi::StatusJson() const {
  ReportJson json = JsonOfCode(ResultCode::kOk, "");
  json["instance"] = instance_;
  json["data_centre"] = data_centre_;
  json["leadership"] = JsonOfLeadership(dependencies_.agreement->leadership());
  json["next_intent_number"] = dependencies_.machine->next_number();
  json["open_plans"] = ReportJson::array();
  for (const IntentRecord& record : dependencies_.machine->OpenIntents()) {
    json["open_plans"].push_back({{"id", record.id()},
                                  {"description", record.description()},
                                  {"steps", record.steps_size()}});
  }
  const Version version = dependencies_.machine->version();
  json["convergence"] = JsonOfConvergence(version, dependencies_.service->Report(version),
                                          dependencies_.clock->Now());
  return json;
}

void IntentApi::ShowStatus(const Call& call, const std::string& /*id*/) {
  const LeadershipView view = dependencies_.agreement->leadership();
  if (view.leading || call.forwarded || peers_(view.leader)) {
    ReadCurrent(call,
                [this, call] { call.reply(Respond(ResultCode::kOk, StatusJson())); });
    return;
  }
  ReportJson json = JsonOfCode(
      ResultCode::kNoQuorum,
      Concat("This control instance knows no leader and has not heard from a majority ",
             "for ", DescribeSeconds(view.since_quorum),
             "; it cannot give a reliable answer."));
  json["instance"] = instance_;
  json["leadership"] = JsonOfLeadership(view);
  call.reply(Respond(ResultCode::kNoQuorum, json));
}

void IntentApi::ShowHistory(const Call& call, const std::string& /*id*/) {
  ReadCurrent(call, [this, call] {
    ReportJson json = JsonOfCode(ResultCode::kOk, "");
    json["history"] = JsonOfHistory(dependencies_.machine->History(
        QueryNumber(call.request, "max", kDefaultHistoryItems)));
    call.reply(Respond(ResultCode::kOk, json));
  });
}

void IntentApi::ShowConfiguration(const Call& call, const std::string& /*id*/) {
  ReadCurrent(call, [this, call] {
    ReportJson json = JsonOfCode(ResultCode::kOk, "");
    json["version"] = JsonOfVersion(dependencies_.machine->version());
    json["configuration"] = JsonOfConfiguration(*dependencies_.machine->configuration());
    call.reply(Respond(ResultCode::kOk, json));
  });
}

void IntentApi::Explain(const Call& call, const std::string& /*id*/) {
  ReadCurrent(call, [this, call] {
    const std::string intent = QueryText(call.request, "intent");
    if (!intent.empty()) return ExplainIntent(call, intent);
    ReportJson json = JsonOfCode(ResultCode::kOk, "");
    json["text"] = ReportJson::array();
    AddTexts(ExplainService(QueryText(call.request, "service"),
                            *dependencies_.machine->configuration(),
                            dependencies_.service->LiveInstances()),
             &json);
    const Version version = dependencies_.machine->version();
    AddTexts(ExplainConvergence(version, dependencies_.service->Report(version),
                                dependencies_.clock->Now()),
             &json);
    call.reply(Respond(ResultCode::kOk, json));
  });
}

void IntentApi::ExplainIntent(const Call& call, const std::string& id) {
  const auto record = dependencies_.machine->Find(id);
  if (!record) {
    const ControlResult missing = dependencies_.machine->MissingResult(id);
    call.reply(Refuse(ResultCodeFromInt(missing.code()), missing.message()));
    return;
  }
  const std::vector<TimedEvent> events = dependencies_.events->ForIntent(id);
  ReportJson json = JsonOfCode(ResultCode::kOk, "");
  json["intent"] = JsonOfIntent(*record);
  AddConvergence(*record, &json);
  json["events"] = JsonOfEvents(events);
  json["text"] = ReportJson::array();
  AddTexts(DescribeIntentProgress(*record, events, instance_), &json);
  if (record->has_confirmed()) {
    const Version& version = record->confirmed();
    AddTexts(ExplainConvergence(version, dependencies_.service->Report(version),
                                dependencies_.clock->Now()),
             &json);
    AddTexts(DescribeAppliedVersions(version, dependencies_.service->tracker()), &json);
  } else if (json.contains("convergence")) {
    AddTexts({ReportGroupChange(*record, GroupOf(*dependencies_.agreement)).text}, &json);
  }
  call.reply(Respond(ResultCode::kOk, json));
}

void IntentApi::ShowRollouts(const Call& call, const std::string& /*id*/) {
  ReadCurrent(call, [this, call] {
    ReportJson json = JsonOfCode(ResultCode::kOk, "");
    json["rollouts"] = JsonOfRollouts(*dependencies_.machine->configuration());
    call.reply(Respond(ResultCode::kOk, json));
  });
}

void IntentApi::ShowControlInstances(const Call& call, const std::string& /*id*/) {
  ReadCurrent(call, [this, call] {
    ReportJson json = JsonOfCode(ResultCode::kOk, "");
    json.update(JsonOfGroup(GroupOf(*dependencies_.agreement)));
    call.reply(Respond(ResultCode::kOk, json));
  });
}

void IntentApi::ReadCurrent(const Call& call, std::function<void()> read) {
  if (!dependencies_.agreement->leadership().leading && !call.forwarded) {
    ForwardToLeader(call);
    return;
  }
  dependencies_.agreement->ReadBarrier([this, call,
                                        read = std::move(read)](ResultCode code) {
    dependencies_.executor->Post([this, call, code, read] {
      if (code == ResultCode::kOk && dependencies_.agreement->leadership().leading) {
        read();
        return;
      }
      call.reply(Refuse(ResultCode::kNoQuorum,
                        "This control instance does not lead, or cannot prove that it "
                        "does; nothing was done. Ask again."));
    });
  });
}

void IntentApi::ForwardToLeader(const Call& call) {
  const std::string leader = dependencies_.agreement->leadership().leader;
  const auto peer = peers_(leader);
  if (!peer) {
    call.reply(
        call.request.method == "GET"
            ? Refuse(ResultCode::kNoQuorum, "No control instance is known to lead.")
            : Refuse(ResultCode::kPending,
                     UnknownOutcomeMessage(ResultCode::kNotLeader)));
    return;
  }
  ForwardedRequest message;
  message.set_method(call.request.method);
  message.set_path(call.request.path);
  message.set_body(call.request.body);
  for (const auto& [name, value] : call.request.query) {
    (*message.mutable_query())[name] = value;
  }
  const bool changes = call.request.method != "GET";
  dependencies_.rpc_client->Call(
      *peer, kForwardMethod, message.SerializeAsString(), kForwardTimeout,
      [call, leader, changes](ResultCode code, const std::string& body) {
        ForwardedResponse response;
        if (code == ResultCode::kOk && response.ParseFromString(body)) {
          call.reply({response.status(), response.content_type(), response.body()});
          return;
        }
        call.reply(Refuse(
            changes ? ResultCode::kPending : ResultCode::kNoQuorum,
            Concat("The leader ", leader, " did not answer. ",
                   changes ? "The outcome is not known yet; ask again with the same "
                             "intent id."
                           : "Ask again.")));
      });
}

std::uint64_t IntentApi::WallMicros() const {
  const auto since_epoch = dependencies_.clock->WallNow().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count());
}

}  // namespace quetzal
