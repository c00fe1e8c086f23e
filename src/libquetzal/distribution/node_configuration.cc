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

NodeConfiguration::NodeConfiguration(const Clock* clock, Duration pause_limit)
    : clock_(clock), pause_limit_(pause_limit), alive_at_(clock->Now()) {}

std::shared_ptr<const RoutingSnapshot> NodeConfiguration::snapshot() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  // A process that slept must not serve by what it held before it knows that it slept.
  if (clock_->Now() - alive_at_ > pause_limit_) return nullptr;
  return snapshot_;
}

bool NodeConfiguration::Apply(const ConfigurationUpdate& update) {
  if (!IsOlder(held_, update.version())) return false;
  configuration_ = ApplyUpdate(update, held_, configuration_);
  held_ = update.version();
  Swap();
  return true;
}

void NodeConfiguration::SetTargets(std::vector<BackendTarget> targets,
                                   const std::vector<std::string>& withdrawn) {
  std::set<std::string> offered;
  for (const BackendTarget& target : targets) offered.insert(target.service);
  const std::set<std::string> gone(withdrawn.begin(), withdrawn.end());
  for (const BackendTarget& old : targets_) {
    if (offered.count(old.service) == 0 && gone.count(old.instance) == 0) {
      targets.push_back(old);
    }
  }
  std::sort(targets.begin(), targets.end(),
            [](const BackendTarget& a, const BackendTarget& b) {
              return std::tie(a.service, a.instance) < std::tie(b.service, b.instance);
            });
  targets_ = std::move(targets);
  Swap();
}

void NodeConfiguration::Vouch(const Version& floor) {
  floor_ = LaterOf(floor_, floor);
  vouched_ = true;
  Swap();
}

void NodeConfiguration::Doubt() {
  vouched_ = false;
  Swap();
}

bool NodeConfiguration::Alive() {
  bool paused = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const SteadyTime now = clock_->Now();
    paused = now - alive_at_ > pause_limit_;
    if (paused) snapshot_ = nullptr;
    alive_at_ = now;
  }
  if (paused) Doubt();
  return paused;
}

bool NodeConfiguration::serving() const {
  return vouched_ && configuration_.configuration != nullptr && !IsOlder(held_, floor_);
}

void NodeConfiguration::Swap() {
  std::shared_ptr<RoutingSnapshot> next;
  if (serving()) {
    next = std::make_shared<RoutingSnapshot>();
    next->version = held_;
    next->configuration = configuration_.configuration;
    next->targets = TargetsFor(*next->configuration, targets_);
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  snapshot_ = std::move(next);
}

}  // namespace quetzal
