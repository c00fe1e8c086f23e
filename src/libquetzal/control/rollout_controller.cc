#include "control/rollout_controller.h"

#include <algorithm>
#include <vector>

#include "base/concat.h"
#include "base/result_code.h"
#include "configuration/rollout_list.h"
#include "configuration/version.h"

namespace quetzal {
namespace {

constexpr Duration kPeriod = std::chrono::milliseconds(200);

/// A longer gap between two checks means that this process was paused.
constexpr Duration kPauseLimit = std::chrono::seconds(1);

/// Within this time, the other control instances have forwarded what they know to a new
/// leader, and each node has repeated its report (every 2 s) once.
constexpr Duration kReportWait = std::chrono::seconds(3);

/// Two periods of the reports and the way through relays.
constexpr Duration kFreshReport = std::chrono::seconds(5);

/// A node that the membership holds for dead may be frozen; its requests at old servers
/// have timed out after that long.
constexpr Duration kDeadNodeWait = std::chrono::seconds(10);

/// Acknowledgements and the last requests take a moment after each shift, so the first
/// delay is logged only after this period.
constexpr Duration kDelayLogPeriod = std::chrono::seconds(2);

constexpr Duration kQuorumContactTimeout = std::chrono::seconds(1);

bool IsGone(const TrackedProxy& proxy) {
  return proxy.ack.state == MEMBER_DEAD || proxy.ack.state == MEMBER_LEFT;
}

bool Concerns(const VersionCounts& entry, const Rollout& rollout) {
  return entry.service() == rollout.service() &&
         IsSameVersion(entry.started(), rollout.started());
}

std::vector<VersionCounts> CountsOf(const ProxyAck& ack, const Rollout& rollout) {
  std::vector<VersionCounts> counts;
  for (const VersionCounts& entry : ack.version_counts) {
    if (Concerns(entry, rollout)) counts.push_back(entry);
  }
  return counts;
}

std::uint64_t RunningAtOldServers(const ProxyAck& ack, const Rollout& rollout) {
  std::uint64_t running = 0;
  for (const VersionCounts& entry : ack.version_counts) {
    if (!entry.new_version() && Concerns(entry, rollout)) running += entry.running();
  }
  return running;
}

std::string TextOf(const Version& version) {
  return Concat(version.term(), ".", version.index());
}

}  // namespace

void RolloutController::Start() {
  timer_ = dependencies_.executor->Every(kPeriod, [this] { Check(); });
}

void RolloutController::Check() {
  const LeadershipView view = dependencies_.agreement->leadership();
  DetectTakeover(view);
  Observe();
  for (auto& [service, watched] : watched_) AddReports(&watched);
  informed_ =
      !view.leader.empty() && (view.leading || view.since_quorum < kQuorumContactTimeout);
  if (!view.leading) return;
  LogStates();
  if (!busy_) Decide();
}

// What the nodes reported to an earlier leader, or during a pause, arrives later.
void RolloutController::DetectTakeover(const LeadershipView& view) {
  const SteadyTime now = dependencies_.clock->Now();
  const bool paused = last_check_ && now - *last_check_ > kPauseLimit;
  const bool took_over = view.leading && (!leading_ || view.term != term_);
  if (paused || took_over) leading_since_ = now;
  if (paused) informed_ = false;
  last_check_ = now;
  leading_ = view.leading;
  term_ = view.term;
}

void RolloutController::Observe() {
  // The version is read last, so that it is not older than the configuration.
  const auto configuration = dependencies_.machine->configuration();
  const Version version = dependencies_.machine->version();
  for (auto it = watched_.begin(); it != watched_.end();) {
    const bool dropped = FindRollout(*configuration, it->first) == nullptr;
    it = dropped ? watched_.erase(it) : std::next(it);
  }
  for (const Rollout& rollout : configuration->rollouts()) {
    auto it = watched_.find(rollout.service());
    if (it == watched_.end() ||
        !IsSameVersion(it->second.rollout.started(), rollout.started())) {
      it = watched_.insert_or_assign(rollout.service(), Begin(rollout)).first;
      SetState(rollout, version, &it->second);
    } else if (it->second.rollout.state() != rollout.state()) {
      SetState(rollout, version, &it->second);
    }
  }
}

void RolloutController::SetState(const Rollout& rollout, const Version& version,
                                 Watched* watched) const {
  watched->rollout = rollout;
  watched->state_version = version;
  watched->next_delay_log = dependencies_.clock->Now() + kDelayLogPeriod;
}

RolloutController::Watched RolloutController::Begin(const Rollout& rollout) const {
  Watched watched;
  watched.started_at = dependencies_.clock->Now();
  if (informed_) return watched;  // It began after the last check.
  // Observed after a restart or an interruption, so only wall clocks tell its age.
  const auto wall = std::chrono::duration_cast<std::chrono::microseconds>(
      dependencies_.clock->WallNow().time_since_epoch());
  const Duration age = wall - std::chrono::microseconds(
                                  static_cast<std::int64_t>(rollout.started_micros()));
  watched.started_at -= std::clamp(
      age, Duration(0), Duration(std::chrono::milliseconds(rollout.duration_ms())));
  return watched;
}

void RolloutController::AddReports(Watched* watched) {
  if (!IsInProgress(watched->rollout.state())) return;
  const SteadyTime now = dependencies_.clock->Now();
  // Reports to a new leader, or after a pause, cover the time before.
  const bool catching_up = now - leading_since_ < kReportWait &&
                           leading_since_ - watched->started_at > kPeriod;
  for (const auto& [name, proxy] : dependencies_.service->tracker().proxies()) {
    if (!IsGone(proxy)) watched->data_centres.insert(proxy.ack.data_centre);
    const std::vector<VersionCounts> counts = CountsOf(proxy.ack, watched->rollout);
    if (counts.empty()) continue;
    const std::uint64_t incarnation = proxy.ack.incarnation;
    if (catching_up && !watched->counts.Knows(name, incarnation)) {
      watched->counts.AddBaseline(name, incarnation, counts);
    } else {
      watched->counts.AddReport(name, incarnation, counts);
    }
  }
  watched->counts.Tick(now);
}

// A new leader repeats the last state of each rollout, since its predecessor may have
// committed it without logging it.
void RolloutController::LogStates() {
  for (const auto& [service, watched] : watched_) {
    const Rollout& rollout = watched.rollout;
    const std::pair position(rollout.started().index(), rollout.state());
    const auto [it, added] = logged_.try_emplace(service, position);
    if (!added && it->second == position) continue;
    it->second = position;
    Event event{"rollout.started",
                {{"service", service},
                 {"target", rollout.version()},
                 {"rollout", TextOf(rollout.started())},
                 {"version", TextOf(watched.state_version)}}};
    if (rollout.state() == ROLLOUT_RUNNING) {
      event.fields.emplace_back("duration_ms", std::to_string(rollout.duration_ms()));
      event.fields.emplace_back("share_permille",
                                std::to_string(rollout.max_share_permille()));
    } else {
      event.name = "rollout.advanced";
      event.fields.emplace_back("state", RolloutStateText(rollout.state()));
      event.fields.emplace_back("reason", rollout.reason());
    }
    dependencies_.events->Emit(event);
  }
}

void RolloutController::Decide() {
  const SteadyTime now = dependencies_.clock->Now();
  for (auto& [service, watched] : watched_) {
    const Rollout& rollout = watched.rollout;
    if (!IsInProgress(rollout.state())) continue;
    RolloutView view;
    view.state = rollout.state();
    view.evidence = &watched.counts.evidence();
    view.since_start = now - watched.started_at;
    view.to_deadline =
        std::chrono::milliseconds(rollout.duration_ms()) - view.since_start;
    view.complete_reports = ReportsAreComplete();
    const RolloutVerdict verdict = JudgeRollout(view);
    if (verdict.step == RolloutStep::kRollBack) {
      return Propose(rollout, ROLLOUT_ROLLED_BACK, verdict.reason);
    }
    if (verdict.step == RolloutStep::kShift) {
      return Propose(rollout, ROLLOUT_SHIFTING, verdict.reason);
    }
    if (rollout.state() != ROLLOUT_SHIFTING) continue;
    const std::string delay = DelayOfCompletion(watched);
    LogDelay(delay, &watched);
    if (!delay.empty()) continue;
    return Propose(rollout, ROLLOUT_COMPLETE,
                   "all nodes apply the shift and no request runs at old servers");
  }
}

bool RolloutController::ReportsAreComplete() const {
  const SteadyTime now = dependencies_.clock->Now();
  if (now - leading_since_ < kReportWait) return false;
  std::size_t nodes = 0;
  std::size_t fresh = 0;
  for (const auto& [name, proxy] : dependencies_.service->tracker().proxies()) {
    if (IsGone(proxy)) continue;
    ++nodes;
    if (now - proxy.last_report <= kFreshReport) ++fresh;
  }
  return 2 * fresh >= nodes;
}

// The old servers stop at once when the rollout is complete, so a node that may still use
// them is waited for, also beyond the deadline. Returns what is waited for; empty:
// nothing.
std::string RolloutController::DelayOfCompletion(const Watched& watched) const {
  const SteadyTime now = dependencies_.clock->Now();
  const ConvergenceTracker& tracker = dependencies_.service->tracker();
  const ConvergenceReport report = tracker.Report(watched.state_version);
  if (report.leader_wait > Duration(0)) return "reports to the new leader";
  if (!report.waiting.empty()) {
    return Concat("an acknowledgement of ", report.waiting.front().ack.instance);
  }
  std::set<std::string> silent = watched.data_centres;
  std::map<std::string, bool> all_left;
  for (const auto& [name, proxy] : tracker.proxies()) {
    const std::string& data_centre = proxy.ack.data_centre;
    const bool left = proxy.ack.state == MEMBER_LEFT;
    const auto [it, added] = all_left.try_emplace(data_centre, left);
    it->second = it->second && left;
    if (left) continue;
    const Duration age = now - proxy.last_report;
    if (proxy.ack.state == MEMBER_DEAD) {
      if (age <= kDeadNodeWait) return Concat("the dead node ", name);
      continue;
    }
    if (age > kFreshReport) return Concat("a fresh report of ", name);
    if (RunningAtOldServers(proxy.ack, watched.rollout) > 0) {
      return Concat("requests of ", name, " at old servers");
    }
    silent.erase(data_centre);
  }
  for (const std::string& data_centre : silent) {
    const auto it = all_left.find(data_centre);
    if (it == all_left.end() || !it->second) {
      return Concat("the data centre ", data_centre);
    }
  }
  if (!report.cut_off.empty()) {
    return Concat("the data centre ", report.cut_off.front().name);
  }
  return report.live > 0 && report.done ? "" : "reports of nodes";
}

void RolloutController::LogDelay(const std::string& delay, Watched* watched) {
  const SteadyTime now = dependencies_.clock->Now();
  if (delay.empty() || now < watched->next_delay_log) return;
  watched->next_delay_log = now + kDelayLogPeriod;
  dependencies_.events->Emit({"rollout.delayed",
                              {{"service", watched->rollout.service()},
                               {"target", watched->rollout.version()},
                               {"waits_for", delay}}});
}

void RolloutController::Propose(const Rollout& rollout, RolloutState state,
                                const std::string& reason) {
  ControlEntry entry;
  const auto since_epoch = dependencies_.clock->WallNow().time_since_epoch();
  entry.set_wall_micros(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count()));
  AdvanceRollout* advance = entry.mutable_advance_rollout();
  advance->set_service(rollout.service());
  *advance->mutable_started() = rollout.started();
  advance->set_state(state);
  advance->set_reason(reason);
  busy_ = true;
  // Whatever the outcome, the next check decides again from the log: the entry applies
  // only to this rollout and only in the state that precedes.
  dependencies_.agreement->Propose(
      entry.SerializeAsString(), [this](ResultCode, LogPosition, const std::string&) {
        dependencies_.executor->Post([this] { busy_ = false; });
      });
}

RouteResponses RolloutController::responses() const {
  RouteResponses sum;
  for (const auto& [service, watched] : watched_) {
    if (!IsInProgress(watched.rollout.state())) continue;
    for (const auto& [name, route] : watched.counts.evidence().whole) sum.Add(route);
  }
  return sum;
}

std::size_t RolloutController::in_progress() const {
  return static_cast<std::size_t>(std::count_if(
      watched_.begin(), watched_.end(),
      [](const auto& entry) { return IsInProgress(entry.second.rollout.state()); }));
}

}  // namespace quetzal
