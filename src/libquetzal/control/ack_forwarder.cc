#include "control/ack_forwarder.h"

#include <utility>

namespace quetzal {
namespace {

constexpr Duration kBatchDelay = std::chrono::milliseconds(2);
constexpr Duration kSendTimeout = std::chrono::seconds(2);

}  // namespace

AckForwarder::AckForwarder(RpcClient* rpc_client, Executor* executor, const Clock* clock,
                           PeerLookup peers)
    : rpc_client_(rpc_client),
      executor_(executor),
      clock_(clock),
      peers_(std::move(peers)) {}

void AckForwarder::Add(const ProxyAck& ack, SteadyTime last_report) {
  queued_.insert_or_assign(ack.instance, TrackedProxy{ack, last_report, last_report});
  if (timer_ == nullptr) timer_ = executor_->After(kBatchDelay, [this] { Flush(); });
}

void AckForwarder::Stop() { timer_.reset(); }

void AckForwarder::Flush() {
  timer_.reset();
  const auto peer = peers_(leader_);
  if (!peer) return;
  Acks batch;
  for (const auto& [name, proxy] : queued_) {
    *batch.add_acks() = ToMessage(proxy.ack, clock_->Now() - proxy.last_report);
  }
  queued_.clear();
  // No retry: the next report of each proxy replaces a lost message.
  rpc_client_->Call(*peer, kAcksMethod, batch.SerializeAsString(), kSendTimeout,
                    [](ResultCode, const std::string&) {});
}

}  // namespace quetzal
