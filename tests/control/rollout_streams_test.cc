// Judges 200 random streams of responses of each kind and counts the wrong verdicts.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <iostream>
#include <optional>
#include <random>
#include <vector>

#include "control/rollout_judge.h"

namespace quetzal {
namespace {

using Generator = std::mt19937_64;

constexpr int kStreams = 200;
constexpr double kShare = 0.1;
constexpr double kStep = 0.2;  ///< Period of the evaluations, in seconds.
constexpr double kReportDelay =
    0.7;                             ///< From a response until the leader has its report.
constexpr double kApplyDelay = 0.4;  ///< From a verdict until all nodes apply it.
constexpr double kShiftTime = 3;     ///< From the shift until the rollout is complete.
constexpr int kRulingBad = 50;       ///< Bad responses after which the rule applies.

enum class Defect { kNone, kFailures, kSlow };
enum class When { kAtOnce, kLate, kUnderLoad };

struct Kind {
  const char* name;
  Defect defect;
  When when;
  bool one_route;
  int max_routes;
  bool faults;  ///< Killed and frozen servers among those of the new version.
};

/// Parameters of one stream.
struct Stream {
  double duration = 60;
  double rate = 200;               ///< Requests per second of the service.
  std::vector<double> route_ends;  ///< Cumulative shares of the routes.
  double base_failures = 0;
  double mean_ms = 100;
  double sigma = 0.5;  ///< Of the logarithm of the response time.
  double defect_share = 0.3;
  double slow_factor = 4;
  double onset = 0;
  int bad_route = 0;
  double burst_at = 0;  ///< Of the load, for 8 s.
  std::vector<double> fault_times;
};

double Uniform(double low, double high, Generator* random) {
  return std::uniform_real_distribution<double>(low, high)(*random);
}

Stream MakeStream(const Kind& kind, Generator* random) {
  Stream stream;
  stream.duration = Uniform(40, 120, random);
  stream.rate = std::exp(Uniform(std::log(60.0), std::log(900.0), random));
  const int routes = static_cast<int>(Uniform(1, kind.max_routes + 1, random));
  for (int i = 0; i < routes; ++i) {
    stream.route_ends.push_back((i + 1.0) / routes);
  }
  stream.base_failures = Uniform(0, 0.03, random);
  stream.mean_ms = Uniform(40, 500, random);
  stream.sigma = Uniform(0.2, 1.0, random);
  stream.defect_share = Uniform(0.1, 1, random);
  if (kind.defect == Defect::kSlow) {
    // Slower responses among equal ones are found if the mean at least doubles.
    stream.slow_factor = Uniform(3, 8, random);
    const double least = 1.3 / (stream.slow_factor - 1);
    stream.defect_share = Uniform(least, 1, random);
  }
  stream.onset =
      kind.when == When::kLate ? stream.duration * Uniform(0.1, 0.45, random) : 0;
  stream.bad_route = kind.one_route ? static_cast<int>(Uniform(0, routes, random)) : -1;
  stream.burst_at = stream.duration * Uniform(0.1, 0.4, random);
  if (kind.faults) {
    const int faults = static_cast<int>(Uniform(1, 3, random));
    for (int i = 0; i < faults; ++i) {
      stream.fault_times.push_back(Uniform(0, stream.duration, random));
    }
  }
  return stream;
}

struct Outcome {
  bool completed = false;
  std::optional<double>
      late;  ///< Seconds from the 50th bad response to the last request.
  std::string reason;
};

/// One rollout, simulated in steps of the evaluation period.
class Simulation {
 public:
  Simulation(const Kind& kind, const Stream& stream, Generator* random)
      : kind_(kind), stream_(stream), random_(random) {}

  Outcome Run() {
    const int delay = static_cast<int>(kReportDelay / kStep);
    std::vector<std::vector<VersionCounts>> reports;
    Outcome outcome;
    for (double now = 0;; now += kStep) {
      AddResponses(now);
      AddFaults(now);
      reports.push_back(totals_);
      const auto seen = static_cast<int>(reports.size()) - 1 - delay;
      if (seen >= 0) counts_.AddReport("n", 1, reports[static_cast<std::size_t>(seen)]);
      clock_.Advance(std::chrono::milliseconds(static_cast<int>(kStep * 1000)));
      counts_.Tick(clock_.Now());
      if (shifted_at_ && now > *shifted_at_ + kShiftTime) {
        outcome.completed = true;
        return outcome;
      }
      const RolloutVerdict verdict = JudgeRollout(
          {shifted_at_ ? ROLLOUT_SHIFTING : ROLLOUT_RUNNING, &counts_.evidence(),
           Time(now), Time(stream_.duration - now), true});
      if (verdict.step == RolloutStep::kShift) {
        shifted_at_ = now + kApplyDelay;
      } else if (verdict.step == RolloutStep::kRollBack) {
        outcome.reason = verdict.reason;
        if (ruling_at_) outcome.late = now + kApplyDelay - *ruling_at_;
        return outcome;
      }
    }
  }

 private:
  static Duration Time(double seconds) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  }

  VersionCounts* CountsOf(int route, bool new_version) {
    const std::size_t index = static_cast<std::size_t>(route) * 2 + (new_version ? 1 : 0);
    while (totals_.size() <= index) {
      VersionCounts counts;
      counts.set_route("r" + std::to_string(totals_.size() / 2));
      counts.set_new_version(totals_.size() % 2 == 1);
      totals_.push_back(counts);
    }
    return &totals_[index];
  }

  bool InBurst(double now) const {
    return now >= stream_.burst_at && now < stream_.burst_at + 8;
  }

  bool IsDefective(double now, int route) {
    if (kind_.defect == Defect::kNone || now < stream_.onset) return false;
    if (kind_.when == When::kUnderLoad && !InBurst(now)) return false;
    if (stream_.bad_route >= 0 && route != stream_.bad_route) return false;
    return Uniform(0, 1, random_) < stream_.defect_share;
  }

  void AddResponses(double now) {
    const double load = InBurst(now) ? 2 : 1;
    const int n = std::poisson_distribution<int>(stream_.rate * load * kStep)(*random_);
    for (int i = 0; i < n; ++i) AddResponse(now, load);
  }

  void AddResponse(double now, double load) {
    const double pick = Uniform(0, 1, random_);
    const auto end =
        std::upper_bound(stream_.route_ends.begin(), stream_.route_ends.end(), pick);
    const int route = static_cast<int>(std::min<std::ptrdiff_t>(
        end - stream_.route_ends.begin(),
        static_cast<std::ptrdiff_t>(stream_.route_ends.size()) - 1));
    const bool all_new = shifted_at_ && now >= *shifted_at_;
    const bool new_version = all_new || Uniform(0, 1, random_) < kShare;
    VersionCounts* counts = CountsOf(route, new_version);
    const bool defective = new_version && IsDefective(now, route);
    if (defective && ++bad_ == kRulingBad) ruling_at_ = now;
    if ((defective && kind_.defect == Defect::kFailures) ||
        Uniform(0, 1, random_) < stream_.base_failures) {
      counts->set_failed(counts->failed() + 1);
      return;
    }
    double ms = std::lognormal_distribution<double>(
                    std::log(stream_.mean_ms) - stream_.sigma * stream_.sigma / 2,
                    stream_.sigma)(*random_) *
                (1 + (load - 1) * 0.5) * (1 + route % 4);
    if (defective) ms *= stream_.slow_factor;
    counts->set_answered(counts->answered() + 1);
    counts->set_time_ms(counts->time_ms() + static_cast<std::uint64_t>(ms));
  }

  /// A killed server loses up to 12 requests; a frozen one delays them by 4 s.
  void AddFaults(double now) {
    for (const double at : stream_.fault_times) {
      if (at < now || at >= now + kStep) continue;
      const bool killed = Uniform(0, 1, random_) < 0.5;
      for (int i = 0; i < 12; ++i) {
        VersionCounts* counts = CountsOf(0, true);
        if (killed) {
          counts->set_failed(counts->failed() + 1);
        } else {
          counts->set_answered(counts->answered() + 1);
          counts->set_time_ms(counts->time_ms() + 4000);
        }
      }
    }
  }

  const Kind& kind_;
  const Stream& stream_;
  Generator* random_;
  ManualClock clock_;
  RolloutCounts counts_;
  std::vector<VersionCounts> totals_;
  std::optional<double> shifted_at_;
  int bad_ = 0;
  std::optional<double> ruling_at_;
};

// Guards against bad versions that complete, good ones that are rolled back, and verdicts
// that come too late for the rule of 5 s.
TEST(RolloutStreams, WrongVerdictsByKind) {
  const std::vector<Kind> kinds = {
      {"good", Defect::kNone, When::kAtOnce, false, 4, false},
      {"good, servers killed or frozen", Defect::kNone, When::kAtOnce, false, 4, true},
      {"good, up to 12 routes", Defect::kNone, When::kAtOnce, false, 12, false},
      {"failures at once", Defect::kFailures, When::kAtOnce, false, 4, false},
      {"failures later", Defect::kFailures, When::kLate, false, 4, false},
      {"failures under load", Defect::kFailures, When::kUnderLoad, false, 4, false},
      {"failures on one route", Defect::kFailures, When::kAtOnce, true, 4, false},
      {"slow at once", Defect::kSlow, When::kAtOnce, false, 4, false},
      {"slow later", Defect::kSlow, When::kLate, false, 4, false},
      {"slow under load", Defect::kSlow, When::kUnderLoad, false, 4, false},
      {"slow on one route", Defect::kSlow, When::kAtOnce, true, 4, false},
  };
  for (const Kind& kind : kinds) {
    Generator random(20261204);
    int wrong = 0;
    int late = 0;
    double latest = 0;
    std::string example;
    for (int i = 0; i < kStreams; ++i) {
      const Stream stream = MakeStream(kind, &random);
      const Outcome outcome = Simulation(kind, stream, &random).Run();
      const bool good = kind.defect == Defect::kNone;
      if (outcome.completed != good) {
        ++wrong;
        example = outcome.reason;
      }
      if (outcome.late) latest = std::max(latest, *outcome.late);
      if (outcome.late && *outcome.late > 5) ++late;
    }
    std::cout << kind.name << ": " << wrong << " of " << kStreams << " wrong, " << late
              << " later than 5 s (latest " << latest << " s)"
              << (example.empty() ? "" : "; " + example) << "\n";
    EXPECT_LE(wrong, kStreams / 20) << kind.name;
  }
}

}  // namespace
}  // namespace quetzal
