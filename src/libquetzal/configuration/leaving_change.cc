#include "configuration/leaving_change.h"

#include <set>
#include <utility>

#include "base/concat.h"

namespace quetzal {

LeavingChange::LeavingChange(std::string instance, bool leaving)
    : instance_(std::move(instance)), leaving_(leaving) {}

void LeavingChange::Apply(Configuration* configuration) const {
  std::set<std::string> names(configuration->leaving().begin(),
                              configuration->leaving().end());
  if (leaving_) {
    names.insert(instance_);
  } else {
    names.erase(instance_);
  }
  configuration->clear_leaving();
  for (const std::string& name : names) configuration->add_leaving(name);
}

std::string LeavingChange::Describe() const {
  if (!leaving_) {
    return Concat("The backend server of ", instance_, " takes new requests again.");
  }
  return Concat("The backend server of ", instance_,
                " leaves: it gets no new requests and finishes those it has.");
}

}  // namespace quetzal
