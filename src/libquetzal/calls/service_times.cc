#include "calls/service_times.h"

namespace quetzal {
namespace {

/// Part of the difference that one more request takes in: an average over about as many.
constexpr int kWeight = 8;

/// Kinds of work kept apart; routes of one service are few.
constexpr std::size_t kMaxKinds = 256;

}  // namespace

void ServiceTimes::Add(Duration time, Average* average) {
  if (average->mean == Duration::zero()) {
    average->mean = time;
    return;
  }
  const Duration off = time - average->mean;
  average->mean += off / kWeight;
  average->deviation += (std::chrono::abs(off) - average->deviation) / kWeight;
}

void ServiceTimes::Note(const std::string& work, Duration time) {
  Add(time, &all_);
  const auto it = by_work_.find(work);
  if (it != by_work_.end()) return Add(time, &it->second);
  if (by_work_.size() < kMaxKinds) Add(time, &by_work_[work]);
}

Duration ServiceTimes::Expected(const std::string& work) const { return Of(work).mean; }

Duration ServiceTimes::Usual(const std::string& work) const {
  const Average& average = Of(work);
  return average.mean + average.deviation;
}

const ServiceTimes::Average& ServiceTimes::Of(const std::string& work) const {
  const auto it = by_work_.find(work);
  return it == by_work_.end() ? all_ : it->second;
}

}  // namespace quetzal
