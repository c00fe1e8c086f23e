#ifndef QUETZAL_KEYS_KEY_BALLOT_H_
#define QUETZAL_KEYS_KEY_BALLOT_H_

#include "key_records.pb.h"

namespace quetzal {

inline bool operator<(const KeyBallot& a, const KeyBallot& b) {
  if (a.counter() != b.counter()) return a.counter() < b.counter();
  return a.proposer() < b.proposer();
}

inline bool operator==(const KeyBallot& a, const KeyBallot& b) {
  return a.counter() == b.counter() && a.proposer() == b.proposer();
}

}  // namespace quetzal

#endif  // QUETZAL_KEYS_KEY_BALLOT_H_
