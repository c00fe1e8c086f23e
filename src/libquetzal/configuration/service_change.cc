#include "configuration/service_change.h"

#include <utility>

#include "base/concat.h"
#include "configuration/named_list.h"

namespace quetzal {
namespace {

struct LimitRow {
  const char* name;
  std::uint32_t (Service::*value)() const;
};

constexpr LimitRow kLimits[] = {
    {"requests at once per backend server", &Service::slots},
    {"connections per backend server", &Service::connections},
    {"waiting requests per backend server", &Service::queue},
    {"slow start in ms", &Service::slow_start_ms},
};

std::string DescribeLimits(const Service& service) {
  std::string text;
  for (const LimitRow& row : kLimits) {
    const std::uint32_t n = (service.*row.value)();
    if (n != 0) text += Concat(text.empty() ? "" : ", ", row.name, ": ", n);
  }
  return text.empty() ? "limits as each backend server announces them" : text;
}

std::string DescribeDifference(const Service& before, const Service& after) {
  std::string text;
  for (const LimitRow& row : kLimits) {
    const std::uint32_t from = (before.*row.value)();
    const std::uint32_t to = (after.*row.value)();
    if (from != to) {
      text += Concat(text.empty() ? "" : ", ", row.name, " from ", from, " to ", to);
    }
  }
  return text;
}

}  // namespace

ServiceChange::ServiceChange(std::optional<Service> before, std::optional<Service> after)
    : before_(std::move(before)), after_(std::move(after)) {}

void ServiceChange::Apply(Configuration* configuration) const {
  if (after_) {
    PutNamed(*after_, configuration->mutable_services());
  } else {
    EraseNamed(before_->name(), configuration->mutable_services());
  }
}

std::string ServiceChange::Describe() const {
  if (!after_) return Concat("Remove the service ", before_->name(), ".");
  if (!before_) {
    return Concat("Add the service ", after_->name(), " (", DescribeLimits(*after_),
                  ").");
  }
  return Concat("Change the service ", after_->name(), ": ",
                DescribeDifference(*before_, *after_), ".");
}

}  // namespace quetzal
