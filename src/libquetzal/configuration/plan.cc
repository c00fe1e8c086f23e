#include "configuration/plan.h"

#include <google/protobuf/util/message_differencer.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

#include "base/concat.h"
#include "base/result_code.h"
#include "configuration/configuration_check.h"
#include "configuration/data_centres_change.h"
#include "configuration/leaving_change.h"
#include "configuration/named_list.h"
#include "configuration/policy_change.h"
#include "configuration/rollout_change.h"
#include "configuration/rollout_list.h"
#include "configuration/route_change.h"
#include "configuration/service_change.h"
#include "configuration/team_change.h"

namespace quetzal {
namespace {

using google::protobuf::util::MessageDifferencer;

template <class Change, class List>
void AddEntryChanges(const List& current, const List& requested,
                     ConfigurationChanges* changes) {
  for (const auto& entry : requested) {
    const auto* before = FindNamed(current, entry.name());
    if (before == nullptr) {
      changes->push_back(std::make_unique<Change>(std::nullopt, entry));
    } else if (!MessageDifferencer::Equals(*before, entry)) {
      changes->push_back(std::make_unique<Change>(*before, entry));
    }
  }
}

template <class Change, class List, class Names>
void AddEntryRemovals(const List& current, const Names& names,
                      ConfigurationChanges* changes) {
  for (const std::string& name : names) {
    const auto* before = FindNamed(current, name);
    if (before != nullptr) {
      changes->push_back(std::make_unique<Change>(*before, std::nullopt));
    }
  }
}

void AddLeaving(const Configuration& base, const IntentContent& content,
                ConfigurationChanges* changes) {
  for (const std::string& name : content.leave()) {
    if (Contains(base.leaving(), name)) continue;
    changes->push_back(std::make_unique<LeavingChange>(name, true));
  }
  for (const std::string& name : content.enter()) {
    if (!Contains(base.leaving(), name)) continue;
    changes->push_back(std::make_unique<LeavingChange>(name, false));
  }
}

void AddPolicy(const Policy& base, const PolicyIntent& intent,
               ConfigurationChanges* changes) {
  Policy policy = base;
  if (intent.has_retry_budget_percent()) {
    policy.set_retry_budget_percent(intent.retry_budget_percent());
  }
  if (intent.has_drain_limit_ms()) policy.set_drain_limit_ms(intent.drain_limit_ms());
  if (intent.has_key_retention_ms()) {
    policy.set_key_retention_ms(intent.key_retention_ms());
  }
  if (intent.has_load_policy()) policy.set_load_policy(intent.load_policy());
  if (MessageDifferencer::Equals(base, policy)) return;
  changes->push_back(std::make_unique<PolicyChange>(base, policy));
}

void AddDataCentres(const Configuration& base, const IntentContent& content,
                    ConfigurationChanges* changes) {
  if (!content.sets_data_centres()) return;
  std::vector<std::string> names(content.data_centres().begin(),
                                 content.data_centres().end());
  std::sort(names.begin(), names.end());
  if (std::equal(names.begin(), names.end(), base.data_centres().begin(),
                 base.data_centres().end())) {
    return;
  }
  changes->push_back(std::make_unique<DataCentresChange>(std::move(names)));
}

// CheckConfiguration would only report a route target without a service. The operator
// asked for a removal, so the error names the service and a route that still uses it.
void RefuseUsedRemovals(const Configuration& result, const IntentContent& content) {
  for (const std::string& name : content.remove_services()) {
    for (const Route& route : result.routes()) {
      for (const Target& target : route.targets()) {
        if (target.service() != name) continue;
        throw Error(ResultCode::kPlanRefused,
                    Concat("The service ", name, " cannot be removed: the route ",
                           route.name(), " still uses it."));
      }
    }
  }
}

}  // namespace

std::vector<std::string> Plan::Describe() const {
  std::vector<std::string> sentences;
  sentences.reserve(changes.size());
  for (const auto& change : changes) sentences.push_back(change->Describe());
  return sentences;
}

Plan MakePlan(const Configuration& base, const IntentContent& content) {
  Plan plan;
  AddDataCentres(base, content, &plan.changes);
  AddEntryChanges<ServiceChange>(base.services(), content.set_services(), &plan.changes);
  AddEntryChanges<RouteChange>(base.routes(), content.set_routes(), &plan.changes);
  AddEntryRemovals<RouteChange>(base.routes(), content.remove_routes(), &plan.changes);
  AddEntryRemovals<ServiceChange>(base.services(), content.remove_services(),
                                  &plan.changes);
  AddEntryChanges<TeamChange>(base.teams(), content.set_teams(), &plan.changes);
  AddEntryRemovals<TeamChange>(base.teams(), content.remove_teams(), &plan.changes);
  AddLeaving(base, content, &plan.changes);
  if (content.has_policy()) AddPolicy(base.policy(), content.policy(), &plan.changes);
  if (content.has_rollout()) {
    if (auto change = PlanRollout(base, content.rollout())) {
      plan.changes.push_back(std::move(change));
    }
  }

  plan.result = base;
  for (const auto& change : plan.changes) change->Apply(&plan.result);
  RefuseUsedRemovals(plan.result, content);
  RemoveOrphanedRollouts(&plan.result);
  try {
    CheckConfiguration(plan.result);
  } catch (const Error& error) {
    throw Error(ResultCode::kPlanRefused,
                Concat("The plan would break a rule: ", error.what(), "."));
  }
  return plan;
}

}  // namespace quetzal
