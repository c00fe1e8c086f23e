#include "control/convergence_tracker.h"

#include <algorithm>
#include <utility>

#include "configuration/version.h"

namespace quetzal {
namespace {

constexpr int kForgetAfterLeases = 10;

bool IsGone(MemberState state) { return state == MEMBER_DEAD || state == MEMBER_LEFT; }

}  // namespace

ConvergenceTracker::ConvergenceTracker(const Clock* clock, ConvergenceSettings settings)
    : clock_(clock),
      settings_(settings),
      leading_since_(clock->Now()),
      ran_at_(clock->Now()) {}

void ConvergenceTracker::OnAck(const ProxyAck& ack) {
  NoteRunning();
  const SteadyTime spoken = clock_->Now() - ack.age;
  auto [it, added] =
      proxies_.try_emplace(ack.instance, TrackedProxy{ack, spoken, spoken});
  if (added) return;
  TrackedProxy& held = it->second;
  if (ack.incarnation < held.ack.incarnation) return;
  if (ack.incarnation > held.ack.incarnation) {
    held = TrackedProxy{ack, spoken, spoken};
    return;
  }
  const Version best = IsEarlier(held.ack.applied_version, ack.applied_version)
                           ? ack.applied_version
                           : held.ack.applied_version;
  // A word that took a detour may be older than the one held; what a proxy once held it
  // holds for the rest of its incarnation.
  if (IsGone(ack.state)) {
    // Others say so; it is no word of its own.
    held.ack = ack;
  } else if (spoken >= held.last_word) {
    held.ack = ack;
    held.last_word = spoken;
  }
  held.ack.applied_version = best;
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
  NoteRunning();
  std::vector<Version> done;
  bool held = true;
  for (auto& [index, confirmation] : confirmations_) {
    if (confirmation.done) continue;
    ConvergenceReport report;
    // Where an earlier version is missing, so is every later one.
    if (held) report = Report(confirmation.version);
    held = held && report.waiting.empty() && report.cut_off.empty();
    if (!held) {
      confirmation.held_since.reset();
      continue;
    }
    if (!confirmation.held_since) confirmation.held_since = clock_->Now();
    if (!report.done) continue;
    confirmation.done = true;
    // An earlier leader's proxies may have been done long before.
    if (confirmation.confirmed_at >= leading_since_) {
      confirmation.convergence_time =
          confirmation.held_since.value_or(clock_->Now()) - confirmation.confirmed_at;
      confirmation.control_bytes = control_bytes - confirmation.bytes_before;
    }
    done.push_back(confirmation.version);
  }
  return done;
}

// After a pause the first words to be read would make all other proxies look silent.
void ConvergenceTracker::NoteRunning() {
  const SteadyTime now = clock_->Now();
  if (now - ran_at_ > settings_.pause_limit) leading_since_ = now;
  ran_at_ = now;
}

void ConvergenceTracker::Sweep() {
  NoteRunning();
  const SteadyTime oldest = clock_->Now() - kForgetAfterLeases * settings_.proxy_lease;
  for (auto it = proxies_.begin(); it != proxies_.end();) {
    const bool forget = IsGone(it->second.ack.state) && it->second.last_word < oldest;
    it = forget ? proxies_.erase(it) : std::next(it);
  }
}

bool ConvergenceTracker::IsLive(const TrackedProxy& proxy) const {
  return !IsGone(proxy.ack.state) &&
         clock_->Now() - proxy.last_word <= settings_.proxy_lease;
}

std::set<std::string> ConvergenceTracker::SpeakingDataCentres() const {
  std::set<std::string> speaking;
  for (const auto& [name, proxy] : proxies_) {
    if (IsLive(proxy)) speaking.insert(proxy.ack.data_centre);
  }
  return speaking;
}

std::vector<SilentDataCentre> ConvergenceTracker::CutOff() const {
  const std::set<std::string> speaking = SpeakingDataCentres();
  std::map<std::string, SilentDataCentre> silent;
  const Duration led = clock_->Now() - leading_since_;
  for (const std::string& name : data_centres_) {
    if (speaking.count(name) == 0) silent[name] = {name, 0, led};
  }
  for (const auto& [name, proxy] : proxies_) {
    const std::string& place = proxy.ack.data_centre;
    if (IsGone(proxy.ack.state) || speaking.count(place) > 0) continue;
    const Duration age = clock_->Now() - proxy.last_word;
    auto [it, added] = silent.try_emplace(place, SilentDataCentre{place, 0, age});
    SilentDataCentre& entry = it->second;
    entry.silent_for = entry.proxies == 0 ? age : std::min(entry.silent_for, age);
    ++entry.proxies;
  }
  std::vector<SilentDataCentre> list;
  for (auto& [name, entry] : silent) list.push_back(std::move(entry));
  return list;
}

ConvergenceReport ConvergenceTracker::Report(const Version& version) const {
  ConvergenceReport report;
  const std::set<std::string> speaking = SpeakingDataCentres();
  for (const auto& [name, proxy] : proxies_) {
    if (IsGone(proxy.ack.state) || speaking.count(proxy.ack.data_centre) == 0) continue;
    if (!IsLive(proxy)) {
      report.silent.push_back(proxy);
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
