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

namespace quetzal {
namespace {

[[noreturn]] void Refuse(const std::string& what) {
  throw Error(ResultCode::kConfigurationInvalid, what);
}

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' ||
         c == '.';
}

std::string RangeFault(const std::string& what, std::uint64_t found, std::uint64_t min,
                       std::uint64_t max) {
  return what + " is " + std::to_string(found) + "; allowed is " + std::to_string(min) +
         " to " + std::to_string(max);
}

// Thousands of routes are checked with each change, so that texts are put together only
// for a fault: `what` may be a text or a function that gives one.
template <class What>
std::string TextOf(const What& what) {
  if constexpr (std::is_invocable_v<const What&>) {
    return what();
  } else {
    return what;
  }
}

template <class What>
void CheckName(const What& what, const std::string& name) {
  if (!IsLegalName(name)) Refuse(TextOf(what) + " '" + name + "' is not a legal name");
}

template <class What>
void CheckRange(const What& what, std::uint64_t found, std::uint64_t min,
                std::uint64_t max) {
  if (found < min || found > max) Refuse(RangeFault(TextOf(what), found, min, max));
}

template <class What>
void CheckCount(const What& what, std::size_t found, std::size_t max) {
  CheckRange([&what] { return "number of " + TextOf(what); }, found, 0, max);
}

const std::string& NameOf(const std::string& name) { return name; }
template <class Entry>
const std::string& NameOf(const Entry& entry) {
  return entry.name();
}

template <class List>
void CheckSortedNames(const std::string& what, const List& entries, std::size_t max) {
  CheckCount(what, static_cast<std::size_t>(entries.size()), max);
  const std::string* before = nullptr;
  for (const auto& entry : entries) {
    const std::string& name = NameOf(entry);
    CheckName(what, name);
    if (before != nullptr && !(*before < name)) {
      Refuse(Concat(what, ": '", name, "' is out of order or stands twice"));
    }
    before = &name;
  }
}

using Names = std::unordered_set<std::string_view>;

void CheckService(const Service& service) {
  const std::string what = "service '" + service.name() + "': ";
  CheckRange(what + "slots", service.slots(), 0, kMaxSlots);
  CheckRange(what + "connections", service.connections(), 0, kMaxConnections);
  CheckRange(what + "queue", service.queue(), 0, kMaxQueue);
  CheckRange(what + "slow_start_ms", service.slow_start_ms(), 0, kMaxSlowStartMs);
}

bool IsHostCharacter(char c) { return IsNameCharacter(c) || c == ':'; }

bool IsPathCharacter(char c) { return c > ' ' && c < 0x7f && c != '?' && c != '#'; }

bool IsMethodCharacter(char c) { return (c >= 'A' && c <= 'Z') || c == '-'; }

void CheckMethods(const std::string& what, const Route& route) {
  CheckCount(what + "methods", static_cast<std::size_t>(route.methods_size()),
             kMaxMethodsOfRoute);
  std::set<std::string> seen;
  for (const std::string& method : route.methods()) {
    if (method.empty() || method.size() > kMaxMethodLength ||
        !std::all_of(method.begin(), method.end(), IsMethodCharacter)) {
      Refuse(Concat(what, "method '", method, "' is not legal"));
    }
    if (!seen.insert(method).second)
      Refuse(Concat(what, "method ", method, " stands twice"));
  }
}

template <class What>
void CheckMatch(const What& what, const Route& route) {
  const std::string& host = route.host();
  if (host.size() > kMaxHostLength ||
      !std::all_of(host.begin(), host.end(), IsHostCharacter)) {
    Refuse(what() + "host '" + host + "' is not legal");
  }
  const std::string& path = route.path_prefix();
  if (path.empty() || path.front() != '/' || path.size() > kMaxPathPrefixBytes ||
      !std::all_of(path.begin(), path.end(), IsPathCharacter)) {
    Refuse(what() + "path_prefix '" + path + "' is not legal");
  }
  if (!route.methods().empty()) CheckMethods(what(), route);
}

template <class What>
void CheckTargets(const What& what, const Route& route, const Names& services) {
  const auto& targets = route.targets();
  CheckCount([&what] { return what() + "targets"; },
             static_cast<std::size_t>(targets.size()), kMaxTargetsOfRoute);
  std::uint64_t sum = 0;
  for (auto target = targets.begin(); target != targets.end(); ++target) {
    const std::string& name = target->service();
    if (services.count(name) == 0) {
      Refuse(what() + "target '" + name + "' is not a service");
    }
    const bool twice = std::any_of(targets.begin(), target, [&name](const Target& other) {
      return other.service() == name;
    });
    if (twice) Refuse(what() + "target '" + name + "' stands twice");
    CheckRange([&] { return what() + "weight of '" + name + "'"; }, target->weight(), 0,
               kMaxWeight);
    sum += target->weight();
  }
  if (sum == 0 && !route.fixed_shares()) {
    Refuse(what() + "no target has a weight above 0");
  }
}

void CheckRoute(const Route& route, const Names& services) {
  const auto what = [&route] { return "route '" + route.name() + "': "; };
  CheckMatch(what, route);
  CheckTargets(what, route, services);
  CheckRange([&what] { return what() + "timeout_ms"; }, route.timeout_ms(), 1,
             kMaxRouteTimeoutMs);
  CheckRange([&what] { return what() + "priority"; }, route.priority(), 0, kMaxPriority);
  CheckRange([&what] { return what() + "attempts"; }, route.attempts(), 0,
             kMaxRouteAttempts);
}

// Two routes that match the same requests would leave the choice to the order of a list.
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
void CheckHolders(const std::string& what, const List& holders) {
  CheckCount(what, static_cast<std::size_t>(holders.size()), kMaxKeyGroupMembers);
  std::set<std::string> seen;
  for (const KeyHolder& holder : holders) {
    CheckName(what, holder.instance());
    const std::string& address = holder.stream_address();
    try {
      ParseEndpoint(address);
    } catch (const Error&) {
      Refuse(Concat(what, ": '", address, "' is not ip:port"));
    }
    if (!seen.insert(holder.instance()).second) {
      Refuse(Concat(what, ": '", holder.instance(), "' stands twice"));
    }
  }
}

void CheckKeyGroups(const Configuration& configuration) {
  std::map<std::string, std::size_t> count;
  std::pair<std::string, std::uint32_t> before;
  bool first = true;
  for (const KeyGroup& group : configuration.key_groups()) {
    const std::string what =
        "key group " + group.data_centre() + "/" + std::to_string(group.number()) + ": ";
    CheckName("key group: data centre", group.data_centre());
    std::pair<std::string, std::uint32_t> place(group.data_centre(), group.number());
    if (!first && !(before < place)) Refuse(what + "out of order or stands twice");
    first = false;
    before = std::move(place);
    CheckCount("key groups of " + group.data_centre(), ++count[group.data_centre()],
               kMaxKeyGroupsOfDataCentre);
    if (group.members().empty()) Refuse(what + "no members");
    CheckHolders(what + "members", group.members());
    CheckHolders(what + "previous", group.previous());
  }
  for (const auto& [data_centre, groups] : count) {
    if (!KeyGroupsCoverAllKeys(configuration, data_centre)) {
      Refuse("key groups of " + data_centre + ": a key has no group or two");
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
}

}  // namespace quetzal
