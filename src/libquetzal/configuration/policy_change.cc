#include "configuration/policy_change.h"

#include <utility>

#include "base/concat.h"

namespace quetzal {
namespace {

struct PolicyRow {
  const char* name;
  std::uint32_t (Policy::*value)() const;
};

constexpr PolicyRow kRows[] = {
    {"retries as a share of requests in percent", &Policy::retry_budget_percent},
    {"time to finish requests when stopping in ms", &Policy::drain_limit_ms},
    {"time that request keys are kept in ms", &Policy::key_retention_ms},
};

}  // namespace

PolicyChange::PolicyChange(Policy before, Policy after)
    : before_(std::move(before)), after_(std::move(after)) {}

void PolicyChange::Apply(Configuration* configuration) const {
  *configuration->mutable_policy() = after_;
}

std::string PolicyChange::Describe() const {
  std::string text;
  for (const PolicyRow& row : kRows) {
    const std::uint32_t from = (before_.*row.value)();
    const std::uint32_t to = (after_.*row.value)();
    if (from != to) {
      text += Concat(text.empty() ? "" : ", ", row.name, " from ", from, " to ", to);
    }
  }
  if (before_.load_policy() != after_.load_policy()) {
    text += Concat(text.empty() ? "" : ", ", "load policy from '", before_.load_policy(),
                   "' to '", after_.load_policy(), "'");
  }
  return Concat("Change the policy: ", text, ".");
}

}  // namespace quetzal
