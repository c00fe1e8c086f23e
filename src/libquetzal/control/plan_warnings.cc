#include "control/plan_warnings.h"

#include <map>
#include <set>
#include <tuple>

#include "base/concat.h"
#include "configuration/named_list.h"

namespace quetzal {
namespace {

using Sentences = std::vector<std::string>;

void WarnOfUnservedServices(const IntentContent& content,
                            const std::vector<LiveInstance>& live_instances,
                            Sentences* warnings) {
  std::set<std::string> served;
  for (const LiveInstance& live_instance : live_instances)
    served.insert(live_instance.service);
  for (const Service& service : content.set_services()) {
    if (served.count(service.name()) > 0) continue;
    warnings->push_back(Concat("No backend server of ", service.name(),
                               " has announced itself yet; until one does, its requests ",
                               "are refused."));
  }
}

void WarnOfWeights(const IntentContent& content, Sentences* warnings) {
  for (const Route& route : content.set_routes()) {
    for (const Target& target : route.targets()) {
      if (target.weight() > 0) continue;
      warnings->push_back(Concat("The route ", route.name(), " sends nothing to ",
                                 target.service(), ", since its weight is 0."));
    }
  }
}

const LiveInstance* FindInstance(const std::vector<LiveInstance>& live_instances,
                                 const std::string& instance) {
  for (const LiveInstance& live_instance : live_instances) {
    if (live_instance.instance == instance) return &live_instance;
  }
  return nullptr;
}

struct Capacity {
  std::size_t before = 0;
  std::size_t after = 0;
};

void WarnOfCapacity(const Configuration& base, const IntentContent& content,
                    const std::vector<LiveInstance>& live_instances,
                    Sentences* warnings) {
  std::map<std::pair<std::string, std::string>, Capacity> capacities;
  std::map<std::string, std::size_t> remaining;
  for (const LiveInstance& live_instance : live_instances) {
    if (Contains(base.leaving(), live_instance.instance)) continue;
    Capacity& capacity = capacities[{live_instance.service, live_instance.data_centre}];
    ++capacity.before;
    if (Contains(content.leave(), live_instance.instance)) continue;
    ++capacity.after;
    ++remaining[live_instance.service];
  }
  for (const auto& [key, capacity] : capacities) {
    const auto& [service, data_centre] = key;
    if (service.empty() || capacity.before == capacity.after) continue;
    warnings->push_back(Concat("In ", data_centre, ", ", capacity.after, " of ",
                               capacity.before, " backend servers of ", service,
                               " are left."));
    if (remaining[service] == 0) {
      warnings->push_back(Concat("No backend server of ", service,
                                 " is left anywhere; its requests will be refused."));
    } else if (capacity.after == 0) {
      warnings->push_back(Concat("Requests in ", data_centre, " for ", service,
                                 " go to other data centres from then on."));
    }
  }
}

void WarnOfUnknownInstances(const Configuration& base, const IntentContent& content,
                            const std::vector<LiveInstance>& live_instances,
                            Sentences* warnings) {
  for (const std::string& name : content.leave()) {
    if (Contains(base.leaving(), name)) {
      warnings->push_back(Concat("The backend server of ", name, " leaves already."));
    } else if (FindInstance(live_instances, name) == nullptr) {
      warnings->push_back(Concat("No instance called ", name, " is live now."));
    }
  }
  for (const std::string& name : content.enter()) {
    if (Contains(base.leaving(), name)) continue;
    warnings->push_back(Concat("The backend server of ", name, " was not leaving."));
  }
}

}  // namespace

std::vector<std::string> WarningsOf(const Configuration& base,
                                    const IntentContent& content,
                                    const std::vector<LiveInstance>& live_instances) {
  Sentences warnings;
  WarnOfUnservedServices(content, live_instances, &warnings);
  WarnOfWeights(content, &warnings);
  WarnOfUnknownInstances(base, content, live_instances, &warnings);
  WarnOfCapacity(base, content, live_instances, &warnings);
  return warnings;
}

}  // namespace quetzal
