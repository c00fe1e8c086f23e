#ifndef QUETZAL_DISTRIBUTION_CREDENTIAL_LEASE_H_
#define QUETZAL_DISTRIBUTION_CREDENTIAL_LEASE_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "configuration.pb.h"

namespace quetzal {

/// Bounds the time for which a node uses credentials that may have been withdrawn. The
/// node asks its source for the committed version; once it has applied what was committed
/// after a question was asked, credentials are proved until the lease after that question
/// has passed. Does no I/O. `proved()` may be called from any thread; all other calls
/// must come on one executor.
class CredentialLease {
 public:
  /// With a `lease` of 0, credentials are always proved and nothing is asked.
  CredentialLease(Duration lease, const Clock* clock, Random* random);

  /// Returns the nonce of a question to send to the source now; 0 when none is due.
  std::uint64_t DueQuestion();

  /// The source was replaced: the answer to the last question may never arrive.
  void OnSourceChanged();

  /// Records an answer: `committed` was read from a quorum after the question with
  /// `nonce` was sent. Returns false when this lease did not ask that question.
  bool OnVerified(std::uint64_t nonce, const Version& committed, const Version& applied);

  /// Records that `applied` is in use: answers that waited for it count from now on.
  void OnApplied(const Version& applied);

  /// True while the node may use the credentials of the applied configuration.
  bool proved() const;

 private:
  struct Question {
    std::uint64_t nonce = 0;
    SteadyTime asked_at;
  };
  struct Proof {
    Version committed;
    SteadyTime until;
  };

  void Extend(SteadyTime until);

  const Duration lease_;
  const Clock* clock_;
  std::uint64_t next_nonce_;
  SteadyTime next_question_;
  std::deque<Question> questions_;  ///< Without an answer, oldest first.
  std::vector<Proof> waiting_;      ///< For their version to be applied.
  std::atomic<SteadyTime> proved_until_;
};

}  // namespace quetzal

#endif  // QUETZAL_DISTRIBUTION_CREDENTIAL_LEASE_H_
