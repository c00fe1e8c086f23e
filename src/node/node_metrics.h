#ifndef QUETZAL_NODE_NODE_METRICS_H_
#define QUETZAL_NODE_NODE_METRICS_H_

#include <vector>

#include "base/metrics.h"

namespace quetzal {

struct NodeReport;

/// Returns the metrics of a node.
std::vector<Metric> NodeMetrics(const NodeReport& report);

}  // namespace quetzal

#endif  // QUETZAL_NODE_NODE_METRICS_H_
