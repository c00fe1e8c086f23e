#ifndef QUETZAL_CALLS_ATTEMPT_TABLE_H_
#define QUETZAL_CALLS_ATTEMPT_TABLE_H_

#include <cstdint>
#include <list>
#include <mutex>
#include <string>
#include <unordered_map>

#include "key_records.pb.h"

namespace quetzal {

/// Identifies one attempt to run a non-idempotent request. Never reused; contains the
/// wall time at which the coordinating node created it.
struct AttemptId {
  static std::string Make(const std::string& instance, std::uint64_t incarnation,
                          std::uint64_t counter, std::int64_t micros);

  /// Wall time in microseconds; 0 when the text is malformed.
  static std::int64_t Micros(const std::string& attempt_id);
};

/// State of an attempt as its admitting node knows it; AttemptPhase in messages. Once it
/// is kNotRun or kDone, the key's record gets the AttemptOutcome of the same name.
enum class AttemptState {
  kNeverSeen,  ///< It may still arrive, unless it was fenced.
  kRunning,    ///< Queued for a slot or sent to the backend server.
  kNotRun,     ///< Refused or fenced; never runs in this incarnation of the node.
  kDone,       ///< The backend server answered.
  kUnknown,    ///< Sent without a complete answer, or too old for the table.
};

struct AttemptView {
  AttemptState state = AttemptState::kUnknown;
  KeyAnswer answer;  ///< With kDone; `dropped` when it was too large to keep.
};

/// Attempts that this node has seen in this incarnation. Bounded: the oldest finished
/// attempts are evicted first. Attempts that are not newer than an evicted one are
/// refused from then on, so that eviction never permits a second run. Safe for use from
/// several threads.
class AttemptTable {
 public:
  AttemptTable(std::size_t max_entries, std::size_t max_answer_bytes)
      : max_entries_(max_entries), max_answer_bytes_(max_answer_bytes) {}

  /// True when the attempt may proceed; false when it was seen, fenced or is too old.
  bool Begin(const std::string& attempt_id);

  /// Records the end of an attempt; `state` is kNotRun, kDone or kUnknown.
  void End(const std::string& attempt_id, AttemptState state, KeyAnswer answer);

  /// Returns the state of an attempt. With `fence`, an attempt that was never seen is
  /// fenced: it is kNotRun from then on.
  AttemptView Inquire(const std::string& attempt_id, bool fence);

  std::size_t size() const;

 private:
  struct Entry {
    AttemptView view;
    /// Position in finished_; end() while the attempt runs.
    std::list<std::string>::iterator finished;
  };

  void FinishLocked(const std::string& attempt_id, Entry* entry);
  void EvictOldestLocked();
  bool IsTooOldLocked(const std::string& attempt_id) const;

  const std::size_t max_entries_;
  const std::size_t max_answer_bytes_;
  mutable std::mutex mutex_;
  std::unordered_map<std::string, Entry> entries_;
  std::list<std::string> finished_;  ///< Oldest first.
  std::size_t answer_bytes_ = 0;
  std::int64_t evicted_micros_ = 0;  ///< Wall time of the newest evicted attempt.
};

}  // namespace quetzal

#endif  // QUETZAL_CALLS_ATTEMPT_TABLE_H_
