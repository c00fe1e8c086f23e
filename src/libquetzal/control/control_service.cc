#include "control/control_service.h"

#include <utility>

#include "base/concat.h"

namespace quetzal {
namespace {

constexpr Duration kLeadershipCheckPeriod = std::chrono::milliseconds(50);
constexpr Duration kQuorumContactTimeout = std::chrono::seconds(1);

}  // namespace

ControlService::ControlService(Dependencies dependencies, PeerLookup peers,
                               ConvergenceSettings settings)
    : dependencies_(std::move(dependencies)),
      tracker_(dependencies_.clock, settings),
      forwarder_(dependencies_.rpc_client, dependencies_.executor, dependencies_.clock,
                 std::move(peers)) {}

void ControlService::Start() {
  dependencies_.rpc_server->Serve(
      kAcksMethod, [this](const std::string& request, const RpcReply& reply) {
        Acks batch;
        if (!batch.ParseFromString(request)) {
          reply(ResultCode::kMessageMalformed, "");
          return;
        }
        Post([this, batch = std::move(batch)] {
          for (const NodeAck& ack : batch.acks()) RecordAck(FromMessage(ack));
        });
        reply(ResultCode::kOk, "");
      });
  leadership_timer_ = dependencies_.executor->Every(kLeadershipCheckPeriod,
                                                    [this] { CheckLeadership(); });
}

void ControlService::Stop() {
  stopped_ = true;
  leadership_timer_.reset();
  forwarder_.Stop();
}

void ControlService::Post(std::function<void()> task) {
  // A task may still be queued when this object is destroyed.
  dependencies_.executor->Post(
      [alive = std::weak_ptr<bool>(alive_), task = std::move(task)] {
        if (alive.lock() != nullptr) task();
      });
}

void ControlService::OnConfigured(
    const Version& version, const std::shared_ptr<const Configuration>& configuration) {
  // Logged before it is sent, so that no node logs an event about it earlier.
  if (leader_known_) {
    dependencies_.events->Emit(
        {"configuration.confirmed",
         {{"intent", dependencies_.machine->IntentConfirmedAs(version)},
          {"version", Concat(version.term(), ".", version.index())}}});
  }
  const std::uint64_t bytes = dependencies_.distribution.bytes_sent();
  dependencies_.distribution.publish(version, configuration);
  Post([this, version, configuration, bytes] {
    tracker_.OnConfirmed(version, *configuration, bytes);
    EvaluateSoon();
  });
}

void ControlService::OnAck(const ProxyAck& ack) {
  Post([this, ack] {
    if (!leading_) forwarder_.Add(ack, dependencies_.clock->Now() - ack.age);
    RecordAck(ack);
  });
}

void ControlService::RecordAck(const ProxyAck& ack) {
  tracker_.OnAck(ack);
  EvaluateSoon();
}

void ControlService::CheckLeadership() {
  const LeadershipView view = dependencies_.agreement->leadership();
  if (!view.leader.empty()) leader_known_ = true;
  const bool quorum_backed =
      view.leading || (!view.leader.empty() && view.since_quorum < kQuorumContactTimeout);
  dependencies_.distribution.set_quorum_backed(quorum_backed);
  if (view.leading && (!leading_ || view.term != term_)) tracker_.OnLeading();
  leading_ = view.leading;
  term_ = view.term;
  if (view.leader != leader_) {
    leader_ = view.leader;
    forwarder_.set_leader(leading_ ? "" : leader_);
    // The new leader has no reports from the proxies that are connected to this instance.
    for (const auto& [name, proxy] : tracker_.proxies()) {
      if (!leading_) forwarder_.Add(proxy.ack, proxy.last_report);
    }
  }
  tracker_.Sweep();
  Evaluate();
}

void ControlService::EvaluateSoon() {
  if (evaluating_ || !leading_) return;
  evaluating_ = true;
  Post([this] {
    evaluating_ = false;
    Evaluate();
  });
}

void ControlService::Evaluate() {
  if (stopped_ || !dependencies_.agreement->leadership().leading) return;
  for (const Version& version :
       tracker_.TakeDone(dependencies_.distribution.bytes_sent())) {
    const ConvergenceReport report = tracker_.Report(version);
    Event done{"intent.done",
               {{"intent", dependencies_.machine->IntentConfirmedAs(version)},
                {"version", Concat(version.term(), ".", version.index())},
                {"proxies", std::to_string(report.acknowledged)}}};
    if (report.convergence_time) {
      const auto micros =
          std::chrono::duration_cast<std::chrono::microseconds>(*report.convergence_time);
      done.fields.emplace_back("convergence_us", std::to_string(micros.count()));
    }
    if (report.control_bytes) {
      done.fields.emplace_back("control_bytes", std::to_string(*report.control_bytes));
    }
    dependencies_.events->Emit(done);
  }
}

ConvergenceReport ControlService::Report(const Version& version) const {
  return tracker_.Report(version);
}

std::vector<LiveInstance> ControlService::LiveInstances() const {
  std::vector<LiveInstance> live_instances;
  for (const auto& [name, proxy] : tracker_.proxies()) {
    if (!tracker_.IsLive(proxy)) continue;
    live_instances.push_back({name, proxy.ack.data_centre, proxy.ack.service});
  }
  return live_instances;
}

}  // namespace quetzal
