#ifndef QUETZAL_KEYS_KEY_CHANGE_H_
#define QUETZAL_KEYS_KEY_CHANGE_H_

#include <memory>

#include "keys/key_records.h"

namespace quetzal {

/// Decides how an operation changes a record, given the current record.
class KeyChange {
 public:
  /// Either a record to write, or an outcome that needs no write.
  struct Decision {
    bool write = false;
    KeyRecord record;
    ClaimOutcome outcome =
        ClaimOutcome::kGranted;  ///< Outcome after the write, or without one.
  };

  virtual ~KeyChange() = default;
  virtual Decision Decide(const KeyRecord& current) const = 0;
};

/// Claims an absent record, or one whose attempt did not run.
std::unique_ptr<KeyChange> MakeClaimChange(const KeyClaim& claim);

/// Records the outcome of an attempt. Gives kGranted when the record has an outcome of
/// the attempt, kReused when the record names another attempt.
std::unique_ptr<KeyChange> MakeResolveChange(const std::string& attempt_id,
                                             AttemptOutcome outcome,
                                             const KeyAnswer& answer);

/// Reads the record without changing it.
std::unique_ptr<KeyChange> MakeReadChange();

}  // namespace quetzal

#endif  // QUETZAL_KEYS_KEY_CHANGE_H_
