#include "plugins/metrics_prometheus/prometheus_format.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <memory>

namespace quetzal {

std::string PrometheusFormat::Format(const std::vector<Metric>& metrics) const {
  std::vector<prometheus::MetricFamily> families;
  for (const Metric& metric : metrics) {
    const bool counter = metric.kind == MetricKind::kCounter;
    if (families.empty() || families.back().name != metric.name) {
      families.emplace_back();
      families.back().name = metric.name;
      families.back().help = metric.help;
      families.back().type =
          counter ? prometheus::MetricType::Counter : prometheus::MetricType::Gauge;
    }
    prometheus::ClientMetric value;
    for (const auto& [name, text] : metric.labels) value.label.push_back({name, text});
    (counter ? value.counter.value : value.gauge.value) = metric.value;
    families.back().metric.push_back(std::move(value));
  }
  return prometheus::TextSerializer().Serialize(families);
}

std::string PrometheusFormat::content_type() const {
  return "text/plain; version=0.0.4; charset=utf-8";
}

namespace {

const PluginRegistration<MetricsFormatRegistry> registration("prometheus", [] {
  return std::make_unique<PrometheusFormat>();
});

}  // namespace

}  // namespace quetzal
