#ifndef QUETZAL_MEMBERSHIP_REACHABILITY_H_
#define QUETZAL_MEMBERSHIP_REACHABILITY_H_

#include <map>
#include <string>

#include "base/clock.h"
#include "gossip.pb.h"

namespace quetzal {

/// Which other data centres can be reached from this one. The members of a data centre
/// share one assessment of each other data centre; the one with the highest epoch wins.
class Reachability {
 public:
  /// True when `data_centre` is assessed as cut off: none of its members answers.
  bool IsCutOff(const std::string& data_centre) const;

  /// Merges a peer's assessment. Returns true when it replaced the stored one.
  bool Merge(const Reach& reach, SteadyTime now);

  /// Records a new assessment by this instance. Returns the report to gossip.
  Reach Assess(const std::string& data_centre, bool cut_off, SteadyTime now);

  /// Records that a member of `data_centre` answered.
  void RecordAnswer(const std::string& data_centre, SteadyTime now);

  /// Returns when a member of `data_centre` last answered this instance; the clock's
  /// epoch when none did.
  SteadyTime LastAnswer(const std::string& data_centre) const;

  /// False while `data_centre` is assessed as cut off, and for 30 s after peers
  /// contradicted this instance's assessment. Without this pause, a single instance that
  /// is cut off would make the shared assessment flap.
  bool MayDeclareCutOff(const std::string& data_centre, SteadyTime now) const;

  struct Assessment {
    bool cut_off = false;
    std::uint64_t epoch = 0;
    SteadyTime since;
    bool own = false;             ///< Made by this instance.
    SteadyTime suppressed_until;  ///< See MayDeclareCutOff.
  };
  const std::map<std::string, Assessment>& assessments() const { return assessments_; }

 private:
  std::map<std::string, Assessment> assessments_;
  std::map<std::string, SteadyTime> answers_;
};

}  // namespace quetzal

#endif  // QUETZAL_MEMBERSHIP_REACHABILITY_H_
