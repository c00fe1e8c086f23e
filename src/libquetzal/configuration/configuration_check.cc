#include "configuration/configuration_check.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <unordered_set>
#include <utility>
#include <vector>

#include "base/concat.h"
#include "base/result_code.h"
#include "base/settings.h"
#include "configuration/configuration_limits.h"
#include "configuration/key_residue.h"
#include "configuration/rollout_check.h"
#include "configuration/team_check.h"

namespace quetzal {
namespace {

[[noreturn]] void Refuse(const std::string& fault) {
  throw Error(ResultCode::kConfigurationInvalid, fault);
}

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' ||
         c == '.';
}

std::string RangeFault(const std::string& subject, std::uint64_t found, std::uint64_t min,
                       std::uint64_t max) {
  return subject + " is " + std::to_string(found) + "; allowed is " +
         std::to_string(min) + " to " + std::to_string(max);
}

// Each change checks thousands of routes, so error texts are built only for a fault:
// `subject` is a text or a function that returns one.
template <class Subject>
std::string TextOf(const Subject& subject) {
  if constexpr (std::is_invocable_v<const Subject&>) {
    return subject();
  } else {
    return subject;
  }
}

template <class Subject>
void CheckName(const Subject& subject, const std::string& name) {
  if (!IsLegalName(name)) Refuse(TextOf(subject) + " '" + name + "' is not a legal name");
}

template <class Subject>
void CheckRange(const Subject& subject, std::uint64_t found, std::uint64_t min,
                std::uint64_t max) {
  if (found < min || found > max) Refuse(RangeFault(TextOf(subject), found, min, max));
}

template <class Subject>
void CheckCount(const Subject& subject, std::size_t found, std::size_t max) {
  CheckRange([&subject] { return "number of " + TextOf(subject); }, found, 0, max);
}

const std::string& NameOf(const std::string& name) { return name; }
template <class Entry>
const std::string& NameOf(const Entry& entry) {
  return entry.name();
}

template <class List>
void CheckSortedNames(const std::string& subject, const List& entries, std::size_t max) {
  CheckCount(subject, static_cast<std::size_t>(entries.size()), max);
  const std::string* before = nullptr;
  for (const auto& entry : entries) {
    const std::string& name = NameOf(entry);
    CheckName(subject, name);
    if (before != nullptr && !(*before < name)) {
      Refuse(Concat(subject, ": '", name, "' is out of order or listed twice"));
    }
    before = &name;
  }
}

using Names = std::unordered_set<std::string_view>;

void CheckService(const Service& service) {
  const std::string subject = "service '" + service.name() + "': ";
  CheckRange(subject + "slots", service.slots(), 0, kMaxSlots);
  CheckRange(subject + "connections", service.connections(), 0, kMaxConnections);
  CheckRange(subject + "queue", service.queue(), 0, kMaxQueue);
  CheckRange(subject + "slow_start_ms", service.slow_start_ms(), 0, kMaxSlowStartMs);
}

bool IsHostCharacter(char c) { return IsNameCharacter(c) || c == ':'; }

bool IsPathCharacter(char c) { return c > ' ' && c < 0x7f && c != '?' && c != '#'; }

bool IsMethodCharacter(char c) { return (c >= 'A' && c <= 'Z') || c == '-'; }

void CheckMethods(const std::string& subject, const Route& route) {
  CheckCount(subject + "methods", static_cast<std::size_t>(route.methods_size()),
             kMaxMethodsOfRoute);
  std::set<std::string> seen;
  for (const std::string& method : route.methods()) {
    if (method.empty() || method.size() > kMaxMethodLength ||
        !std::all_of(method.begin(), method.end(), IsMethodCharacter)) {
      Refuse(Concat(subject, "method '", method, "' is not legal"));
    }
    if (!seen.insert(method).second)
      Refuse(Concat(subject, "method ", method, " is listed twice"));
  }
}

template <class Subject>
void CheckMatch(const Subject& subject, const Route& route) {
  const std::string& host = route.host();
  if (host.size() > kMaxHostLength ||
      !std::all_of(host.begin(), host.end(), IsHostCharacter)) {
    Refuse(subject() + "host '" + host + "' is not legal");
  }
  const std::string& path = route.path_prefix();
  if (path.empty() || path.front() != '/' || path.size() > kMaxPathPrefixBytes ||
      !std::all_of(path.begin(), path.end(), IsPathCharacter)) {
    Refuse(subject() + "path_prefix '" + path + "' is not legal");
  }
  if (!route.methods().empty()) CheckMethods(subject(), route);
}

template <class Subject>
void CheckTargets(const Subject& subject, const Route& route, const Names& services) {
  const auto& targets = route.targets();
  CheckCount([&subject] { return subject() + "targets"; },
             static_cast<std::size_t>(targets.size()), kMaxTargetsOfRoute);
  std::uint64_t sum = 0;
  for (auto target = targets.begin(); target != targets.end(); ++target) {
    const std::string& name = target->service();
    if (services.count(name) == 0) {
      Refuse(subject() + "target '" + name + "' is not a service");
    }
    const bool duplicate =
        std::any_of(targets.begin(), target,
                    [&name](const Target& other) { return other.service() == name; });
    if (duplicate) Refuse(subject() + "target '" + name + "' is listed twice");
    CheckRange([&] { return subject() + "weight of '" + name + "'"; }, target->weight(),
               0, kMaxWeight);
    sum += target->weight();
  }
  if (sum == 0 && !route.fixed_shares()) {
    Refuse(subject() + "no target has a weight above 0");
  }
}

void CheckRoute(const Route& route, const Names& services) {
  const auto subject = [&route] { return "route '" + route.name() + "': "; };
  CheckMatch(subject, route);
  CheckTargets(subject, route, services);
  CheckRange([&subject] { return subject() + "timeout_ms"; }, route.timeout_ms(), 1,
             kMaxRouteTimeoutMs);
  CheckRange([&subject] { return subject() + "priority"; }, route.priority(), 0,
             kMaxPriority);
  CheckRange([&subject] { return subject() + "attempts"; }, route.attempts(), 0,
             kMaxRouteAttempts);
}

// If two routes matched the same requests, the order of a list would decide between them.
void CheckDistinctMatches(const Configuration& configuration) {
  using Match = std::tuple<std::string_view, std::string_view, std::string_view>;
  std::vector<std::pair<Match, const Route*>> owners;
  owners.reserve(static_cast<std::size_t>(configuration.routes_size()));
  for (const Route& route : configuration.routes()) {
    const auto add = [&owners, &route](std::string_view method) {
      owners.emplace_back(Match(route.path_prefix(), route.host(), method), &route);
    };
    if (route.methods().empty()) add({});
    for (const std::string& method : route.methods()) add(method);
  }
  std::stable_sort(owners.begin(), owners.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  const auto same =
      std::adjacent_find(owners.begin(), owners.end(),
                         [](const auto& a, const auto& b) { return a.first == b.first; });
  if (same == owners.end()) return;
  Refuse("routes '" + same->second->name() + "' and '" + std::next(same)->second->name() +
         "' match the same requests");
}

void CheckPolicy(const Policy& policy) {
  CheckRange("policy: retry_budget_percent", policy.retry_budget_percent(), 0,
             kMaxRetryBudgetPercent);
  CheckRange("policy: drain_limit_ms", policy.drain_limit_ms(), 0, kMaxDrainLimitMs);
  CheckRange("policy: key_retention_ms", policy.key_retention_ms(), 0,
             kMaxKeyRetentionMs);
  if (!policy.load_policy().empty())
    CheckName("policy: load_policy", policy.load_policy());
}

template <class List>
void CheckHolders(const std::string& subject, const List& holders) {
  CheckCount(subject, static_cast<std::size_t>(holders.size()), kMaxKeyGroupMembers);
  std::set<std::string> seen;
  for (const KeyHolder& holder : holders) {
    CheckName(subject, holder.instance());
    const std::string& address = holder.stream_address();
    try {
      ParseEndpoint(address);
    } catch (const Error&) {
      Refuse(Concat(subject, ": '", address, "' is not ip:port"));
    }
    if (!seen.insert(holder.instance()).second) {
      Refuse(Concat(subject, ": '", holder.instance(), "' is listed twice"));
    }
  }
}

void CheckKeyGroups(const Configuration& configuration) {
  std::map<std::string, std::size_t> count;
  std::pair<std::string, std::uint32_t> before;
  bool first = true;
  for (const KeyGroup& group : configuration.key_groups()) {
    const std::string subject =
        "key group " + group.data_centre() + "/" + std::to_string(group.number()) + ": ";
    CheckName("key group: data centre", group.data_centre());
    std::pair<std::string, std::uint32_t> position(group.data_centre(), group.number());
    if (!first && !(before < position)) Refuse(subject + "out of order or listed twice");
    first = false;
    before = std::move(position);
    CheckCount("key groups of " + group.data_centre(), ++count[group.data_centre()],
               kMaxKeyGroupsOfDataCentre);
    if (group.members().empty()) Refuse(subject + "no members");
    CheckHolders(subject + "members", group.members());
    CheckHolders(subject + "previous", group.previous());
  }
  for (const auto& [data_centre, groups] : count) {
    if (!KeyGroupsCoverAllKeys(configuration, data_centre)) {
      Refuse("key groups of " + data_centre +
             ": a key belongs to no group or to several");
    }
  }
}

}  // namespace

bool IsLegalName(const std::string& name) {
  if (name.empty() || name.size() > kMaxNameLength) return false;
  if (!std::all_of(name.begin(), name.end(), IsNameCharacter)) return false;
  return name.front() != '-' && name.front() != '_' && name.front() != '.';
}

void CheckConfiguration(const Configuration& configuration) {
  CheckSortedNames("services", configuration.services(), kMaxServices);
  CheckSortedNames("routes", configuration.routes(), kMaxRoutes);
  CheckSortedNames("leaving", configuration.leaving(), kMaxLeaving);
  CheckSortedNames("data_centres", configuration.data_centres(), kMaxDataCentres);
  Names known;
  for (const Service& service : configuration.services()) known.insert(service.name());
  for (const Service& service : configuration.services()) CheckService(service);
  for (const Route& route : configuration.routes()) CheckRoute(route, known);
  CheckDistinctMatches(configuration);
  CheckPolicy(configuration.policy());
  CheckKeyGroups(configuration);
  CheckRollouts(configuration);
  CheckTeams(configuration);
}

}  // namespace quetzal
