#include "distribution/node_distribution.h"

#include <utility>

#include "distribution/node_distribution_core.h"

namespace quetzal {

NodeDistribution::NodeDistribution(NodeIdentity identity,
                                   NodeDistributionSettings settings,
                                   const Dependencies& dependencies)
    : core_(std::make_shared<Core>(std::move(identity), std::move(settings),
                                   dependencies)) {}

NodeDistribution::~NodeDistribution() { core_->Stop(); }

void NodeDistribution::Start() { core_->Start(); }

void NodeDistribution::SetBackendServer(const BackendServer& server) {
  core_->SetBackendServer(server);
}

void NodeDistribution::AwaitHeld(Duration limit, std::function<void(bool held)> done) {
  core_->AwaitHeld(limit, std::move(done));
}

void NodeDistribution::AnnounceLeaving() { core_->AnnounceLeaving(); }

void NodeDistribution::Leave(std::function<void()> done) {
  core_->Leave(std::move(done));
}

void NodeDistribution::Stop() { core_->Stop(); }

RoutingSource& NodeDistribution::routing() { return core_->routing(); }

std::vector<Member> NodeDistribution::members() const { return core_->members(); }

NodeDistribution::Status NodeDistribution::status() const { return core_->status(); }

Endpoint NodeDistribution::gossip_address() const { return core_->gossip_address(); }

std::uint64_t NodeDistribution::incarnation() const { return core_->incarnation(); }

}  // namespace quetzal
