#include "control/response_comparison.h"

#include <algorithm>
#include <cmath>

#include <boost/math/special_functions/gamma.hpp>

namespace quetzal {
namespace {

/// Smallest number of responses whose ratio or mean says anything.
constexpr std::uint64_t kMinResponses = 10;

/// Differences below are left to chance and load, also when they are significant.
constexpr double kMinExcessFailures = 0.01;
constexpr std::uint64_t kMinFailures = 5;

/// A rollout is evaluated some 300 times a minute on several routes, so condemning needs
/// a probability that repeated looks cannot reach by chance.
constexpr double kCondemningTail = 1e-6;
constexpr double kUnclearTail = 0.05;

/// Response times are summed in whole milliseconds.
constexpr double kMinSlowdownMs = 5;

/// The mean of n response times that vary as much as their mean has a relative error of
/// 1 / sqrt(n). The factors are multiples of it.
constexpr double kCondemningErrors = 1.5;
constexpr double kUnclearErrors = 2.5;
constexpr double kUnclearRatio = 1.2;

double LogFactorial(std::uint64_t n) {
  return boost::math::lgamma(static_cast<double>(n) + 1);
}

double LogChoose(std::uint64_t n, std::uint64_t k) {
  return LogFactorial(n) - LogFactorial(k) - LogFactorial(n - k);
}

double Ratio(std::uint64_t part, std::uint64_t whole) {
  return static_cast<double>(part) / static_cast<double>(whole);
}

}  // namespace

double FailureTail(std::uint64_t failed, std::uint64_t total, std::uint64_t other_failed,
                   std::uint64_t other_total) {
  const std::uint64_t all = total + other_total;
  const std::uint64_t all_failed = failed + other_failed;
  const std::uint64_t most = std::min(total, all_failed);
  double term =
      std::exp(LogChoose(all_failed, failed) +
               LogChoose(all - all_failed, total - failed) - LogChoose(all, total));
  double sum = term;
  for (std::uint64_t n = failed; n < most; ++n) {
    // Ratio of the hypergeometric terms of n + 1 and n failures.
    term *= Ratio(all_failed - n, n + 1) *
            Ratio(total - n, (all - all_failed) - (total - n) + 1);
    sum += term;
    if (term < sum * 1e-12) break;
  }
  return std::min(sum, 1.0);
}

Comparison CompareFailures(const ResponseCounts& old_version,
                           const ResponseCounts& new_version) {
  if (old_version.total() == 0 || new_version.total() == 0) return Comparison::kTooFew;
  const double excess = Ratio(new_version.failed, new_version.total()) -
                        Ratio(old_version.failed, old_version.total());
  if (excess >= kMinExcessFailures) {
    const double tail = FailureTail(new_version.failed, new_version.total(),
                                    old_version.failed, old_version.total());
    if (tail < kCondemningTail && new_version.failed >= kMinFailures) {
      return Comparison::kBad;
    }
    if (tail < kUnclearTail) return Comparison::kUnclear;
  }
  return new_version.total() < kMinResponses ? Comparison::kTooFew : Comparison::kEqual;
}

double TimeRatio(const ResponseCounts& old_version, const ResponseCounts& new_version) {
  if (old_version.answered == 0 || new_version.answered == 0) return 0;
  const double old_mean = Ratio(old_version.time_ms, old_version.answered);
  const double new_mean = Ratio(new_version.time_ms, new_version.answered);
  if (new_mean - old_mean < kMinSlowdownMs) return 1;
  return new_mean / std::max(old_mean, 1.0);
}

Comparison CompareTimes(const ResponseCounts& old_version,
                        const ResponseCounts& new_version, double clear_ratio) {
  if (old_version.answered < kMinResponses || new_version.answered < kMinResponses) {
    return Comparison::kTooFew;
  }
  const double ratio = TimeRatio(old_version, new_version);
  const double error = std::sqrt(1.0 / static_cast<double>(new_version.answered) +
                                 1.0 / static_cast<double>(old_version.answered));
  if (ratio >= clear_ratio + kCondemningErrors * error) return Comparison::kBad;
  if (ratio >= kUnclearRatio + kUnclearErrors * error) return Comparison::kUnclear;
  return Comparison::kEqual;
}

}  // namespace quetzal
