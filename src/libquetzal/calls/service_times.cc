#include "calls/service_times.h"

#include <algorithm>

namespace quetzal {
namespace {

/// The moving averages cover about this many requests.
constexpr int kAveragedRequests = 8;

/// Kinds of work with averages of their own. A service has few routes.
constexpr std::size_t kMaxKinds = 256;

}  // namespace

void ServiceTimes::AddSample(Duration time, Duration* mean) {
  if (*mean == Duration::zero()) {
    *mean = time;
    return;
  }
  *mean += (time - *mean) / kAveragedRequests;
}

void ServiceTimes::Record(const std::string& work, Duration time) {
  AddSample(time, &all_);
  const auto it = by_work_.find(work);
  if (it != by_work_.end()) return AddSample(time, &it->second);
  if (by_work_.size() < kMaxKinds) AddSample(time, &by_work_[work]);
}

Duration ServiceTimes::Expected(const std::string& work) const {
  const auto it = by_work_.find(work);
  return it == by_work_.end() ? all_ : it->second;
}

bool ServiceTimes::IsShort(const std::string& work) const {
  const auto it = by_work_.find(work);
  if (it == by_work_.end()) return false;
  return std::any_of(by_work_.begin(), by_work_.end(),
                     [it](const auto& other) { return 2 * it->second <= other.second; });
}

}  // namespace quetzal
