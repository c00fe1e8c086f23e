#ifndef QUETZAL_CONFIGURATION_DATA_CENTRES_CHANGE_H_
#define QUETZAL_CONFIGURATION_DATA_CENTRES_CHANGE_H_

#include <string>
#include <vector>

#include "configuration/configuration_change.h"

namespace quetzal {

/// Replaces the list of data centres.
class DataCentresChange final : public ConfigurationChange {
 public:
  explicit DataCentresChange(std::vector<std::string> data_centres);

  void Apply(Configuration* configuration) const override;
  std::string Describe() const override;

 private:
  std::vector<std::string> data_centres_;  ///< Sorted.
};

}  // namespace quetzal

#endif  // QUETZAL_CONFIGURATION_DATA_CENTRES_CHANGE_H_
