#include "control/departure_service.h"

#include "base/result_code.h"
#include "distribution/departure_link.h"

namespace quetzal {
namespace {

/// Less than a node waits, so that the node hears of a leader that does not answer.
constexpr Duration kForwardTimeout = std::chrono::milliseconds(300);

/// One from an instance outside the group to a member, one from there to the leader.
constexpr std::uint32_t kMaxHops = 2;

}  // namespace

void DepartureService::Start() {
  dependencies_.rpc_server->Serve(kDeparturesMethod, [this](const std::string& bytes,
                                                            const RpcReply& reply) {
    DepartureRequest request;
    if (!request.ParseFromString(bytes) || request.instance().empty()) {
      return reply(ResultCode::kMessageMalformed, "");
    }
    dependencies_.executor->Post([this, request, reply] { Dispatch(request, reply); });
  });
}

void DepartureService::Dispatch(const DepartureRequest& request, const RpcReply& reply) {
  RecordDeparture departure;
  departure.set_instance(request.instance());
  *departure.mutable_departure() = request.departure();
  // What this instance has applied is committed.
  if (request.has_departure() && !dependencies_.machine->Covers(departure)) {
    return Propose(departure, request, reply);
  }
  dependencies_.agreement->ReadBarrier([this, request, reply](ResultCode code) {
    dependencies_.executor->Post(
        [this, code, request, reply] { Answer(code, request, reply); });
  });
}

void DepartureService::Propose(const RecordDeparture& departure,
                               const DepartureRequest& request, const RpcReply& reply) {
  ControlEntry entry;
  entry.set_wall_micros(
      static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                     dependencies_.clock->WallNow().time_since_epoch())
                                     .count()));
  *entry.mutable_record_departure() = departure;
  dependencies_.agreement->Propose(
      entry.SerializeAsString(),
      [this, request, reply](ResultCode code, LogPosition, const std::string&) {
        dependencies_.executor->Post(
            [this, code, request, reply] { Answer(code, request, reply); });
      });
}

void DepartureService::Answer(ResultCode code, const DepartureRequest& request,
                              const RpcReply& reply) {
  if (code == ResultCode::kNotLeader) return Forward(request, reply);
  if (code != ResultCode::kOk) return reply(code, "");
  DepartureAnswer answer;
  for (const ServerDeparture& it :
       dependencies_.machine->DeparturesOf(request.instance())) {
    *answer.add_departures() = it;
  }
  reply(ResultCode::kOk, answer.SerializeAsString());
}

void DepartureService::Forward(const DepartureRequest& request, const RpcReply& reply) {
  const std::vector<Endpoint> peers = peers_();
  if (request.hops() >= kMaxHops || peers.empty()) {
    return reply(ResultCode::kUnreachable, "");
  }
  DepartureRequest next = request;
  next.set_hops(request.hops() + 1);
  dependencies_.rpc_client->Call(peers.front(), kDeparturesMethod,
                                 next.SerializeAsString(), kForwardTimeout, reply);
}

}  // namespace quetzal
