#include "configuration/intent_file.h"

#include <set>

#include "base/concat.h"
#include "base/result_code.h"
#include "base/settings.h"
#include "configuration/configuration_limits.h"
#include "configuration/json_cursor.h"
#include "configuration/team_intent.h"

namespace quetzal {
namespace {

constexpr std::uint32_t kDefaultTimeoutMs = 10'000;
constexpr std::uint32_t kDefaultWeight = 1;
constexpr std::size_t kMaxAddressBytes = 64;

std::uint32_t OptionalInteger(const JsonCursor& cursor, const std::string& field,
                              std::uint32_t min, std::uint32_t max,
                              std::uint32_t default_value) {
  return cursor.Has(field) ? cursor.At(field).Integer(min, max) : default_value;
}

template <class Add>
void ReadNames(const JsonCursor& cursor, std::size_t max, const Add& add) {
  std::set<std::string> seen;
  for (const JsonCursor& element : cursor.Elements(max)) {
    const std::string name = element.Name();
    if (!seen.insert(name).second) element.Refuse("each name once");
    add(name);
  }
}

void ReadLimits(const JsonCursor& cursor, Service* service) {
  cursor.ExpectObject({"slots", "connections", "queue", "slow_start_ms"});
  service->set_slots(OptionalInteger(cursor, "slots", 0, kMaxSlots, 0));
  service->set_connections(OptionalInteger(cursor, "connections", 0, kMaxConnections, 0));
  service->set_queue(OptionalInteger(cursor, "queue", 0, kMaxQueue, 0));
  service->set_slow_start_ms(
      OptionalInteger(cursor, "slow_start_ms", 0, kMaxSlowStartMs, 0));
}

void ReadService(const JsonCursor& cursor, Service* service) {
  cursor.ExpectObject({"name", "limits"});
  service->set_name(cursor.At("name").Name());
  if (cursor.Has("limits")) ReadLimits(cursor.At("limits"), service);
}

void ReadMatch(const JsonCursor& cursor, Route* route) {
  cursor.ExpectObject({"host", "path_prefix", "methods"});
  if (cursor.Has("host")) route->set_host(cursor.At("host").Text(kMaxHostLength));
  const JsonCursor path = cursor.At("path_prefix");
  route->set_path_prefix(path.Text(kMaxPathPrefixBytes));
  if (route->path_prefix().empty() || route->path_prefix().front() != '/') {
    path.Refuse("a path that begins with '/'");
  }
  if (!cursor.Has("methods")) return;
  for (const JsonCursor& method : cursor.At("methods").Elements(kMaxMethodsOfRoute)) {
    route->add_methods(method.Text(kMaxMethodLength));
  }
}

void ReadTarget(const JsonCursor& cursor, Target* target) {
  cursor.ExpectObject({"service", "weight"});
  target->set_service(cursor.At("service").Name());
  target->set_weight(OptionalInteger(cursor, "weight", 0, kMaxWeight, kDefaultWeight));
}

void ReadRoute(const JsonCursor& cursor, Route* route) {
  cursor.ExpectObject(
      {"name", "match", "idempotent", "targets", "timeout_ms", "priority", "public"});
  route->set_name(cursor.At("name").Name());
  ReadMatch(cursor.At("match"), route);
  route->set_idempotent(cursor.At("idempotent").Boolean());
  for (const JsonCursor& target : cursor.At("targets").Elements(kMaxTargetsOfRoute)) {
    ReadTarget(target, route->add_targets());
  }
  route->set_timeout_ms(
      OptionalInteger(cursor, "timeout_ms", 1, kMaxRouteTimeoutMs, kDefaultTimeoutMs));
  route->set_priority(OptionalInteger(cursor, "priority", 0, kMaxPriority, 0));
  if (cursor.Has("public")) route->set_is_public(cursor.At("public").Boolean());
}

template <class List, class Read>
void ReadNamedList(const JsonCursor& cursor, std::size_t max, List* list,
                   const Read& read) {
  std::set<std::string> seen;
  for (const JsonCursor& element : cursor.Elements(max)) {
    auto* entry = list->Add();
    read(element, entry);
    if (!seen.insert(entry->name()).second) element.At("name").Refuse("each name once");
  }
}

void ReadPolicy(const JsonCursor& cursor, PolicyIntent* policy) {
  cursor.ExpectObject(
      {"retry_budget_percent", "drain_limit_ms", "key_retention_ms", "load_policy"});
  if (cursor.Has("retry_budget_percent")) {
    policy->set_retry_budget_percent(
        cursor.At("retry_budget_percent").Integer(0, kMaxRetryBudgetPercent));
  }
  if (cursor.Has("drain_limit_ms")) {
    policy->set_drain_limit_ms(cursor.At("drain_limit_ms").Integer(0, kMaxDrainLimitMs));
  }
  if (cursor.Has("key_retention_ms")) {
    policy->set_key_retention_ms(
        cursor.At("key_retention_ms").Integer(0, kMaxKeyRetentionMs));
  }
  if (cursor.Has("load_policy")) policy->set_load_policy(cursor.At("load_policy").Name());
}

void ReadRemovals(const JsonCursor& cursor, IntentContent* content) {
  cursor.ExpectObject({"services", "routes", "teams"});
  if (cursor.Has("services")) {
    ReadNames(cursor.At("services"), kMaxServices,
              [&](const std::string& name) { content->add_remove_services(name); });
  }
  if (cursor.Has("routes")) {
    ReadNames(cursor.At("routes"), kMaxRoutes,
              [&](const std::string& name) { content->add_remove_routes(name); });
  }
  if (cursor.Has("teams")) {
    ReadNames(cursor.At("teams"), kMaxTeams,
              [&](const std::string& name) { content->add_remove_teams(name); });
  }
}

void ReadServers(const JsonCursor& root, IntentContent* content) {
  if (root.Has("leave")) {
    ReadNames(root.At("leave"), kMaxLeaving,
              [&](const std::string& name) { content->add_leave(name); });
  }
  if (root.Has("enter")) {
    ReadNames(root.At("enter"), kMaxLeaving,
              [&](const std::string& name) { content->add_enter(name); });
  }
}

/// Throws unless `content` has nothing but a description.
void RefuseOtherChanges(const JsonCursor& cursor, const IntentContent& content) {
  IntentContent rest = content;
  rest.clear_description();
  if (rest.ByteSizeLong() > 0) cursor.Refuse("no other change in the same intent");
}

/// A rollout is judged by the responses of two versions, so nothing else may change them.
void ReadRollout(const JsonCursor& root, IntentContent* content) {
  if (!root.Has("rollout")) return;
  const JsonCursor cursor = root.At("rollout");
  RefuseOtherChanges(cursor, *content);
  cursor.ExpectObject({"service", "version", "duration_ms", "roll_back"});
  RolloutIntent* rollout = content->mutable_rollout();
  rollout->set_service(cursor.At("service").Name());
  rollout->set_roll_back(cursor.Has("roll_back") && cursor.At("roll_back").Boolean());
  if (rollout->roll_back()) {
    if (cursor.Has("version") || cursor.Has("duration_ms")) {
      cursor.At("roll_back").Refuse("false where a version or a duration is given");
    }
    return;
  }
  rollout->set_version(cursor.At("version").Text(kMaxServerVersionBytes));
  if (rollout->version().empty()) cursor.At("version").Refuse("a text that is not empty");
  rollout->set_duration_ms(cursor.At("duration_ms").Integer(1, kMaxRolloutDurationMs));
}

/// A change of the control instances is not part of the configuration, so an intent that
/// has one must contain no other change.
void ReadControlInstance(const JsonCursor& root, IntentContent* content) {
  const bool add = root.Has("add_control_instance");
  if (!add && !root.Has("remove_control_instance")) return;
  const JsonCursor cursor =
      root.At(add ? "add_control_instance" : "remove_control_instance");
  RefuseOtherChanges(cursor, *content);
  if (add && root.Has("remove_control_instance")) {
    cursor.Refuse("no other change in the same intent");
  }
  ControlInstanceChange* change = content->mutable_control_instance();
  change->set_remove(!add);
  if (!add) {
    change->set_name(cursor.Name());
    return;
  }
  cursor.ExpectObject({"name", "address"});
  change->set_name(cursor.At("name").Name());
  const JsonCursor address = cursor.At("address");
  try {
    change->set_address(ParseEndpoint(address.Text(kMaxAddressBytes)).ToString());
  } catch (const Error& error) {
    if (error.code() == ResultCode::kIntentMalformed) throw;
    address.Refuse("ip:port");
  }
}

void RefuseContradictions(const JsonCursor& root, const IntentContent& content) {
  const std::set<std::string> leaving(content.leave().begin(), content.leave().end());
  for (const std::string& name : content.enter()) {
    if (leaving.count(name) > 0) {
      root.At("enter").Refuse(Concat("no name that is also listed in /leave: ", name));
    }
  }
  std::set<std::string> set;
  for (const Service& service : content.set_services()) set.insert(service.name());
  for (const std::string& name : content.remove_services()) {
    if (set.count(name) > 0) {
      root.At("remove").Refuse(Concat("no service that is also declared: ", name));
    }
  }
  set.clear();
  for (const Route& route : content.set_routes()) set.insert(route.name());
  for (const std::string& name : content.remove_routes()) {
    if (set.count(name) > 0) {
      root.At("remove").Refuse(Concat("no route that is also declared: ", name));
    }
  }
  set.clear();
  for (const Team& team : content.set_teams()) set.insert(team.name());
  for (const std::string& name : content.remove_teams()) {
    if (set.count(name) > 0) {
      root.At("remove").Refuse(Concat("no team that is also declared: ", name));
    }
  }
}

}  // namespace

IntentContent ParseIntent(const std::string& source, const std::string& text) {
  const nlohmann::json document =
      ParseJson(source, text, {kMaxIntentBytes, kMaxIntentDepth});
  const JsonCursor root(source, &document);
  root.ExpectObject({"version", "description", "data_centres", "services", "routes",
                     "teams", "policy", "leave", "enter", "remove",
                     "add_control_instance", "remove_control_instance", "rollout"});
  root.At("version").Integer(kIntentFormatVersion, kIntentFormatVersion);

  IntentContent content;
  if (root.Has("description")) {
    content.set_description(root.At("description").Text(kMaxDescriptionBytes));
  }
  if (root.Has("data_centres")) {
    content.set_sets_data_centres(true);
    ReadNames(root.At("data_centres"), kMaxDataCentres,
              [&](const std::string& name) { content.add_data_centres(name); });
  }
  if (root.Has("services")) {
    ReadNamedList(root.At("services"), kMaxServices, content.mutable_set_services(),
                  ReadService);
  }
  if (root.Has("routes")) {
    ReadNamedList(root.At("routes"), kMaxRoutes, content.mutable_set_routes(), ReadRoute);
  }
  if (root.Has("teams")) {
    ReadNamedList(root.At("teams"), kMaxTeams, content.mutable_set_teams(), ReadTeam);
  }
  if (root.Has("policy")) ReadPolicy(root.At("policy"), content.mutable_policy());
  ReadServers(root, &content);
  if (root.Has("remove")) ReadRemovals(root.At("remove"), &content);
  RefuseContradictions(root, content);
  ReadRollout(root, &content);
  ReadControlInstance(root, &content);
  return content;
}

}  // namespace quetzal
