#ifndef QUETZAL_DISTRIBUTION_FRESHNESS_CHECK_H_
#define QUETZAL_DISTRIBUTION_FRESHNESS_CHECK_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "distribution.pb.h"

namespace quetzal {

/// Finds out whether a node's configuration is recent enough to serve with. A node keeps
/// nothing across a restart, so it asks for the lowest version that it may serve: a
/// control instance, which proves the committed version, or, while none can be reached, a
/// majority of the other members of its data centre. Does no I/O.
class FreshnessCheck {
 public:
  struct Settings {
    Duration retry = std::chrono::seconds(1);
    Duration control_timeout = std::chrono::seconds(3);  ///< Until peers are asked.
  };

  FreshnessCheck(Settings settings, const Clock* clock, Random* random);

  /// Starts a new check (start of the process, long pause, declared dead by others).
  /// Answers to earlier questions no longer count.
  void Begin();

  /// Returns the nonce of a question to send to the source now; 0 when none is due.
  std::uint64_t DueQuestion();

  /// Returns true when `nonce` is that of a question asked since Begin().
  bool OnVerified(std::uint64_t nonce);

  /// Records a heartbeat of a source backed by a control instance with a quorum.
  void OnQuorumBacked();

  /// Returns true when it is time to ask peers; AskPeers() starts a round.
  bool ShouldAskPeers() const;
  void AskPeers(const std::vector<std::string>& peers);

  /// Number of the current round; distinguishes its answers from late ones.
  std::uint64_t round() const { return round_; }

  /// Returns the highest version that the answering peers had applied or knew, once a
  /// majority of the peers asked has answered with a fresh configuration.
  std::optional<Version> OnPeerAnswer(std::uint64_t round, const VersionAnswer& answer);

  void End() { pending_ = false; }
  bool pending() const { return pending_; }

 private:
  Settings settings_;
  const Clock* clock_;
  bool pending_ = true;
  std::uint64_t first_nonce_;
  std::uint64_t next_nonce_;
  std::uint64_t round_ = 0;
  std::vector<std::string> asked_;
  std::map<std::string, Version> answers_;
  SteadyTime next_question_;
  SteadyTime next_round_;
  SteadyTime quorum_backed_at_;
};

}  // namespace quetzal

#endif  // QUETZAL_DISTRIBUTION_FRESHNESS_CHECK_H_
