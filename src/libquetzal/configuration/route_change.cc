#include "configuration/route_change.h"

#include <cstdint>
#include <utility>

#include "base/concat.h"
#include "configuration/named_list.h"

namespace quetzal {
namespace {

std::string DescribeMatch(const Route& route) {
  std::string methods;
  for (const std::string& method : route.methods()) {
    methods += Concat(methods.empty() ? "" : " or ", method);
  }
  if (methods.empty()) methods = "all";
  const std::string host = route.host().empty() ? "" : Concat(" for host ", route.host());
  return Concat(methods, " requests under ", route.path_prefix(), host);
}

std::string DescribeTargets(const Route& route) {
  std::uint64_t sum = 0;
  for (const Target& target : route.targets()) sum += target.weight();
  if (route.targets_size() == 1) return route.targets(0).service();
  std::string text;
  for (const Target& target : route.targets()) {
    text += Concat(text.empty() ? "" : ", ", target.service(), " (", target.weight(),
                   " of ", sum, ")");
  }
  return text;
}

}  // namespace

std::string DescribeTraffic(const Route& route) {
  return Concat(DescribeMatch(route), " go to ", DescribeTargets(route));
}

std::string DescribeRoute(const Route& route) {
  return Concat(DescribeTraffic(route), ", within ", route.timeout_ms(), " ms, ",
                route.idempotent() ? "idempotent" : "non-idempotent",
                route.priority() == 0 ? "" : Concat(", priority ", route.priority()),
                route.is_public() ? ", public" : "");
}

RouteChange::RouteChange(std::optional<Route> before, std::optional<Route> after)
    : before_(std::move(before)), after_(std::move(after)) {}

void RouteChange::Apply(Configuration* configuration) const {
  if (after_) {
    PutNamed(*after_, configuration->mutable_routes());
  } else {
    EraseNamed(before_->name(), configuration->mutable_routes());
  }
}

std::string RouteChange::Describe() const {
  if (!after_) return Concat("Remove the route ", before_->name(), ".");
  if (!before_) {
    return Concat("Add the route ", after_->name(), ": ", DescribeRoute(*after_), ".");
  }
  return Concat("Change the route ", after_->name(), ": ", DescribeRoute(*after_),
                " (before: ", DescribeRoute(*before_), ").");
}

}  // namespace quetzal
