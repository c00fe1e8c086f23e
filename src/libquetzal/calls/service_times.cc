#include "calls/service_times.h"

namespace quetzal {
namespace {

/// The moving averages cover about this many requests.
constexpr int kAveragedRequests = 8;

/// Kinds of work with averages of their own. A service has few routes.
constexpr std::size_t kMaxKinds = 256;

}  // namespace

void ServiceTimes::AddSample(Duration time, Average* average) {
  if (average->mean == Duration::zero()) {
    average->mean = time;
    return;
  }
  const Duration off = time - average->mean;
  average->mean += off / kAveragedRequests;
  average->deviation += (std::chrono::abs(off) - average->deviation) / kAveragedRequests;
}

void ServiceTimes::Record(const std::string& work, Duration time) {
  AddSample(time, &all_);
  const auto it = by_work_.find(work);
  if (it != by_work_.end()) return AddSample(time, &it->second);
  if (by_work_.size() < kMaxKinds) AddSample(time, &by_work_[work]);
}

Duration ServiceTimes::Expected(const std::string& work) const {
  return AverageFor(work).mean;
}

Duration ServiceTimes::UpperEstimate(const std::string& work) const {
  const Average& average = AverageFor(work);
  return average.mean + average.deviation;
}

const ServiceTimes::Average& ServiceTimes::AverageFor(const std::string& work) const {
  const auto it = by_work_.find(work);
  return it == by_work_.end() ? all_ : it->second;
}

}  // namespace quetzal
