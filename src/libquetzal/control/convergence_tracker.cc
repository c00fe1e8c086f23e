#include "control/convergence_tracker.h"

#include <algorithm>
#include <utility>

#include "configuration/version.h"

namespace quetzal {
namespace {

constexpr int kForgetAfterLeases = 10;

bool IsDeadOrLeft(MemberState state) {
  return state == MEMBER_DEAD || state == MEMBER_LEFT;
}

}  // namespace

ConvergenceTracker::ConvergenceTracker(const Clock* clock, ConvergenceSettings settings)
    : clock_(clock),
      settings_(settings),
      leading_since_(clock->Now()),
      last_call_at_(clock->Now()) {}

void ConvergenceTracker::OnAck(const ProxyAck& ack) {
  DetectPause();
  const SteadyTime reported_at = clock_->Now() - ack.age;
  auto [it, added] =
      proxies_.try_emplace(ack.instance, TrackedProxy{ack, reported_at, reported_at});
  if (added) return;
  TrackedProxy& tracked = it->second;
  if (ack.incarnation < tracked.ack.incarnation) return;
  if (ack.incarnation > tracked.ack.incarnation) {
    tracked = TrackedProxy{ack, reported_at, reported_at};
    return;
  }
  const Version newest = IsEarlier(tracked.ack.applied_version, ack.applied_version)
                             ? ack.applied_version
                             : tracked.ack.applied_version;
  // A forwarded report may be older than the last one. Within an incarnation a proxy
  // never returns to an older version, so the newest version counts.
  if (IsDeadOrLeft(ack.state)) {
    // Reported by other members, so it does not renew the lease.
    tracked.ack = ack;
  } else if (reported_at >= tracked.last_report) {
    tracked.ack = ack;
    tracked.last_report = reported_at;
  }
  tracked.ack.applied_version = newest;
}

void ConvergenceTracker::OnLeading() { leading_since_ = clock_->Now(); }

void ConvergenceTracker::OnConfirmed(const Version& version,
                                     const Configuration& configuration,
                                     std::uint64_t control_bytes) {
  data_centres_.assign(configuration.data_centres().begin(),
                       configuration.data_centres().end());
  Confirmation confirmation;
  confirmation.version = version;
  confirmation.confirmed_at = clock_->Now();
  confirmation.bytes_before = control_bytes;
  confirmations_.try_emplace(version.index(), std::move(confirmation));
  if (confirmations_.size() > settings_.kept_confirmations) {
    confirmations_.erase(confirmations_.begin());
  }
}

std::vector<Version> ConvergenceTracker::TakeDone(std::uint64_t control_bytes) {
  DetectPause();
  std::vector<Version> done;
  bool all_applied = true;
  for (auto& [index, confirmation] : confirmations_) {
    if (confirmation.done) continue;
    ConvergenceReport report;
    // A proxy that lacks an earlier version lacks every later one too.
    if (all_applied) report = Report(confirmation.version);
    all_applied = all_applied && report.waiting.empty() && report.cut_off.empty();
    if (!all_applied) {
      confirmation.applied_since.reset();
      continue;
    }
    if (!confirmation.applied_since) confirmation.applied_since = clock_->Now();
    if (!report.done) continue;
    confirmation.done = true;
    // For a version of an earlier leader, the proxies may have applied it long before.
    if (confirmation.confirmed_at >= leading_since_) {
      confirmation.convergence_time =
          confirmation.applied_since.value_or(clock_->Now()) - confirmation.confirmed_at;
      confirmation.control_bytes = control_bytes - confirmation.bytes_before;
    }
    done.push_back(confirmation.version);
  }
  return done;
}

// After a pause of this process, proxies whose reports are still unread look
// unresponsive, so the wait of a new leader starts again.
void ConvergenceTracker::DetectPause() {
  const SteadyTime now = clock_->Now();
  if (now - last_call_at_ > settings_.pause_limit) leading_since_ = now;
  last_call_at_ = now;
}

void ConvergenceTracker::Sweep() {
  DetectPause();
  const SteadyTime oldest = clock_->Now() - kForgetAfterLeases * settings_.proxy_lease;
  for (auto it = proxies_.begin(); it != proxies_.end();) {
    const bool forget =
        IsDeadOrLeft(it->second.ack.state) && it->second.last_report < oldest;
    it = forget ? proxies_.erase(it) : std::next(it);
  }
}

bool ConvergenceTracker::IsLive(const TrackedProxy& proxy) const {
  return !IsDeadOrLeft(proxy.ack.state) &&
         clock_->Now() - proxy.last_report <= settings_.proxy_lease;
}

std::set<std::string> ConvergenceTracker::ResponsiveDataCentres() const {
  std::set<std::string> responsive;
  for (const auto& [name, proxy] : proxies_) {
    if (IsLive(proxy)) responsive.insert(proxy.ack.data_centre);
  }
  return responsive;
}

std::vector<UnresponsiveDataCentre> ConvergenceTracker::CutOff() const {
  const std::set<std::string> responsive = ResponsiveDataCentres();
  std::map<std::string, UnresponsiveDataCentre> unresponsive;
  const Duration leading_for = clock_->Now() - leading_since_;
  for (const std::string& name : data_centres_) {
    if (responsive.count(name) == 0) unresponsive[name] = {name, 0, leading_for};
  }
  for (const auto& [name, proxy] : proxies_) {
    const std::string& data_centre_name = proxy.ack.data_centre;
    if (IsDeadOrLeft(proxy.ack.state) || responsive.count(data_centre_name) > 0) continue;
    const Duration age = clock_->Now() - proxy.last_report;
    auto [it, added] = unresponsive.try_emplace(
        data_centre_name, UnresponsiveDataCentre{data_centre_name, 0, age});
    UnresponsiveDataCentre& entry = it->second;
    entry.unresponsive_for =
        entry.proxies == 0 ? age : std::min(entry.unresponsive_for, age);
    ++entry.proxies;
  }
  std::vector<UnresponsiveDataCentre> list;
  for (auto& [name, entry] : unresponsive) list.push_back(std::move(entry));
  return list;
}

ConvergenceReport ConvergenceTracker::Report(const Version& version) const {
  ConvergenceReport report;
  const std::set<std::string> responsive = ResponsiveDataCentres();
  for (const auto& [name, proxy] : proxies_) {
    if (IsDeadOrLeft(proxy.ack.state) || responsive.count(proxy.ack.data_centre) == 0)
      continue;
    if (!IsLive(proxy)) {
      report.unresponsive.push_back(proxy);
      continue;
    }
    ++report.live;
    if (IsEarlier(proxy.ack.applied_version, version)) {
      report.waiting.push_back(proxy);
    } else {
      ++report.acknowledged;
    }
  }
  const auto it = confirmations_.find(version.index());
  report.was_done = it != confirmations_.end() && it->second.done;
  if (report.was_done) {
    report.convergence_time = it->second.convergence_time;
    report.control_bytes = it->second.control_bytes;
  } else {
    report.cut_off = CutOff();
    report.leader_wait =
        std::max(Duration(0), settings_.proxy_lease - (clock_->Now() - leading_since_));
  }
  report.done = report.waiting.empty() && report.cut_off.empty() &&
                report.leader_wait == Duration(0);
  return report;
}

}  // namespace quetzal
