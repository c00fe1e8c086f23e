#ifndef QUETZAL_DISTRIBUTION_RECORD_WITNESSES_H_
#define QUETZAL_DISTRIBUTION_RECORD_WITNESSES_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/settings.h"
#include "membership/membership.h"

namespace quetzal {

/// Position in the order of the records that one instance publishes about itself.
struct RecordNumber {
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
};

RecordNumber NumberOf(const Member& record);
bool operator<(const RecordNumber& a, const RecordNumber& b);

/// The members that are asked to hold this instance's record, so that its next process
/// can learn from them what this one has promised: the control instances or, where none
/// takes part in the gossip, three nodes. What a majority holds is found by a later
/// process that asks a majority. Does no I/O; not thread-safe.
class RecordWitnesses {
 public:
  /// Keeps `membership`, which must outlive this object.
  explicit RecordWitnesses(const Membership* membership) : membership_(membership) {}

  /// Returns the witnesses that do not hold the current record yet. Each counts as asked
  /// until OnAnswer.
  std::vector<Endpoint> TakeDue();

  /// `held`: the witness holds the record `sent`.
  void OnAnswer(const Endpoint& witness, const RecordNumber& sent, bool held);

  /// True when a majority of the witnesses holds `record` or a later one.
  bool Held(const RecordNumber& record) const;

 private:
  struct State {
    std::uint64_t incarnation = 0;  ///< Of the witness; its next process holds nothing.
    RecordNumber held;
    bool asked = false;
  };

  /// Incarnations of the witnesses by stream address.
  std::map<std::string, std::uint64_t> Witnesses() const;

  const Membership* membership_;
  std::map<std::string, State> states_;  ///< By stream address.
};

}  // namespace quetzal

#endif  // QUETZAL_DISTRIBUTION_RECORD_WITNESSES_H_
