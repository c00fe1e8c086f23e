#include "control/rollout_judge.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>
#include <utility>
#include <vector>

#include "base/concat.h"
#include "control/response_comparison.h"

namespace quetzal {
namespace {

/// Good versions are shifted at this part of the duration, early enough to complete.
constexpr double kShiftAt = 0.6;
constexpr std::uint64_t kMinResponses = 30;

/// Time before the deadline that a shift needs: acknowledgements of all nodes and the end
/// of the requests at old servers, which take up to 4 s.
constexpr double kReserveShare = 0.15;
constexpr double kMaxReserveShare = 0.25;
constexpr Duration kMinReserve = std::chrono::seconds(10);

/// Periods that are judged besides the whole one; a version that turns bad late is found
/// in them before the whole period shows it.
constexpr std::array<std::size_t, 3> kRecentSeconds = {5, 10, 30};

/// A server that is killed or frozen loses or delays all requests it holds, whatever its
/// version; the reports show this within two adjacent seconds. A bad version is bad in
/// more of them, so the worst two seconds do not count.
constexpr std::size_t kIgnoredSeconds = 2;

constexpr double kSlowRatio = 2;

/// While shifting, the new servers get many times their load within a second, so longer
/// response times say less.
constexpr double kSlowRatioShifting = 4;

/// A route with fewer of the old version's responses is not waited for.
constexpr double kMinRouteShare = 0.02;
constexpr std::uint64_t kMinRouteResponses = 10;

/// With that many responses of the old version in the recent seconds, the new version has
/// some too unless its servers answer nothing.
constexpr std::uint64_t kSilenceResponses = 500;

using Seconds = std::vector<const ResponseCounts*>;

/// One period of one route, or of all routes.
struct Period {
  std::string name;
  RouteResponses sums;
  Seconds seconds;  ///< Of the new version.
};

struct Finding {
  Comparison comparison = Comparison::kTooFew;
  std::string text;
};

/// Takes over a comparison that is worse than the finding; `describe` returns its text.
template <class Describe>
void Worsen(Comparison comparison, const Describe& describe, Finding* finding) {
  if (comparison <= finding->comparison) return;
  finding->comparison = comparison;
  finding->text = describe();
}

/// Returns the sums without the seconds of the highest `badness`.
template <class Badness>
ResponseCounts WithoutWorst(const Period& period, const Badness& badness) {
  std::vector<std::pair<double, const ResponseCounts*>> worst;
  for (const ResponseCounts* second : period.seconds) {
    const double value = badness(*second);
    if (value > 0) worst.emplace_back(value, second);
  }
  const std::size_t ignored = std::min(kIgnoredSeconds, worst.size());
  std::partial_sort(worst.begin(), worst.begin() + static_cast<std::ptrdiff_t>(ignored),
                    worst.end(),
                    [](const auto& a, const auto& b) { return a.first > b.first; });
  ResponseCounts rest = period.sums.new_version;
  for (std::size_t i = 0; i < ignored; ++i) {
    rest.answered -= worst[i].second->answered;
    rest.failed -= worst[i].second->failed;
    rest.time_ms -= worst[i].second->time_ms;
  }
  return rest;
}

std::string Percent(const ResponseCounts& counts) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(1)
       << 100.0 * static_cast<double>(counts.failed) /
              static_cast<double>(std::max<std::uint64_t>(counts.total(), 1));
  return text.str() + "% of " + std::to_string(counts.total());
}

std::string Mean(const ResponseCounts& counts) {
  return std::to_string(counts.time_ms / std::max<std::uint64_t>(counts.answered, 1)) +
         " ms over " + std::to_string(counts.answered);
}

void JudgePeriod(const Period& period, double slow_ratio, Finding* finding) {
  const ResponseCounts& old_version = period.sums.old_version;
  const ResponseCounts& whole = period.sums.new_version;
  ResponseCounts failures = WithoutWorst(period, [](const ResponseCounts& second) {
    return static_cast<double>(second.failed);
  });
  const double old_mean = static_cast<double>(old_version.time_ms) /
                          std::max(1.0, static_cast<double>(old_version.answered));
  ResponseCounts times = WithoutWorst(period, [old_mean](const ResponseCounts& second) {
    return static_cast<double>(second.time_ms) -
           old_mean * static_cast<double>(second.answered);
  });
  Comparison most = Comparison::kBad;
  if (failures.total() < kMinRouteResponses || times.total() < kMinRouteResponses) {
    // Nearly all responses are in the ignored seconds: too few to condemn the version,
    // but reason enough to doubt it.
    failures = whole;
    times = whole;
    most = Comparison::kUnclear;
  }
  Worsen(
      std::min(most, CompareFailures(old_version, failures)),
      [&] {
        return Concat(period.name, ": failed ", Percent(failures), " against ",
                      Percent(old_version));
      },
      finding);
  Worsen(
      std::min(most, CompareTimes(old_version, times, slow_ratio)),
      [&] {
        return Concat(period.name, ": took ", Mean(times), " against ",
                      Mean(old_version));
      },
      finding);
}

ResponseCounts SumOf(const ResponsesByRoute& routes,
                     ResponseCounts RouteResponses::*side) {
  ResponseCounts sum;
  for (const auto& [name, route] : routes) sum.Add(route.*side);
  return sum;
}

ResponsesByRoute SumOfLast(const RolloutEvidence& evidence, std::size_t count) {
  ResponsesByRoute sums;
  const std::size_t skipped =
      evidence.seconds.size() - std::min(count, evidence.seconds.size());
  for (std::size_t i = skipped; i < evidence.seconds.size(); ++i) {
    for (const auto& [name, route] : evidence.seconds[i]) sums[name].Add(route);
  }
  return sums;
}

Seconds SecondsOf(const RolloutEvidence& evidence, const std::string& route,
                  std::size_t count) {
  Seconds seconds;
  const std::size_t skipped =
      evidence.seconds.size() - std::min(count, evidence.seconds.size());
  for (std::size_t i = skipped; i < evidence.seconds.size(); ++i) {
    const auto it = evidence.seconds[i].find(route);
    if (it != evidence.seconds[i].end()) seconds.push_back(&it->second.new_version);
  }
  return seconds;
}

Finding JudgeAllPeriods(const RolloutEvidence& evidence, double slow_ratio) {
  Finding finding;
  for (const auto& [name, route] : evidence.whole) {
    JudgePeriod({Concat("route ", name), route,
                 SecondsOf(evidence, name, evidence.seconds.size())},
                slow_ratio, &finding);
  }
  for (const std::size_t count : kRecentSeconds) {
    if (evidence.seconds.size() <= count) break;  // The whole period covers these.
    for (auto& [name, route] : SumOfLast(evidence, count)) {
      RouteResponses sums = route;
      // During a shift the old version gets no requests any more.
      if (sums.old_version.total() < kMinRouteResponses) {
        sums.old_version = evidence.whole.at(name).old_version;
      }
      JudgePeriod({Concat("route ", name, " in the last ", count, " s"), sums,
                   SecondsOf(evidence, name, count)},
                  slow_ratio, &finding);
    }
  }
  return finding;
}

/// Returns a route with many requests of which the new version got too few; else empty.
std::string RouteWithTooFew(const ResponsesByRoute& routes) {
  const auto all =
      static_cast<double>(SumOf(routes, &RouteResponses::old_version).total());
  for (const auto& [name, route] : routes) {
    const bool matters =
        static_cast<double>(route.old_version.total()) >= kMinRouteShare * all;
    if (matters && route.new_version.total() < kMinRouteResponses) return name;
  }
  return "";
}

bool IsSilent(const RolloutEvidence& evidence) {
  const ResponsesByRoute recent = SumOfLast(evidence, kRecentSeconds.front());
  return SumOf(recent, &RouteResponses::new_version).total() == 0 &&
         SumOf(recent, &RouteResponses::old_version).total() >= kSilenceResponses;
}

RolloutVerdict Decide(const RolloutView& view, const Finding& finding) {
  const RolloutEvidence& evidence = *view.evidence;
  const Duration duration = view.since_start + view.to_deadline;
  const auto part = [duration](double share) {
    return std::chrono::duration_cast<Duration>(duration * share);
  };
  if (view.to_deadline <= Duration(0)) {
    return {RolloutStep::kRollBack, "the deadline passed before a decision"};
  }
  if (view.since_start < part(kShiftAt)) return {};
  const ResponseCounts all = SumOf(evidence.whole, &RouteResponses::new_version);
  std::string doubt;
  if (finding.comparison == Comparison::kUnclear) doubt = finding.text;
  if (IsSilent(evidence)) doubt = "the new version answers nothing any more";
  if (SumOf(evidence.whole, &RouteResponses::old_version).total() < kMinRouteResponses) {
    doubt = "too few responses of the old version to compare with";
  }
  if (all.total() < kMinResponses) {
    doubt = Concat("only ", all.total(), " responses of the new version");
  }
  if (!view.complete_reports) doubt = "not all nodes have reported";
  const Duration reserve =
      std::max(part(kReserveShare), std::min(kMinReserve, part(kMaxReserveShare)));
  const bool final = view.to_deadline <= reserve;
  if (!doubt.empty()) {
    if (!final) return {};
    return {RolloutStep::kRollBack, Concat("in doubt near the deadline: ", doubt)};
  }
  if (!final && !RouteWithTooFew(evidence.whole).empty()) return {};
  const ResponseCounts before = SumOf(evidence.whole, &RouteResponses::old_version);
  return {RolloutStep::kShift,
          Concat("no worse than the old version: failed ", Percent(all), " against ",
                 Percent(before), ", took ", Mean(all), " against ", Mean(before))};
}

}  // namespace

RolloutVerdict JudgeRollout(const RolloutView& view) {
  const bool shifting = view.state == ROLLOUT_SHIFTING;
  const Finding finding =
      JudgeAllPeriods(*view.evidence, shifting ? kSlowRatioShifting : kSlowRatio);
  if (finding.comparison == Comparison::kBad) {
    return {RolloutStep::kRollBack, finding.text};
  }
  return shifting ? RolloutVerdict{} : Decide(view, finding);
}

}  // namespace quetzal
