#ifndef QUETZAL_PLUGINS_METRICS_PROMETHEUS_PROMETHEUS_FORMAT_H_
#define QUETZAL_PLUGINS_METRICS_PROMETHEUS_PROMETHEUS_FORMAT_H_

#include <string>
#include <vector>

#include "base/metrics.h"

namespace quetzal {

/// Formats metrics as Prometheus text with prometheus-cpp.
class PrometheusFormat final : public MetricsFormat {
 public:
  std::string Format(const std::vector<Metric>& metrics) const override;
  std::string content_type() const override;
};

}  // namespace quetzal

#endif  // QUETZAL_PLUGINS_METRICS_PROMETHEUS_PROMETHEUS_FORMAT_H_
