#ifndef QUETZAL_CALLS_TEAM_SHARES_H_
#define QUETZAL_CALLS_TEAM_SHARES_H_

#include <cstddef>
#include <string>
#include <unordered_map>

namespace quetzal {

/// Divides the slots of a backend server fairly among the teams that want them: in
/// proportion to their weights. Requests without a team are counted nowhere. Keeps a
/// record only of teams that have requests running or queued. The caller serializes the
/// calls.
class TeamShares {
 public:
  /// Counts a request of `team` as running.
  void Start(const std::string& team, double weight);
  void End(const std::string& team);

  /// Begins to rank queued requests, for `slots` slots. AddQueued follows for each of
  /// them, then NextExcess in the order in which a team's requests are to be served.
  void BeginRanking(std::size_t slots);
  void AddQueued(const std::string& team, double weight);

  /// Slots per unit of weight by which the team's requests before its next queued one
  /// exceed its share; zero within the share, and so for the first request of a team.
  double NextExcess(const std::string& team);

  /// Drops the records of teams without requests.
  void EndRanking();

  std::size_t size() const { return teams_.size(); }

 private:
  struct Team {
    std::size_t running = 0;
    std::size_t ranked = 0;
    double weight = 1;
  };

  Team* Find(const std::string& team, double weight);

  std::unordered_map<std::string, Team> teams_;
  double slots_ = 0;
  double weights_ = 0;  ///< Sum over the teams with requests.
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_TEAM_SHARES_H_
