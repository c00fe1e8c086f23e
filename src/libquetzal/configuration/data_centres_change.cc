#include "configuration/data_centres_change.h"

#include <algorithm>
#include <utility>

#include "base/concat.h"

namespace quetzal {

DataCentresChange::DataCentresChange(std::vector<std::string> data_centres)
    : data_centres_(std::move(data_centres)) {
  std::sort(data_centres_.begin(), data_centres_.end());
}

void DataCentresChange::Apply(Configuration* configuration) const {
  configuration->clear_data_centres();
  for (const std::string& name : data_centres_) configuration->add_data_centres(name);
}

std::string DataCentresChange::Describe() const {
  std::string text;
  for (const std::string& name : data_centres_) {
    text += Concat(text.empty() ? "" : ", ", name);
  }
  return Concat("Set the data centres to ", text.empty() ? "none" : text, ".");
}

}  // namespace quetzal
