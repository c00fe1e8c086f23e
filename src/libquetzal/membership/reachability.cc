#include "membership/reachability.h"

#include <chrono>

namespace quetzal {

namespace {

constexpr Duration kSuppressionAfterContradiction = std::chrono::seconds(30);

}  // namespace

bool Reachability::IsCutOff(const std::string& data_centre) const {
  auto it = assessments_.find(data_centre);
  return it != assessments_.end() && it->second.cut_off;
}

bool Reachability::Merge(const Reach& reach, SteadyTime now) {
  Assessment& current = assessments_[reach.data_centre()];
  const bool newer =
      reach.epoch() > current.epoch ||
      (reach.epoch() == current.epoch && current.cut_off && !reach.cut_off());
  if (!newer) return false;
  if (current.own && current.cut_off && !reach.cut_off()) {
    current.suppressed_until = now + kSuppressionAfterContradiction;
  }
  if (current.cut_off != reach.cut_off()) current.since = now;
  current.own = false;
  current.cut_off = reach.cut_off();
  current.epoch = reach.epoch();
  return true;
}

Reach Reachability::Assess(const std::string& data_centre, bool cut_off, SteadyTime now) {
  Assessment& current = assessments_[data_centre];
  current.cut_off = cut_off;
  current.own = true;
  current.since = now;
  ++current.epoch;
  Reach reach;
  reach.set_data_centre(data_centre);
  reach.set_epoch(current.epoch);
  reach.set_cut_off(cut_off);
  return reach;
}

void Reachability::RecordAnswer(const std::string& data_centre, SteadyTime now) {
  answers_[data_centre] = now;
}

SteadyTime Reachability::LastAnswer(const std::string& data_centre) const {
  auto it = answers_.find(data_centre);
  return it == answers_.end() ? SteadyTime{} : it->second;
}

bool Reachability::MayDeclareCutOff(const std::string& data_centre,
                                    SteadyTime now) const {
  auto it = assessments_.find(data_centre);
  return it == assessments_.end() ||
         (!it->second.cut_off && now >= it->second.suppressed_until);
}

}  // namespace quetzal
