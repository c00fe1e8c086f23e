#ifndef QUETZAL_CONTROL_RESPONSE_COMPARISON_H_
#define QUETZAL_CONTROL_RESPONSE_COMPARISON_H_

#include <cstdint>

#include "control/rollout_counts.h"

namespace quetzal {

/// How the new version compares with the old one. Ordered: the worse, the greater.
enum class Comparison { kTooFew, kEqual, kUnclear, kBad };

/// Probability that a version that fails as often as the other one has at least `failed`
/// failures among its `total` responses (Fisher's exact test, one-sided).
double FailureTail(std::uint64_t failed, std::uint64_t total, std::uint64_t other_failed,
                   std::uint64_t other_total);

/// Compares the failure ratios.
Comparison CompareFailures(const ResponseCounts& old_version,
                           const ResponseCounts& new_version);

/// Compares the mean response times; `clear_ratio` is the ratio that condemns.
Comparison CompareTimes(const ResponseCounts& old_version,
                        const ResponseCounts& new_version, double clear_ratio);

/// Mean response time of the new version divided by that of the old one; 0: unknown.
double TimeRatio(const ResponseCounts& old_version, const ResponseCounts& new_version);

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_RESPONSE_COMPARISON_H_
