#include "distribution/node_configuration.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "base/result_code.h"

namespace quetzal {

namespace {

std::vector<BackendTarget> TargetsFor(const Configuration& configuration,
                                      const std::vector<BackendTarget>& targets) {
  std::set<std::string> services;
  for (const Service& service : configuration.services()) services.insert(service.name());
  const std::set<std::string> leaving(configuration.leaving().begin(),
                                      configuration.leaving().end());
  std::vector<BackendTarget> result;
  for (const BackendTarget& target : targets) {
    if (services.count(target.service) == 0) continue;
    result.push_back(target);
    if (leaving.count(target.instance) != 0) result.back().state = SERVER_LEAVING;
  }
  return result;
}

}  // namespace

NodeConfiguration::NodeConfiguration(const Clock* clock, Duration pause_limit,
                                     const CredentialLease* lease)
    : clock_(clock),
      pause_limit_(pause_limit),
      lease_(lease),
      last_run_at_(clock->Now()) {}

bool NodeConfiguration::credentials_proved() const {
  return lease_ == nullptr || lease_->proved();
}

bool NodeConfiguration::has_teams() const {
  return configuration_.configuration != nullptr &&
         !configuration_.configuration->teams().empty();
}

std::shared_ptr<const RoutingSnapshot> NodeConfiguration::snapshot() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  // A process resumed after a long pause must not serve with its old configuration, even
  // before DetectPause() has noticed the pause.
  if (clock_->Now() - last_run_at_ > pause_limit_) return nullptr;
  return snapshot_;
}

bool NodeConfiguration::Apply(const ConfigurationUpdate& update) {
  if (!IsOlder(applied_version_, update.version())) return false;
  configuration_ = ApplyUpdate(update, applied_version_, configuration_);
  applied_version_ = update.version();
  PublishSnapshot();
  return true;
}

void NodeConfiguration::SetTargets(std::vector<BackendTarget> targets,
                                   const std::vector<std::string>& withdrawn) {
  std::set<std::string> offered;
  for (const BackendTarget& target : targets) offered.insert(target.service);
  const std::set<std::string> withdrawn_names(withdrawn.begin(), withdrawn.end());
  for (const BackendTarget& old : targets_) {
    if (offered.count(old.service) == 0 && withdrawn_names.count(old.instance) == 0) {
      targets.push_back(old);
    }
  }
  std::sort(targets.begin(), targets.end(),
            [](const BackendTarget& a, const BackendTarget& b) {
              return std::tie(a.service, a.instance) < std::tie(b.service, b.instance);
            });
  targets_ = std::move(targets);
  PublishSnapshot();
}

void NodeConfiguration::SetCrashingRequests(
    std::shared_ptr<const CrashingRequests> crashing) {
  crashing_ = std::move(crashing);
  PublishSnapshot();
}

void NodeConfiguration::ConfirmFresh(const Version& floor) {
  floor_ = LaterOf(floor_, floor);
  fresh_ = true;
  PublishSnapshot();
}

void NodeConfiguration::MarkStale() {
  fresh_ = false;
  PublishSnapshot();
}

bool NodeConfiguration::DetectPause() {
  bool paused = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const SteadyTime now = clock_->Now();
    paused = now - last_run_at_ > pause_limit_;
    if (paused) snapshot_ = nullptr;
    last_run_at_ = now;
  }
  if (paused) MarkStale();
  return paused;
}

bool NodeConfiguration::serving() const {
  return fresh_ && configuration_.configuration != nullptr &&
         !IsOlder(applied_version_, floor_);
}

void NodeConfiguration::PublishSnapshot() {
  std::shared_ptr<RoutingSnapshot> next;
  if (serving()) {
    next = std::make_shared<RoutingSnapshot>();
    next->version = applied_version_;
    next->configuration = configuration_.configuration;
    next->targets = TargetsFor(*next->configuration, targets_);
    next->crashing = crashing_;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  snapshot_ = std::move(next);
}

}  // namespace quetzal
