#include "configuration/key_groups_change.h"

#include <utility>

#include "base/concat.h"

namespace quetzal {

KeyGroupsChange::KeyGroupsChange(std::vector<KeyGroup> groups)
    : groups_(std::move(groups)) {}

void KeyGroupsChange::Apply(Configuration* configuration) const {
  configuration->clear_key_groups();
  for (const KeyGroup& group : groups_) *configuration->add_key_groups() = group;
}

std::string KeyGroupsChange::Describe() const {
  std::string text;
  for (const KeyGroup& group : groups_) {
    text += Concat(text.empty() ? "" : "; ", group.data_centre(), " ", group.number(),
                   ": ", group.members_size(), " instances");
    if (group.previous_size() > 0) text += ", together with those of before";
  }
  return Concat("Set the instances that keep request keys (", text, ").");
}

}  // namespace quetzal
