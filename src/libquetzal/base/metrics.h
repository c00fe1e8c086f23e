#ifndef QUETZAL_BASE_METRICS_H_
#define QUETZAL_BASE_METRICS_H_

#include <string>
#include <utility>
#include <vector>

#include "kernel/plugin_registry.h"

namespace quetzal {

enum class MetricKind { kCounter, kGauge };

/// One exported value of a process. Names follow the Prometheus conventions: they end
/// with the unit, those of counters with "_total". Metrics of one name with different
/// labels follow each other.
struct Metric {
  std::string name;
  std::string help;
  MetricKind kind = MetricKind::kGauge;
  double value = 0;
  std::vector<std::pair<std::string, std::string>> labels;
};

/// Formats metrics as text.
class MetricsFormat {
 public:
  virtual ~MetricsFormat() = default;

  virtual std::string Format(const std::vector<Metric>& metrics) const = 0;
  virtual std::string content_type() const = 0;
};

/// Formats by name.
using MetricsFormatRegistry = PluginRegistry<MetricsFormat>;

}  // namespace quetzal

#endif  // QUETZAL_BASE_METRICS_H_
