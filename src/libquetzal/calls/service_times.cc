#include "calls/service_times.h"

namespace quetzal {
namespace {

/// Part of the difference that one more request takes in: an average over about as many.
constexpr int kWeight = 8;

/// Kinds of work kept apart; routes of one service are few.
constexpr std::size_t kMaxKinds = 256;

void Average(Duration time, Duration* mean) {
  *mean = *mean == Duration::zero() ? time : *mean + (time - *mean) / kWeight;
}

}  // namespace

void ServiceTimes::Note(const std::string& work, Duration time) {
  Average(time, &mean_);
  const auto it = by_work_.find(work);
  if (it != by_work_.end()) return Average(time, &it->second);
  if (by_work_.size() < kMaxKinds) by_work_.emplace(work, time);
}

Duration ServiceTimes::Expected(const std::string& work) const {
  const auto it = by_work_.find(work);
  return it == by_work_.end() ? mean_ : it->second;
}

}  // namespace quetzal
