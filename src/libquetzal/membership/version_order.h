#ifndef QUETZAL_MEMBERSHIP_VERSION_ORDER_H_
#define QUETZAL_MEMBERSHIP_VERSION_ORDER_H_

#include <string>

#include "configuration.pb.h"

namespace quetzal {

/// Versions are ordered by index, then term.
inline bool IsOlder(const Version& a, const Version& b) {
  if (a.index() != b.index()) return a.index() < b.index();
  return a.term() < b.term();
}

inline bool IsSame(const Version& a, const Version& b) {
  return a.index() == b.index() && a.term() == b.term();
}

inline const Version& LaterOf(const Version& a, const Version& b) {
  return IsOlder(a, b) ? b : a;
}

/// "term.index".
inline std::string ToText(const Version& version) {
  return std::to_string(version.term()) + "." + std::to_string(version.index());
}

}  // namespace quetzal

#endif  // QUETZAL_MEMBERSHIP_VERSION_ORDER_H_
