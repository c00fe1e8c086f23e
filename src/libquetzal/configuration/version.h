#ifndef QUETZAL_CONFIGURATION_VERSION_H_
#define QUETZAL_CONFIGURATION_VERSION_H_

#include "configuration.pb.h"

namespace quetzal {

/// Versions are log positions. The index alone orders them, because each index is
/// committed in one term only.
inline bool IsEarlier(const Version& a, const Version& b) {
  return a.index() < b.index();
}

inline bool IsSameVersion(const Version& a, const Version& b) {
  return a.index() == b.index() && a.term() == b.term();
}

}  // namespace quetzal

#endif  // QUETZAL_CONFIGURATION_VERSION_H_
