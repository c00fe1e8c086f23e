#include "calls/slot_probes.h"

#include <chrono>
#include <cmath>

namespace quetzal {
namespace {

constexpr std::size_t kUsualProbes = 4;

/// With one probe, requests queue at servers with long waits: the value of the answers in
/// an overload fell by 3 to 7 points in a trial with overload_bench. Two cost a third
/// fewer messages than four.
constexpr std::size_t kProbesWhenFull = 2;

/// Below this share of successful probes, the service counts as full. With 0.3, the usual
/// load of overload_bench (80%) was affected.
constexpr double kFullShare = 0.15;

/// Long compared with one request, short compared with a burst.
constexpr std::chrono::duration<double> kDecayTime{1.0};

/// Successful probes that are added, so that a few failed ones change nothing.
constexpr double kSmoothingProbes = 5;

}  // namespace

void SlotProbes::Record(const std::string& service, bool found, SteadyTime now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Rate& rate = rates_[service];
  Decay(now, &rate);
  rate.all += 1;
  if (found) rate.found += 1;
}

std::size_t SlotProbes::Limit(const std::string& service, SteadyTime now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = rates_.find(service);
  if (it == rates_.end()) return kUsualProbes;
  Rate rate = it->second;
  Decay(now, &rate);
  const double share = (rate.found + kSmoothingProbes) / (rate.all + kSmoothingProbes);
  return share < kFullShare ? kProbesWhenFull : kUsualProbes;
}

void SlotProbes::Decay(SteadyTime now, Rate* rate) {
  const double kept = std::exp(-(now - rate->at) / kDecayTime);
  rate->found *= kept;
  rate->all *= kept;
  rate->at = now;
}

}  // namespace quetzal
