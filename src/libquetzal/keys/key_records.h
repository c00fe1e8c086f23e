#ifndef QUETZAL_KEYS_KEY_RECORDS_H_
#define QUETZAL_KEYS_KEY_RECORDS_H_

#include <cstdint>
#include <functional>
#include <string>

#include "base/clock.h"
#include "base/result_code.h"
#include "key_records.pb.h"

namespace quetzal {

/// Asks for the exclusive right to send a request under an idempotency key.
struct KeyClaim {
  std::string key;
  std::string fingerprint;  ///< Hash of method, path and body of the request.
  std::string attempt_id;   ///< Globally unique: names the sending node and a counter.
  std::string admitting_instance;
  std::uint64_t admitting_incarnation = 0;
  std::string admitting_address;  ///< Stream address of the admitting node.
};

/// Result of a claim.
enum class ClaimOutcome {
  kGranted,        ///< The record names this claim; only the claimer may send.
  kInProgress,     ///< The record names another attempt, which has no outcome yet.
  kDone,           ///< The request ran; the record has its answer if it was kept.
  kReused,         ///< The key belongs to a request with another fingerprint.
  kTableFull,      ///< Record tables are full. No record was made, nothing ran.
  kQuorumMissing,  ///< No majority answered; the claimer must not send.
  kUnknown,        ///< Records that may have contained the key were lost.
};

struct ClaimResult {
  ClaimOutcome outcome = ClaimOutcome::kQuorumMissing;
  KeyRecord record;  ///< The record that a majority holds, if it is known.
};

/// Outcome of an attempt. kNotRun needs evidence: a typed refusal, or a fence (the
/// promise of the admitting node never to run the attempt).
enum class AttemptOutcome { kNotRun, kDone };

/// Records of idempotency keys, each kept by a majority of the holders of its group.
/// Thread-safe; callbacks run on any thread, but never inside the call.
class KeyRecords {
 public:
  using ClaimDone = std::function<void(const ClaimResult&)>;
  using ResolveDone = std::function<void(ResultCode)>;

  virtual ~KeyRecords() = default;

  /// Claims an absent record, or one whose last attempt did not run, for `claim`.
  virtual void Claim(const KeyClaim& claim, Duration timeout, ClaimDone done) = 0;

  /// Records the outcome of `attempt_id`; `answer` is used only for kDone. Gives kOk when
  /// a majority holds the outcome and kKeyReused when the record names another attempt.
  virtual void Resolve(const std::string& key, const std::string& attempt_id,
                       AttemptOutcome outcome, const KeyAnswer& answer, Duration timeout,
                       ResolveDone done) = 0;

  /// Reads the record without claiming it. Gives kInProgress, kDone, kQuorumMissing or
  /// kUnknown, or kGranted with an empty record when no attempt holds the key.
  virtual void Read(const std::string& key, Duration timeout, ClaimDone done) = 0;
};

}  // namespace quetzal

#endif  // QUETZAL_KEYS_KEY_RECORDS_H_
